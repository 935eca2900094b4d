package serving

import (
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/retry"
)

// answerTracker wraps a caller's sink and records what was delivered, so that another
// place can continue a broken stream.
type answerTracker struct {
	sink call.Sink
	now  func() time.Time
	// began is called with the software version of the endpoint that sent the first event.
	began       func(softwareVersion string)
	headSent    bool
	lastEventID string
	// unnumbered is set once the caller received an event without an id, as no place can
	// continue behind it.
	unnumbered bool
	// version is the software version of the endpoint that answers, as far as it is known;
	// from the first event on it is that which began the stream.
	version fleet.VersionPin
	// lastChunkAt is when the last chunk was delivered, longestGap the longest time
	// between two chunks.
	lastChunkAt time.Time
	longestGap  time.Duration
}

func (t *answerTracker) wrappedSink() call.Sink {
	return call.Sink{
		Version: func(softwareVersion string) {
			if t.lastEventID == "" {
				t.version = fleet.PinTo(softwareVersion)
			}
		},
		Head: func(status int, header http.Header) error {
			if t.headSent {
				return t.checkContinuation(status, header)
			}
			t.headSent = true
			return t.sink.Head(status, header)
		},
		Chunk: func(data []byte) error {
			endpoint.ScanEvents(data, t.recordEvent)
			t.recordChunkGap()
			return t.sink.Chunk(data)
		},
	}
}

func (t *answerTracker) recordEvent(id string) {
	if id == "" {
		t.unnumbered = true
		return
	}
	if t.lastEventID == "" && t.version.Set && t.began != nil {
		t.began(t.version.Version)
	}
	t.lastEventID = id
}

func (t *answerTracker) recordChunkGap() {
	now := t.now()
	if !t.lastChunkAt.IsZero() {
		t.longestGap = max(t.longestGap, now.Sub(t.lastChunkAt))
	}
	t.lastChunkAt = now
}

// checkContinuation rejects any response after the first that is not a continued stream.
func (t *answerTracker) checkContinuation(status int, header http.Header) error {
	if status != http.StatusOK || header.Get("Content-Length") != "" {
		return call.ErrNotContinuation
	}
	return nil
}

// placeResult describes the outcome at one VM and what the caller received of it.
func (t *answerTracker) placeResult(c *call.Call, o call.Outcome) retry.ForwardResult {
	return retry.ForwardResult{
		Code:       o.Code,
		Sent:       o.Sent,
		Ran:        o.EndpointsRun,
		Idempotent: c.Idempotent,
		HeadSent:   t.headSent,
		Resumable:  c.Routed.Resumable && !t.unnumbered && (t.lastEventID == "" || t.version.Set),
		EventSent:  t.lastEventID != "",
	}
}

// nextCall returns the call to send to the next place, after the previous one failed.
func (t *answerTracker) nextCall(c *call.Call, previous retry.ForwardResult, attemptsLeft int) *call.Call {
	next := *c
	routed := *c.Routed
	routed.MaxAttempts = attemptsLeft
	next.Routed = &routed
	if t.lastEventID != "" {
		routed.ResumeAfter = t.lastEventID
		routed.Pin = t.version
	}
	if previous.NextIsRetry() {
		routed.Retry = true
		// A quarantine trial ends with its first attempt.
		next.Trial = 0
	}
	return &next
}
