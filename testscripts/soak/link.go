package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is what a link does with what passes.
type linkMode int

const (
	linkOpen linkMode = iota
	// linkSlow delays each piece, linkOneWay swallows answers, linkSilent both
	// ways, and linkReset resets what is open and what comes.
	linkSlow
	linkOneWay
	linkSilent
	linkReset
)

// slowBy is the delay of each piece on a slow link.
const slowBy = 80 * time.Millisecond

// link is a loopback proxy for one way into or out of a process.
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

func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode == linkReset {
		for conn := range l.conns {
			reset(conn)
		}
	}
}

func (l *link) now() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) close() {
	_ = l.ln.Close()
	l.set(linkReset)
}

func (l *link) accept() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.now() == linkReset {
			reset(conn)
			continue
		}
		go l.serve(conn)
	}
}

func (l *link) serve(conn net.Conn) {
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	l.keep(conn, out)
	defer l.drop(conn, out)
	var both sync.WaitGroup
	both.Go(func() { l.pass(out, conn, false) })
	both.Go(func() { l.pass(conn, out, true) })
	both.Wait()
}

func (l *link) pass(to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.passes(answers) {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			end(to, err)
			return
		}
	}
}

// passes waits while the link is slow or silent; it is false when a piece is lost.
func (l *link) passes(answers bool) bool {
	for {
		switch mode := l.now(); {
		case mode == linkSlow:
			time.Sleep(slowBy)
			return true
		case mode == linkSilent, mode == linkOneWay && answers:
			time.Sleep(10 * time.Millisecond)
		case mode == linkReset:
			return false
		default:
			return true
		}
	}
}

// end passes the end of one side on as it was: closed or reset.
func end(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *link) keep(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

func (l *link) drop(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
		_ = conn.Close()
	}
}
