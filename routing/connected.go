package routing

import (
	"slices"
	"time"
)

// connectedEndpoints are the endpoints of the last successful calls of this VM, the latest
// first. Their connections are probably still open. It answers a large region with few
// calls for each VM: a random choice among hundreds of endpoints would open a connection
// for nearly every call.
type connectedEndpoints []*endpoint

// add records that a call's connection is idle from now on.
func (c *connectedEndpoints) add(e *endpoint, now time.Time) {
	e.idleConns++
	e.idleSince = now
	list := slices.DeleteFunc(*c, func(other *endpoint) bool { return other == e })
	list = slices.Insert(list, 0, e)
	*c = list[:min(len(list), maxConnected)]
}

// useConn records that a call takes an idle connection, if there is one.
func (e *endpoint) useConn(now time.Time) {
	if !e.hasIdleConn(now) {
		e.idleConns = 0
		return
	}
	e.idleConns--
}

// hasIdleConn reports whether a call probably needs no new connection.
func (e *endpoint) hasIdleConn(now time.Time) bool {
	return e.idleConns > 0 && now.Sub(e.idleSince) < idleConnTTL
}
