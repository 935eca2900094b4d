package endpoint

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// headRow is a case of testdata/heads.json: an answer of an endpoint.
type headRow struct {
	Name   string
	Method string
	Answer string
	// ToEnd is set if the body has no length and ends with the connection; Failure if the answer
	// is a server error.
	ToEnd   bool `json:"to_end"`
	Failure bool
}

// TestAnswerCutShort guards against an answer that passes for whole though its endpoint ended
// the connection after any number of its bytes.
func TestAnswerCutShort(t *testing.T) {
	for _, row := range datatest.Read[[]headRow](t, "testdata/heads.json") {
		for _, end := range []string{"close", "reset"} {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reused %t", row.Name, end, reused), func(t *testing.T) {
					row.run(t, end, reused)
				})
			}
		}
	}
}

func (row headRow) run(t *testing.T, end string, reused bool) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go row.serve(conn, end)
		}
	}()
	client := newRelayClient(t)
	for size := range len(row.Answer) {
		if reused && !row.ToEnd && !row.Failure {
			heads, out := row.send(t, client, ln.Addr().String(), len(row.Answer))
			assert.Equal(t, out.Code, result.Done, "%v", out.Err)
			assert.Equal(t, heads, 1)
		}
		heads, out := row.send(t, client, ln.Addr().String(), size)
		assert.Assert(t, out.Code == result.EndpointCut || out.Code == result.EndpointFailed,
			"%q passed as %s", row.Answer[:size], out.Code)
		assert.Assert(t, out.ErrorResponse == nil, "%q", row.Answer[:size])
		assert.Assert(t, heads == 0 || out.Delivered > 0, "%q", row.Answer[:size])
	}
}

// send asks for the first bytes of the answer and returns the number of heads passed on.
func (row headRow) send(t *testing.T, client *Client, addr string, size int) (heads int, out Outcome) {
	attempt := routedCall(addr, "")
	attempt.Call.Path = "/" + strconv.Itoa(size)
	if row.Method != "" {
		attempt.Call.Method = row.Method
		attempt.Call.Body = nil
	}
	out = client.Send(t.Context(), attempt, Sink{
		Head: func(int, http.Header) error {
			heads++
			return nil
		},
		Chunk: func([]byte) error { return nil },
	})
	return heads, out
}

// serve answers each request with as many bytes as its path says, and ends the connection after
// a part.
func (row headRow) serve(conn net.Conn, end string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = req.Body.Read(make([]byte, 1024))
		size, _ := strconv.Atoi(strings.TrimPrefix(req.RequestURI, "/"))
		_, _ = conn.Write([]byte(row.Answer[:size]))
		if size < len(row.Answer) {
			if socket, ok := conn.(*net.TCPConn); ok && end == "reset" {
				_ = socket.SetLinger(0)
			}
			return
		}
	}
}
