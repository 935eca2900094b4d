package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxBufferedRecords limits the memory of a request's buffered log records.
const maxBufferedRecords = 32

// RequestLog is the log of one request. Its lines are written immediately if the
// request is sampled; otherwise they are buffered, and written only if the request
// fails. All methods may be called on a nil RequestLog.
type RequestLog struct {
	logger  *slog.Logger
	request string
	// mayRefuse reports whether a refusal may be logged now; nil means always.
	mayRefuse func() bool

	mu         sync.Mutex
	unbuffered bool
	buffered   []slog.Record
}

// NewRequestLog returns the log of a request. If sampled is set, nothing is buffered.
func NewRequestLog(logger *slog.Logger, request string, sampled bool) *RequestLog {
	return &RequestLog{
		logger:     logger,
		request:    request,
		unbuffered: sampled,
	}
}

// Add logs a decision and its inputs at level info.
func (t *RequestLog) Add(event string, attrs ...slog.Attr) {
	if t == nil {
		return
	}
	r := t.record(slog.LevelInfo, event, attrs)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unbuffered {
		t.write(r)
		return
	}
	if len(t.buffered) < maxBufferedRecords {
		t.buffered = append(t.buffered, r)
	}
}

// Fail logs a failure at level warn, after all buffered lines. Lines that follow
// are written immediately.
func (t *RequestLog) Fail(event string, attrs ...slog.Attr) {
	if t == nil {
		return
	}
	r := t.record(slog.LevelWarn, event, attrs)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.buffered {
		t.write(held)
	}
	t.buffered = nil
	t.unbuffered = true
	t.write(r)
}

// LimitRefusals sets a function that reports whether a refusal may be logged at the time of
// the call.
func (t *RequestLog) LimitRefusals(mayRefuse func() bool) {
	t.mayRefuse = mayRefuse
}

// Refuse is Fail for a request that did not run, which is often one of many. It is Add if
// the limit on refusals allows no further one.
func (t *RequestLog) Refuse(event string, attrs ...slog.Attr) {
	if t != nil && t.mayRefuse != nil && !t.mayRefuse() {
		t.Add(event, attrs...)
		return
	}
	t.Fail(event, attrs...)
}

func (t *RequestLog) record(level slog.Level, event string, attrs []slog.Attr) slog.Record {
	r := slog.NewRecord(time.Now(), level, event, 0)
	r.AddAttrs(slog.String("request", t.request))
	r.AddAttrs(attrs...)
	return r
}

func (t *RequestLog) write(r slog.Record) {
	// bufferWriter never returns an error.
	_ = t.logger.Handler().Handle(context.Background(), r)
}
