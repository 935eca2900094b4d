package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is how a link treats traffic.
type linkMode int

const (
	linkOpen linkMode = iota
	// linkSlow delays each chunk, linkOneWay stalls responses, linkSilent stalls both
	// directions, and linkReset resets open and new connections.
	linkSlow
	linkOneWay
	linkSilent
	linkReset
)

// slowLinkDelay is the delay of each chunk on a slow link.
const slowLinkDelay = 80 * time.Millisecond

// link is a loopback TCP proxy that injects network faults on connections to its target.
type link struct {
	target string
	ln     net.Listener
	mu     sync.Mutex
	mode   linkMode
	conns  map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{
		target: target,
		ln:     ln,
		conns:  make(map[net.Conn]bool),
	}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

// setMode changes the mode; linkReset also resets the open connections.
func (l *link) setMode(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode == linkReset {
		for conn := range l.conns {
			resetConn(conn)
		}
	}
}

func (l *link) currentMode() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) close() {
	_ = l.ln.Close()
	l.setMode(linkReset)
}

func (l *link) accept() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.currentMode() == linkReset {
			resetConn(conn)
			continue
		}
		go l.serve(conn)
	}
}

func (l *link) serve(conn net.Conn) {
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		resetConn(conn)
		return
	}
	l.track(conn, out)
	defer l.untrack(conn, out)
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(out, conn, false) })
	directions.Go(func() { l.forward(conn, out, true) })
	directions.Wait()
}

// forward copies one direction of a connection, subject to the link's mode.
func (l *link) forward(to, from net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.awaitForwarding(responses) {
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			propagateClose(to, err)
			return
		}
	}
}

// awaitForwarding blocks while the link is slow or stalled. It reports whether the chunk may
// be forwarded.
func (l *link) awaitForwarding(responses bool) bool {
	for {
		switch mode := l.currentMode(); {
		case mode == linkSlow:
			time.Sleep(slowLinkDelay)
			return true
		case mode == linkSilent, mode == linkOneWay && responses:
			time.Sleep(10 * time.Millisecond)
		case mode == linkReset:
			return false
		default:
			return true
		}
	}
}

// propagateClose closes or resets one side of a connection as the other side ended.
func propagateClose(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	resetConn(to)
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// track adds connections to those that linkReset resets.
func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

// untrack closes connections and removes them from those that linkReset resets.
func (l *link) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
		_ = conn.Close()
	}
}
