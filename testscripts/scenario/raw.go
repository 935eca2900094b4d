package scenario

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// rawTimeout bounds one raw request.
const rawTimeout = 10 * time.Second

// post WORKSPACE VM mark=TEXT [bytes=N] [chunked] [path=PATH] [wait] sends a
// request without Expect: 100-continue, with a body that repeats the mark, and
// prints the result code. With wait=yes the body is sent in a later segment than
// the header, so that one read cannot return both.
func post(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "post WORKSPACE VM mark=TEXT [bytes=N] [chunked] [path=PATH] [wait]")
	vm := w.parseVMs(ts, args[1])[0]
	conn, err := net.Dial("tcp", vm.Fleet.CallerAddr)
	ts.Check(err)
	defer func() { _ = conn.Close() }()
	ts.Check(conn.SetDeadline(time.Now().Add(rawTimeout)))
	head, body := rawRequest(ts, args)
	go sendRaw(conn, head, body, option(args[2:], "wait", "no") == "yes")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	ts.Check(err)
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	printf(ts, "status=%d code=%s body=%q\n", resp.StatusCode, resp.Header.Get("Fuchsianotch-Result"), text)
}

func sendRaw(conn net.Conn, head, body string, wait bool) {
	if !wait {
		_, _ = io.WriteString(conn, head+body)
		return
	}
	_, _ = io.WriteString(conn, head)
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(conn, body)
}

func rawRequest(ts *testscript.TestScript, args []string) (head, body string) {
	mark := option(args, "mark", "mark")
	size := number(ts, args, "bytes", "1000")
	body = strings.Repeat(mark+" ", size/(len(mark)+1)+1)[:size]
	length := fmt.Sprintf("Content-Length: %d", size)
	if option(args, "chunked", "no") == "yes" {
		length = "Transfer-Encoding: chunked"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	head = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%s\r\n\r\n",
		option(args, "path", "/v1/chat/completions"), apiKey(args[0]), length)
	return head, body
}
