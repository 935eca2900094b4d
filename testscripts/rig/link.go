package rig

import (
	"net"
	"sync"
	"sync/atomic"
)

// Link is the way from one process to another, which a test can cut. A cut
// link accepts connections and passes nothing, as a network that drops packets.
type Link struct {
	ln     net.Listener
	target atomic.Pointer[string]
	cut    atomic.Bool
	// cutBack drops only what the far side sends.
	cutBack atomic.Bool

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

// Addr is where the near side connects to.
func (l *Link) Addr() string {
	return l.ln.Addr().String()
}

// Aim sets the address of the far side.
func (l *Link) Aim(addr string) {
	l.target.Store(&addr)
}

// Cut drops everything from now on, either way. Open connections stay open
// and silent until Heal closes them.
func (l *Link) Cut() { l.cut.Store(true) }

// CutBack drops only the far side's answers.
func (l *Link) CutBack() { l.cutBack.Store(true) }

// Heal lets new connections pass and closes those that lost bytes.
func (l *Link) Heal() {
	if !l.cut.Swap(false) && !l.cutBack.Swap(false) {
		return
	}
	l.cutBack.Store(false)
	l.closeConns()
}

// Close ends the link.
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
		go l.pass(near)
	}
}

func (l *Link) pass(near net.Conn) {
	l.keep(near)
	if l.cut.Load() {
		return
	}
	target := l.target.Load()
	if target == nil {
		l.drop(near)
		return
	}
	far, err := net.Dial("tcp", *target)
	if err != nil {
		l.drop(near)
		return
	}
	l.keep(far)
	go l.copy(far, near, &l.cut, &l.cut)
	l.copy(near, far, &l.cut, &l.cutBack)
}

func (l *Link) keep(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
}

func (l *Link) drop(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

// copy passes bytes on until an end closes; while a cut holds they are lost.
func (l *Link) copy(to, from net.Conn, cuts ...*atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if anySet(cuts) {
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
	l.drop(to)
	l.drop(from)
}

func anySet(flags []*atomic.Bool) bool {
	for _, f := range flags {
		if f.Load() {
			return true
		}
	}
	return false
}
