package origin

import (
	"slices"
	"time"
)

// census is what one VM has seen of the software versions of a service.
type census struct {
	// since is when the VM began to know all versions without a gap.
	since time.Time
	// published are the versions in the last view, goneAt is when each other one left it.
	published []string
	goneAt    map[string]time.Time
	// departures holds the last time at which an endpoint of each version may have left.
	departures map[departed]time.Time
}

// departed is the version of an endpoint that has left; known is false if it is not known.
type departed struct {
	version string
	known   bool
}

// Departure is the loss of endpoints of a version.
type Departure struct {
	Version string
	// VersionUnknown is set if the version of the endpoint is not known.
	VersionUnknown bool
}

// Observe records the versions of the endpoints of a service that take calls, in all regions. It
// is called whenever they change.
func (r *Register) Observe(service string, versions []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.census(service, now)
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

// ObserveDeparture records that an endpoint of a service no longer takes calls. It is called
// before Observe.
func (r *Register) ObserveDeparture(service, version string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.census(service, now).departures[departed{version: version, known: true}] = now
}

func (r *Register) census(service string, now time.Time) *census {
	c := r.services[service]
	if c == nil {
		c = &census{
			since:      now,
			goneAt:     make(map[string]time.Time),
			departures: make(map[departed]time.Time),
		}
		r.services[service] = c
	}
	return c
}

// Restart forgets how long the versions have been seen, after a time in which changes may have
// gone unseen.
func (r *Register) Restart(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasGap = true
	for _, c := range r.services {
		c.since = now
	}
}

// Restore adds what the history of the store tells of a service before the VM first read the
// store. It changes nothing if the VM may have missed changes since.
func (r *Register) Restore(service string, p Past) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[service]
	if c == nil || r.hasGap || !p.Since.Before(c.since) {
		return
	}
	c.since = p.Since
	for d, at := range p.departures {
		if at.After(c.departures[d]) {
			c.departures[d] = at
		}
	}
}

// Sole returns the only version of a service that endpoints have had since the given time; ok
// is false if there were several, or if this VM does not know that time whole.
func (r *Register) Sole(service string, since time.Time) (version string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[service]
	if c == nil || c.since.After(since) || len(c.published) != 1 {
		return "", false
	}
	for _, at := range c.goneAt {
		if at.After(since) {
			return "", false
		}
	}
	version = c.published[0]
	for d, at := range c.departures {
		if at.After(since) && (!d.known || d.version != version) {
			return "", false
		}
	}
	return version, true
}

// Versions returns the versions that a service has had since the given time, as far as they are
// known, in no particular order.
func (r *Register) Versions(service string, since time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[service]
	if c == nil {
		return nil
	}
	out := slices.Clone(c.published)
	add := func(version string) {
		if !slices.Contains(out, version) {
			out = append(out, version)
		}
	}
	for version, at := range c.goneAt {
		if at.After(since) {
			add(version)
		}
	}
	for d, at := range c.departures {
		if d.known && at.After(since) {
			add(d.version)
		}
	}
	return out
}

// Departures returns the versions of the endpoints of a service that may have left since the
// given time; known is false if this VM does not know that time whole.
func (r *Register) Departures(service string, since time.Time) (out []Departure, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[service]
	if c == nil {
		return nil, false
	}
	for d, at := range c.departures {
		if at.After(since) {
			out = append(out, Departure{
				Version:        d.version,
				VersionUnknown: !d.known,
			})
		}
	}
	return out, !c.since.After(since)
}

// KnownSince reports whether this VM knows all versions of a service since the given time.
func (r *Register) KnownSince(service string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[service]
	return c != nil && !c.since.After(since)
}
