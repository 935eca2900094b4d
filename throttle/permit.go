package throttle

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// comeBackWithin bounds when a refused caller is told to come back: callers do not wait
// longer.
const comeBackWithin = 10 * time.Second

// Permit allows one request to an endpoint.
type Permit struct {
	// Until is until when it may be sent; zero for an endpoint without a limit.
	Until time.Time
	// used is set once it was sent.
	used bool
}

// Sending uses a permit right before the first byte of its request goes out. The refusal is
// for one that has waited too long, or that is sent once more by itself.
func (t *Throttle) Sending(e fleet.Endpoint, p *Permit, now time.Time) *result.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.endpoints[e.ID]
	if held == nil || !held.limit.binds(e) {
		return nil
	}
	if p.used || now.After(p.Until) {
		return result.Refuse(result.LimitEndpoint, "the endpoint takes %g requests a second, and this one is not permitted now", held.limit.PerSecond)
	}
	p.used = true
	return nil
}

// ComeBackAt returns when a caller is to come back that this VM has no permitted endpoint
// for. All endpoints of the target that take requests have limits, and the first of them
// opens at opensAt for this VM. Each caller is told a time of its own, at the pace of this
// VM's part of the limits.
func (t *Throttle) ComeBackAt(target string, endpointIDs []string, opensAt time.Time, r Region, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond := 0.0
	for _, id := range endpointIDs {
		if held := t.endpoints[id]; held != nil && held.limit.Active {
			perSecond += max(held.limit.PerSecond, leastPerSecond)
		}
	}
	if perSecond == 0 {
		return opensAt
	}
	told := t.comeBacks[target]
	if told == nil {
		told = &turns{}
		t.comeBacks[target] = told
	}
	return told.next(opensAt, interval(perSecond/float64(max(len(r.Near), 1))), now.Add(comeBackWithin))
}

// questionPart is the part of an endpoint's rate that questions for its load and health
// take at most.
const questionPart = 0.2

// QuestionDue reports whether an endpoint may be asked for its load and health, by so many
// requests together. Each of them needs a permit besides.
func (t *Throttle) QuestionDue(e fleet.Endpoint, requests int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.endpoints[e.ID]
	if held == nil || !held.limit.binds(e) {
		return true
	}
	if now.Before(held.questionAt) {
		return false
	}
	held.questionAt = now.Add(time.Duration(requests) * interval(questionPart*max(held.limit.PerSecond, leastPerSecond)))
	return true
}
