package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// heldMost bounds the lines that a trail holds back.
const heldMost = 32

// Trail is the lines about one request. Those of a request that goes well are
// written only if it is in the sample; once it fails, what was held back is
// written, and what follows at once. All methods may be called on nil.
type Trail struct {
	logger  *slog.Logger
	request string

	mu     sync.Mutex
	direct bool
	held   []slog.Record
}

// NewTrail begins the trail of a request. sampled says that all its lines are written.
func NewTrail(logger *slog.Logger, request string, sampled bool) *Trail {
	return &Trail{
		logger:  logger,
		request: request,
		direct:  sampled,
	}
}

// Add notes a decision with the inputs that decided it.
func (t *Trail) Add(event string, attrs ...slog.Attr) {
	if t == nil {
		return
	}
	r := t.record(slog.LevelInfo, event, attrs)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.direct {
		t.write(r)
		return
	}
	if len(t.held) < heldMost {
		t.held = append(t.held, r)
	}
}

// Fail notes a decision or an outcome that is no plain success.
func (t *Trail) Fail(event string, attrs ...slog.Attr) {
	if t == nil {
		return
	}
	r := t.record(slog.LevelWarn, event, attrs)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.held {
		t.write(held)
	}
	t.held = nil
	t.direct = true
	t.write(r)
}

func (t *Trail) record(level slog.Level, event string, attrs []slog.Attr) slog.Record {
	r := slog.NewRecord(time.Now(), level, event, 0)
	r.AddAttrs(slog.String("request", t.request))
	r.AddAttrs(attrs...)
	return r
}

func (t *Trail) write(r slog.Record) {
	// The ring never fails.
	_ = t.logger.Handler().Handle(context.Background(), r)
}
