package serving

import (
	"errors"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/retry"
)

// passed is what the caller has of an answer.
type passed struct {
	sink      call.Sink
	now       func() time.Time
	headed    bool
	lastEvent string
	// lastAt is when the last piece was passed on, pause the longest time between two.
	lastAt time.Time
	pause  time.Duration
}

func (p *passed) tracked() call.Sink {
	return call.Sink{
		Head: func(status int, header http.Header) error {
			if p.headed {
				return p.goesOn(status, header)
			}
			p.headed = true
			return p.sink.Head(status, header)
		},
		Chunk: func(data []byte) error {
			if id := endpoint.LastEventID(data); id != "" {
				p.lastEvent = id
			}
			p.timePiece()
			return p.sink.Chunk(data)
		},
	}
}

func (p *passed) timePiece() {
	now := p.now()
	if !p.lastAt.IsZero() {
		p.pause = max(p.pause, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

// errSeam says that what follows is no continuation of what the caller has.
var errSeam = errors.New("the answer does not continue the stream")

// goesOn refuses any head after the first but that of a stream that goes on.
func (p *passed) goesOn(status int, header http.Header) error {
	if status != http.StatusOK || header.Get("Content-Length") != "" {
		return errSeam
	}
	return nil
}

// place is what the last VM made of the call, with what the caller has of it.
func (p *passed) place(c *call.Call, o call.Outcome) retry.Place {
	return retry.Place{
		Code:       o.Code,
		Ran:        o.Ran,
		Idempotent: c.Idempotent,
		Headed:     p.headed,
		Resumable:  c.Routed.Resumable,
		HasEvent:   p.lastEvent != "",
	}
}

// moved is the call as the next place gets it, after what the one before made of it.
func (p *passed) moved(c *call.Call, before retry.Place, runsLeft int) *call.Call {
	next := *c
	routed := *c.Routed
	routed.MaxAttempts = runsLeft
	next.Routed = &routed
	if p.lastEvent != "" {
		routed.ResumeAfter = p.lastEvent
	}
	if before.IsRepeat() {
		routed.Repeated = true
		// A trial is over with its first attempt.
		next.Trial = false
	}
	return &next
}
