package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// Unread are the prompts that one endpoint has not read yet for one VM's calls.
type Unread struct {
	Endpoint string
	// MovedAt is when the endpoint last came to another of them.
	MovedAt time.Time
	Prompts []UnreadPrompt
}

// UnreadPrompt is what an endpoint has to read of one call.
type UnreadPrompt struct {
	Tokens int
	// Turn is the call's place in the order at the endpoint.
	Turn   int
	SentAt time.Time
}

// tellerGoodFor is how long a VM that told of its prompts counts as one that
// tells them: it tells every second while it lives.
const tellerGoodFor = 3 * time.Second

// Unread returns what waits for this VM's calls; changes says how often that has
// changed so far.
func (p *Pool) Unread() (list []Unread, changes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if len(e.reading.prompts) == 0 {
			continue
		}
		u := Unread{
			Endpoint: e.ID,
			MovedAt:  e.reading.movedAt,
		}
		for _, q := range e.reading.prompts {
			u.Prompts = append(u.Prompts, UnreadPrompt{
				Tokens: int(q.tokens),
				Turn:   q.turn,
				SentAt: q.sentAt,
			})
		}
		list = append(list, u)
	}
	return list, p.readingChanges
}

// TakeUnread takes what another VM of the region tells, all of it as of a moment.
func (p *Pool) TakeUnread(vm string, list []Unread, at, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tellers[vm] = now
	p.forgetTellers(now)
	byEndpoint := make(map[string]Unread, len(list))
	for _, u := range list {
		byEndpoint[u.Endpoint] = u
	}
	for _, e := range p.endpoints {
		e.reading.hear(byEndpoint[e.ID].of(vm, at).since(e.restartedAt))
	}
}

// forgetTellers drops VMs that tell no more: those that are replaced come back under
// other names, 230 a day of a large fleet.
func (p *Pool) forgetTellers(now time.Time) {
	for vm, at := range p.tellers {
		if now.Sub(at) <= tellerGoodFor {
			continue
		}
		delete(p.tellers, vm)
		for _, e := range p.endpoints {
			e.reading.forget(vm)
		}
	}
}

func (u Unread) of(vm string, at time.Time) otherReading {
	o := otherReading{
		vm:      vm,
		movedAt: u.MovedAt,
		at:      at,
	}
	for _, q := range u.Prompts {
		o.prompts = append(o.prompts, prompt{
			tokens: float64(q.Tokens),
			turn:   min(max(q.Turn, 0), call.Turns-1),
			sentAt: q.SentAt,
		})
	}
	return o
}

// untold is the part of the other VMs that do not tell their prompts.
func (p *Pool) untold(now time.Time) float64 {
	if p.vms <= 1 {
		return 1
	}
	told := 0
	for _, at := range p.tellers {
		if now.Sub(at) <= tellerGoodFor {
			told++
		}
	}
	return float64(max(p.vms-1-told, 0)) / float64(p.vms-1)
}
