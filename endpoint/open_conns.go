package endpoint

import (
	"slices"
	"sync"
	"time"
)

// openConns holds the open connections to endpoints by address. It is safe for concurrent
// use.
type openConns struct {
	mu     sync.Mutex
	byAddr map[string][]*trackedConn
}

func newOpenConns() *openConns {
	return &openConns{
		byAddr: make(map[string][]*trackedConn),
	}
}

func (o *openConns) add(c *trackedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byAddr[c.addr] = append(o.byAddr[c.addr], c)
}

func (o *openConns) remove(c *trackedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rest := slices.DeleteFunc(o.byAddr[c.addr], func(other *trackedConn) bool { return other == c })
	if len(rest) == 0 {
		delete(o.byAddr, c.addr)
		return
	}
	o.byAddr[c.addr] = rest
}

// anyOpenedBefore reports whether a connection that was opened before a time is still open.
// The process at the address has then not changed since.
func (o *openConns) anyOpenedBefore(addr string, at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.byAddr[addr], func(c *trackedConn) bool { return c.openedAt.Before(at) && c.isOpen() })
}
