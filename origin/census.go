package origin

import (
	"slices"
	"time"
)

// census is what one VM has seen of the software versions of a service.
type census struct {
	// since is when the VM began to see all versions without a gap.
	since time.Time
	// published are the versions in the last view, goneAt is when each other one left it.
	published []string
	goneAt    map[string]time.Time
}

// Observe records the versions of the endpoints of a service that take calls, in all regions. It
// is called whenever they change.
func (r *Register) Observe(service string, versions []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[service]
	if c == nil {
		c = &census{
			since:  now,
			goneAt: make(map[string]time.Time),
		}
		r.services[service] = c
	}
	for _, v := range c.published {
		if !slices.Contains(versions, v) {
			c.goneAt[v] = now
		}
	}
	c.published = slices.Clone(versions)
	for _, v := range versions {
		delete(c.goneAt, v)
	}
}

// Restart forgets how long the versions have been seen, after a time in which changes may have
// gone unseen.
func (r *Register) Restart(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.services {
		c.since = now
	}
}

// Sole returns the only version of a service that was published within the given lifetime of
// streams; ok is false if there were several, or if this VM has not seen that time whole.
func (r *Register) Sole(service string, lifetime time.Duration, now time.Time) (version string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[service]
	if c == nil || now.Sub(c.since) < lifetime || len(c.published) != 1 {
		return "", false
	}
	for v, at := range c.goneAt {
		if now.Sub(at) < lifetime {
			return "", false
		}
		delete(c.goneAt, v)
	}
	return c.published[0], true
}
