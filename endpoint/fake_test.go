package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var errNoDial = errors.New("connection refused")

// scriptedEndpoint is an endpoint that writes a script of raw bytes to a net.Pipe. If
// warm is set, its first response is an empty 200 with that id.
type scriptedEndpoint struct {
	t      *testing.T
	script []string
	warm   string
	noDial bool
	// pausedFor is how far the client's clock advances once it has a connection.
	pausedFor  time.Duration
	cancelCall context.CancelFunc

	group       sync.WaitGroup
	paused      time.Duration
	connections int
	requests    []http.Header
}

func (f *scriptedEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	if f.noDial {
		return nil, errNoDial
	}
	near, far := net.Pipe()
	f.connections++
	f.paused = f.pausedFor
	f.group.Go(func() { f.serve(far) })
	return near, nil
}

func (f *scriptedEndpoint) now() time.Time {
	return time.Now().Add(f.paused)
}

func (f *scriptedEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		f.requests = append(f.requests, req.Header)
		id := req.Header.Get(headerRequestID)
		if f.warm != "" && len(f.requests) == 1 {
			f.play(conn, "head 200 Content-Length: 0|X-Request-Id: "+strings.ReplaceAll(f.warm, "$ID", id))
			continue
		}
		for _, step := range f.script {
			f.play(conn, strings.ReplaceAll(step, "$ID", id))
		}
		return
	}
}

func (f *scriptedEndpoint) play(conn net.Conn, step string) {
	name, rest, _ := strings.Cut(step, " ")
	id, text, _ := strings.Cut(rest, " ")
	opening := `data: {"id":"chatcmpl-` + id + `","choices":[`
	out := ""
	switch name {
	case "head":
		out = responseHead(rest)
	case "stream":
		out = responseHead("200 Content-Type: text/event-stream|X-Request-Id: " + rest)
	case "role":
		out = opening + `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}` + "\n\n"
	case "token":
		out = opening + `{"index":0,"delta":{"content":"` + text + `"},"finish_reason":null}],"usage":null}` + "\n\n"
	case "last":
		out = opening + `{"index":0,"delta":{"content":"` + text + `"},"finish_reason":"stop"}]}` + "\r\n\r\n"
	case "finish":
		out = opening + `{"index":0,"delta":{},"finish_reason":"length"}]}` + "\n\n"
	case "usage":
		out = opening + `],"usage":{"prompt_tokens":3,"completion_tokens":` + text + `}}` + "\n\n"
	case "done":
		out = "data: [DONE]\n\n"
	case "completion":
		content, reason, _ := strings.Cut(text, " ")
		body := fmt.Sprintf(`{"id":"chatcmpl-%s","choices":[{"message":{"content":%q},"finish_reason":%q}],"usage":{"completion_tokens":7}}`, id, content, reason)
		out = responseHead("200 X-Request-Id: $|Content-Length: "+strconv.Itoa(len(body))) + body
		out = strings.Replace(out, "$", f.requests[len(f.requests)-1].Get(headerRequestID), 1)
	case "raw":
		out = rest
	case "huge":
		n, err := strconv.Atoi(rest)
		assert.Check(f.t, err)
		out = "data: " + strings.Repeat("x", n)
	case "sleep":
		d, err := time.ParseDuration(rest)
		assert.Check(f.t, err)
		time.Sleep(d)
	case "leave":
		// The client has read everything so far: pipe writes are synchronous.
		time.Sleep(time.Second)
		f.cancelCall()
	case "hang":
		_, _ = io.Copy(io.Discard, conn)
	default:
		f.t.Errorf("unknown step %q", step)
	}
	_, _ = io.WriteString(conn, out)
}

// responseHead builds a response head from "STATUS Name: value|Name: value".
func responseHead(text string) string {
	status, header, _ := strings.Cut(text, " ")
	return "HTTP/1.1 " + status + " X\r\n" + strings.ReplaceAll(header, "|", "\r\n") + "\r\n\r\n"
}

// summarizeEvents lists the events of a forwarded stream and checks their ids.
func summarizeEvents(t *testing.T, passed, id string) string {
	if !strings.HasPrefix(passed, "data: ") {
		return passed
	}
	var names []string
	for event := range strings.SplitSeq(strings.TrimSuffix(passed, "\n\n"), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			names = append(names, "done")
			continue
		}
		var c chunk
		assert.NilError(t, json.Unmarshal([]byte(data), &c))
		assert.Equal(t, string(c.ID), quotedCompletionID(id))
		names = append(names, eventName(t, c))
	}
	return strings.Join(names, " ")
}

func eventName(t *testing.T, c chunk) string {
	if len(c.Choices) == 0 {
		return "usage"
	}
	choice := c.Choices[0]
	switch {
	case choice.Delta.hasToken():
		var text string
		assert.NilError(t, json.Unmarshal(choice.Delta.Content, &text))
		return text
	case isSet(choice.FinishReason):
		return "finish"
	default:
		return "role"
	}
}
