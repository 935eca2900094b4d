package rig

import (
	"net"
	"sync"
	"sync/atomic"
)

// Link is a TCP proxy between two processes that a test can block. A blocked
// link accepts connections and discards all data, like a network that drops
// packets.
type Link struct {
	ln      net.Listener
	target  atomic.Pointer[string]
	blocked atomic.Bool
	// repliesBlocked discards only what the target sends.
	repliesBlocked atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newLink() (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		ln:    ln,
		conns: make(map[net.Conn]struct{}),
	}
	go l.accept()
	return l, nil
}

// Addr is the address that clients connect to.
func (l *Link) Addr() string {
	return l.ln.Addr().String()
}

// SetTarget sets the address that connections are forwarded to.
func (l *Link) SetTarget(addr string) {
	l.target.Store(&addr)
}

// Block discards all data in both directions. Open connections stay open until
// Unblock closes them.
func (l *Link) Block() { l.blocked.Store(true) }

// BlockReplies discards only the data that the target sends.
func (l *Link) BlockReplies() { l.repliesBlocked.Store(true) }

// Unblock forwards new connections again and closes the open ones, which may
// have lost data.
func (l *Link) Unblock() {
	if !l.blocked.Swap(false) && !l.repliesBlocked.Swap(false) {
		return
	}
	l.repliesBlocked.Store(false)
	l.closeConns()
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.closeConns()
}

func (l *Link) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
	clear(l.conns)
}

func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.proxy(near)
	}
}

func (l *Link) proxy(near net.Conn) {
	l.track(near)
	if l.blocked.Load() {
		return
	}
	target := l.target.Load()
	if target == nil {
		l.closeConn(near)
		return
	}
	far, err := net.Dial("tcp", *target)
	if err != nil {
		l.closeConn(near)
		return
	}
	l.track(far)
	go l.forward(far, near, &l.blocked, &l.blocked)
	l.forward(near, far, &l.blocked, &l.repliesBlocked)
}

func (l *Link) track(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
}

func (l *Link) closeConn(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

// forward copies data until either side closes, and discards it while any of
// blocks is set.
func (l *Link) forward(to, from net.Conn, blocks ...*atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if anySet(blocks) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	l.closeConn(to)
	l.closeConn(from)
}

func anySet(flags []*atomic.Bool) bool {
	for _, f := range flags {
		if f.Load() {
			return true
		}
	}
	return false
}
