package routing

import "time"

// PauseUntil keeps this VM's calls from an endpoint until the given time; a zero time
// reopens it.
func (p *Pool) PauseUntil(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byID[id]; e != nil {
		e.pausedUntil = until
	}
}

// Paused returns the eligible endpoints that are paused now, and when the first of them
// opens.
func (p *Pool) Paused(now time.Time) (ids []string, opensAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.eligible {
		if !e.paused(now) {
			continue
		}
		ids = append(ids, e.ID)
		if opensAt.IsZero() || e.pausedUntil.Before(opensAt) {
			opensAt = e.pausedUntil
		}
	}
	return ids, opensAt
}
