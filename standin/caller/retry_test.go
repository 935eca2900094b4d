package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// retryCase sends calls in sequence and checks the result of the last. Times such
// as "+2s" count from the start.
type retryCase struct {
	Name      string       `json:"name"`
	Send      []string     `json:"send"`
	Deadline  string       `json:"deadline"`
	Exchanges []exchange   `json:"exchanges"`
	Code      result.Code  `json:"code"`
	Class     result.Class `json:"class"`
	Text      string       `json:"text"`
	Tries     int          `json:"tries"`
	Took      string       `json:"took"`
}

// exchange is an expected request, "METHOD addr path [ticket]", and its response.
type exchange struct {
	Want string `json:"want"`
	// Fault is "dial" for a failed connection, "cut" for a connection lost after
	// the body was read, or "frozen" for a VM that never reads the body.
	Fault  string          `json:"fault"`
	Code   int             `json:"code"`
	Status int             `json:"status"`
	Body   json.RawMessage `json:"body"`
}

// roundTripper adapts a function to http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	return f(r)
}

func TestRetry(t *testing.T) {
	for _, c := range readTable[retryCase](t, "testdata/retry.json") {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRetryCase(t, c) })
		})
	}
}

func runRetryCase(t *testing.T, c retryCase) {
	start := time.Now()
	var exchanged int
	caller := New(Options{
		VMs: []string{"a:1", "b:1"},
		Key: "w.secret",
		Client: &http.Client{
			Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
				assert.Equal(t, r.Header.Get("Authorization"), "Bearer w.secret")
				got := strings.TrimSpace(fmt.Sprint(r.Method, " ", r.URL.Host, " ", r.URL.RequestURI(), " ", r.Header.Get("Fuchsianotch-Ticket")))
				assert.Assert(t, exchanged < len(c.Exchanges), "unexpected %s", got)
				e := c.Exchanges[exchanged]
				exchanged++
				assert.Equal(t, got, e.Want)
				return e.respond(t, r, start)
			}),
		},
	})
	var options CallOptions
	if c.Deadline != "" {
		options.Deadline = fromStart(t, start, c.Deadline)
	}
	var last Result
	for _, kind := range c.Send {
		if kind == "chat" {
			last = caller.Chat(t.Context(), Chat{
				Model:       "m",
				Message:     "hello",
				CallOptions: options,
			})
			continue
		}
		last = caller.Service(t.Context(), Service{
			Service:     "tee",
			Method:      http.MethodPost,
			Path:        "/slots/7?x=1",
			Body:        []byte("confirm"),
			WithTicket:  kind == "ticketed",
			CallOptions: options,
		})
	}
	assert.Equal(t, exchanged, len(c.Exchanges))
	assert.Equal(t, last.Code, c.Code, last.Message)
	assert.Equal(t, last.Class, c.Class)
	assert.Equal(t, last.Text, c.Text)
	assert.Equal(t, last.Attempts, c.Tries)
	assert.Equal(t, last.DoneAt.Sub(start).String(), c.Took)
}

func (e exchange) respond(t *testing.T, r *http.Request, start time.Time) (*http.Response, error) {
	hasBody := r.Body != http.NoBody
	assert.Equal(t, r.Header.Get("Expect") == "100-continue", hasBody)
	switch e.Fault {
	case "dial":
		return nil, &net.OpError{
			Op:  "dial",
			Err: io.EOF,
		}
	case "frozen":
		<-r.Context().Done()
		_, err := r.Body.Read(make([]byte, 1))
		assert.ErrorIs(t, err, errRevoked)
		return nil, r.Context().Err()
	}
	if hasBody {
		_, err := io.Copy(io.Discard, r.Body)
		assert.NilError(t, err)
	}
	if e.Fault == "cut" {
		return nil, io.ErrUnexpectedEOF
	}
	text := relative.ReplaceAllFunc(e.Body, func(found []byte) []byte {
		at := fromStart(t, start, strings.Trim(string(found), `"`))
		return []byte(strconv.Quote(at.Format(time.RFC3339Nano)))
	})
	recorder := httptest.NewRecorder()
	if e.Code != 0 {
		recorder.Header().Set("Fuchsianotch-Result", strconv.Itoa(e.Code))
	}
	if e.Status != 0 {
		recorder.WriteHeader(e.Status)
	}
	_, _ = io.Copy(recorder, bytes.NewReader(text))
	return recorder.Result(), nil
}

var relative = regexp.MustCompile(`"\+[0-9a-z]+"`)

func fromStart(t *testing.T, start time.Time, text string) time.Time {
	t.Helper()
	wait, err := time.ParseDuration(strings.TrimPrefix(text, "+"))
	assert.NilError(t, err)
	return start.Add(wait)
}

// TestConnections checks, over real connections, that the body of a refused call is
// not sent and that a broken stream is not reported as complete.
func TestConnections(t *testing.T) {
	var addr string
	refusing := true
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Entries{
			GoodUntil: time.Now().Add(time.Hour),
			Entries: []Entry{{
				VM:   "vm1",
				Addr: addr,
			}},
		})
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Fuchsianotch-Request", "r1")
		if refusing {
			refusing = false
			w.Header().Set("Fuchsianotch-Result", "2010")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, `{"error":{"code":2010}}`)
			return
		}
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Fuchsianotch-Result", "1000")
		_, _ = io.WriteString(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
		if bytes.Contains(body, []byte("break")) {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	addr = server.Listener.Addr().String()
	caller := New(Options{
		VMs: []string{addr},
	})
	refused := Result{
		Code:   result.LimitRequests,
		Class:  result.ClassNotRun,
		Status: http.StatusTooManyRequests,
	}
	whole := Result{
		Code:   result.Done,
		Class:  result.ClassDone,
		Status: http.StatusOK,
		Text:   "x",
	}
	broken := Result{
		Class:  result.ClassUnknown,
		Status: http.StatusOK,
		Text:   "x",
	}
	for _, want := range []Result{refused, whole, broken} {
		message := "go on"
		if want.Code == 0 {
			message = "break"
		}
		got := caller.Chat(t.Context(), Chat{
			Message: message,
			Stream:  true,
		})
		assert.Equal(t, got.Code, want.Code, got.Message)
		assert.Equal(t, got.Class, want.Class)
		assert.Equal(t, got.Status, want.Status)
		assert.Equal(t, got.Text, want.Text)
		assert.Equal(t, got.RequestID, "r1")
	}
}
