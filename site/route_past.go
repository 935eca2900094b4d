package site

import (
	"slices"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// routePast knows since when the routes with streams have led to their services, and how long
// streams could last of late.
type routePast struct {
	mu sync.Mutex
	// only is the service of each route that has one service only, since is when that began.
	only  map[routeKey]string
	since map[routeKey]time.Time
	// firstAt is when the first table was observed.
	firstAt time.Time
	timeout time.Duration
	// timeoutsSince is the time from which on all timeouts are known.
	timeoutsSince time.Time
	// longer are the longer timeouts of earlier tables, with the time at which they ended.
	longer []endedTimeout
}

// routeKey identifies a route across versions of the table.
type routeKey struct {
	host, prefix string
}

type endedTimeout struct {
	timeout time.Duration
	at      time.Time
}

func newRoutePast() *routePast {
	return &routePast{
		only:  make(map[routeKey]string),
		since: make(map[routeKey]time.Time),
	}
}

// observe records a new table.
func (p *routePast) observe(t *route.Table, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstAt.IsZero() {
		p.firstAt, p.timeoutsSince = now, now
	}
	if t.StreamTimeout() < p.timeout {
		p.longer = append(p.longer, endedTimeout{
			timeout: p.timeout,
			at:      now,
		})
	}
	p.timeout = t.StreamTimeout()
	p.longer = slices.DeleteFunc(p.longer, func(e endedTimeout) bool {
		return e.timeout <= p.timeout || now.Sub(e.at) > e.timeout+resumeMargin
	})
	only, since := make(map[routeKey]string), make(map[routeKey]time.Time)
	for _, r := range t.StreamRoutes() {
		key := routeKey{
			host:   r.Host,
			prefix: r.Prefix,
		}
		if len(r.Shares) != 1 {
			continue
		}
		only[key], since[key] = r.Shares[0].Service, now
		if p.only[key] == only[key] {
			since[key] = p.since[key]
		}
	}
	p.only, p.since = only, since
}

// restore extends the routes of the first table to the past, in which it was in force since the
// given time, and the timeouts of tables before it.
func (p *routePast) restore(since time.Time, earlier origin.Timeouts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earlier.Since.Before(p.timeoutsSince) {
		p.timeoutsSince = earlier.Since
	}
	p.longer = append(p.longer, endedTimeout{
		timeout: earlier.Longest,
		at:      p.firstAt,
	})
	for key, at := range p.since {
		if at.Equal(p.firstAt) {
			p.since[key] = since
		}
	}
}

// longestTimeout returns the longest timeout of a route with streams of late; known is false
// if the configuration may have had a longer one.
func (p *routePast) longestTimeout(now time.Time) (longest time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest = p.timeout
	for _, e := range p.longer {
		if now.Sub(e.at) <= e.timeout+resumeMargin {
			longest = max(longest, e.timeout)
		}
	}
	return longest, !p.firstAt.IsZero() && now.Sub(p.timeoutsSince) >= longest+resumeMargin
}

// ledOnlyTo reports whether a route of the present table has led to a service and no other since
// the given time.
func (p *routePast) ledOnlyTo(service string, r *route.Route, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := routeKey{
		host:   r.Host,
		prefix: r.Prefix,
	}
	at, known := p.since[key]
	return known && !at.After(since) && p.only[key] == service
}
