package serving

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// crashCase is one row of testdata/crashes.json.
type crashCase struct {
	Name string
	// Admits are the answers to successive quarantine checks: "yes", "no" or "trial".
	// All must be consumed.
	Admits []string
	// Cuts is the number of attempts that break off before the rest are answered.
	Cuts     int64
	WantSent int64       `json:"want_sent"`
	WantCode result.Code `json:"want_code"`
	// WantTold lists the reported ends of attempts.
	WantTold string `json:"want_told"`
}

// TestCrashes checks that quarantined calls reach no endpoint, and what is reported
// about each attempt.
func TestCrashes(t *testing.T) {
	for _, c := range datatest.Read[[]crashCase](t, "testdata/crashes.json") {
		t.Run(c.Name, func(t *testing.T) {
			var sent atomic.Int64
			var reported []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if sent.Add(1) <= c.Cuts {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			}))
			defer server.Close()
			admits := c.Admits
			s := New(Options{
				Now:      time.Now,
				VM:       "a",
				Pool:     poolOf(2, server.Listener.Addr().String()),
				Endpoint: endpoint.New(endpoint.Options{}),
				Budget:   budgetOf(retry.NewBudget(1)),
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
				Quarantine: Quarantine{
					Admit: func(_ []call.Subject, trial call.Subject) quarantine.Admission {
						if trial != 0 {
							return quarantine.Admission{Trial: trial}
						}
						next := admits[0]
						admits = admits[1:]
						switch next {
						case "no":
							return quarantine.Admission{Held: 7, Crashes: 3}
						case "trial":
							return quarantine.Admission{Trial: 7}
						default:
							return quarantine.Admission{}
						}
					},
					ConnectionLost: func(quarantine.Run) { reported = append(reported, "cut") },
					Answered:       func(quarantine.Run) { reported = append(reported, "ended_well") },
					TrialUnsent:    func(call.Subject) {},
				},
			})
			out := s.sendWithRetries(t.Context(), &call.Call{
				ID:         "x",
				Kind:       call.KindService,
				Service:    service,
				Method:     http.MethodGet,
				Path:       "/look",
				Idempotent: true,
				Deadline:   time.Now().Add(time.Minute),
			}, call.Sink{
				Head:  func(int, http.Header) error { return nil },
				Chunk: func([]byte) error { return nil },
			}, nil)
			assert.Equal(t, out.Code, c.WantCode)
			assert.Equal(t, sent.Load(), c.WantSent)
			assert.Equal(t, strings.Join(reported, " "), c.WantTold)
			assert.Equal(t, len(admits), 0)
		})
	}
}

// TestHeldAtArrival checks that a quarantined call is refused before it is placed,
// also if another VM forwarded it.
func TestHeldAtArrival(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		s := New(Options{
			Now:      time.Now,
			VM:       "a",
			Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
			Metrics:  metrics.New(),
			Quarantine: Quarantine{
				Admit: func([]call.Subject, call.Subject) quarantine.Admission {
					return quarantine.Admission{Held: 7, Crashes: 3}
				},
				TrialUnsent: func(call.Subject) {},
			},
		})
		c := routedTestCall(routedCase{Idempotent: true})
		c.Forwarded = forwarded
		out := s.Serve(t.Context(), c, Placement{Kind: PlaceHere}, call.Sink{})
		assert.Equal(t, out.Code, result.Quarantined)
	}
}

// TestRefusalOfChat guards against a panic as a chat is refused for its first message.
func TestRefusalOfChat(t *testing.T) {
	c := &call.Call{
		Kind:       call.KindChat,
		PrefixHash: 7,
	}
	c.SetSubjects()
	refusal := quarantineRefusal(c, quarantine.Admission{
		Held:    c.Subjects[1],
		Crashes: 3,
	})
	assert.Equal(t, refusal.Code, result.Quarantined)
	assert.ErrorContains(t, refusal, "the prompt's first message")
}

// answerCase is one row of testdata/answered.json.
type answerCase struct {
	Name   string
	Status int
	// Framing of the endpoint's response: "length", "chunked" or "connection". Crash ends the endpoint
	// before the response ends.
	Framing string
	Crash   bool
	// StallSeconds is how long the caller takes for the first event of a stream, which the
	// endpoint has sent whole by then.
	StallSeconds float64 `json:"stall_seconds"`
	// BodyBytes is the size of a large body, Stream whether it is one event. MaxBytes and
	// MaxBuffered are the client's limits.
	BodyBytes   int `json:"body_bytes"`
	Stream      bool
	MaxBytes    int `json:"max_bytes"`
	MaxBuffered int `json:"max_buffered"`
	// Want is what is reported to the quarantine: "answered", "cut" or nothing.
	Want     string
	WantCode result.Code `json:"want_code"`
}

func (c answerCase) body() string {
	if c.StallSeconds > 0 {
		return "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	}
	if c.BodyBytes > 0 {
		return strings.Repeat("x", c.BodyBytes)
	}
	return "hello"
}

// signedDialect takes every response with an id as signed.
var signedDialect = endpoint.Dialect{
	SetRequestHeader: func(http.Header, endpoint.RequestParams) {},
	ReadResponseHead: func(_ int, h http.Header, _ time.Time) endpoint.ResponseHead {
		return endpoint.ResponseHead{
			ID:     h.Get("Attempt"),
			Signed: true,
		}
	},
	ReadNotice: func(int, http.Header, time.Time) endpoint.Notice { return endpoint.Notice{} },
}

// TestCrashIsNoAnswer guards against a crash that is taken for an answer, which would clear the
// parts of prompts that caused it.
func TestCrashIsNoAnswer(t *testing.T) {
	for _, c := range datatest.Read[[]answerCase](t, "testdata/answered.json") {
		t.Run(c.Name, func(t *testing.T) {
			reported := ""
			var elapsed time.Duration
			now := func() time.Time { return time.Now().Add(elapsed) }
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Attempt", "r-1")
				if c.StallSeconds > 0 || c.Stream {
					w.Header().Set("Content-Type", "text/event-stream")
				}
				if c.Framing == "connection" {
					w.Header().Set("Transfer-Encoding", "identity")
				}
				w.WriteHeader(c.Status)
				_, _ = io.WriteString(w, c.body())
				if c.Crash {
					_ = server.Listener.Close()
				}
				if c.Crash && c.Framing == "chunked" {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			s := New(Options{
				Now:  now,
				VM:   "a",
				Pool: poolOf(1, server.Listener.Addr().String()),
				Endpoint: endpoint.New(endpoint.Options{
					Dialect:          signedDialect,
					Now:              now,
					MaxResponseBytes: c.MaxBytes,
					MaxBufferedBytes: c.MaxBuffered,
				}),
				Budget:   budgetOf(retry.NewBudget(1)),
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
				Quarantine: Quarantine{
					Admit: func([]call.Subject, call.Subject) quarantine.Admission { return quarantine.Admission{} },
					ConnectionLost: func(r quarantine.Run) {
						reported += "cut"
						if !quarantine.MayHaveCrashed(r.BeganAt, r.OpenAt) {
							reported += " late"
						}
					},
					Answered: func(quarantine.Run) { reported += "answered" },
				},
			})
			out := s.sendWithRetries(t.Context(), &call.Call{
				ID:       "r-1",
				Kind:     call.KindRouted,
				Service:  service,
				Method:   http.MethodPost,
				Path:     "/ask",
				Body:     []byte("prompt"),
				Deadline: time.Now().Add(time.Minute),
				Routed: &call.Routed{
					MaxAttempts: 1,
				},
			}, call.Sink{
				Head: func(int, http.Header) error { return nil },
				Chunk: func([]byte) error {
					// The end of the connection arrives meanwhile.
					time.Sleep(50 * time.Millisecond)
					elapsed += time.Duration(c.StallSeconds * float64(time.Second))
					return nil
				},
			}, nil)
			assert.Equal(t, out.Code, c.WantCode)
			assert.Equal(t, reported, c.Want)
		})
	}
}
