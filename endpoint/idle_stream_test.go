package endpoint

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Guards against calls that wait until their deadline for an event of an endpoint that sends only
// comments, and against comments that count as the first token.
func TestStreamsWithoutEvents(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		// Block is what the endpoint sends that is no event, Blocks times before each event and
		// after the last one if the stream doesn't end.
		Block  string
		Blocks int
		Events int
		Code   result.Code
		Error  bool
		// Begin is what was forwarded when the answer counted as begun; -1 if it never did.
		Begin int
	}](t, "testdata/idle_streams.json") {
		t.Run(c.Name, func(t *testing.T) {
			answer := "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSigned: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
			idle := strings.Repeat(c.Block, c.Blocks)
			for number := range c.Events {
				if c.Code == result.Done {
					answer += idle
				}
				answer += fmt.Sprintf("id: %d\ndata: x\n\n", number+1)
			}
			if c.Code != result.Done {
				answer += idle
			}
			attempt := routedCall(serveRaw(t, answer, "close"), "")
			attempt.Call.Stream = true
			attempt.Call.Idempotent = true
			attempt.Call.Routed.Resumable = true
			received, receivedAtBegin := 0, -1
			attempt.OnFirstByte = func() { receivedAtBegin = received }
			out := newRelayClient(t).Send(t.Context(), attempt, Sink{
				Head: func(int, http.Header) error { return nil },
				Chunk: func(data []byte) error {
					received += len(data)
					return nil
				},
			})
			assert.Equal(t, out.Code, c.Code, "%v", out.Err)
			assert.Equal(t, out.AnsweredError, c.Error)
			assert.Equal(t, out.Resumable, c.Error)
			assert.Equal(t, out.Delivered, c.Events)
			assert.Equal(t, out.FirstByteAt.IsZero(), c.Events == 0)
			assert.Equal(t, receivedAtBegin, c.Begin)
			assert.Assert(t, !c.Error || received <= maxIdleBytes+len("id: 1\ndata: x\n\n"), received)
		})
	}
}
