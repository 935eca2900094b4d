package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is the network between the machines and a replica. A cut holds up what is under way in both
// directions, the ends of connections included; all of it arrives once the cut has healed.
type link struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	healed chan struct{}
}

func newLink(addr, target string) (*link, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &link{
		ln:     ln,
		target: target,
		healed: make(chan struct{}),
	}
	close(l.healed)
	go l.accept()
	return l, nil
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

// await waits while the link is cut.
func (l *link) await() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *link) accept() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) serve(conn net.Conn) {
	l.await()
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.pass(out, conn) })
	directions.Go(func() { l.pass(conn, out) })
	directions.Wait()
	_ = conn.Close()
	_ = out.Close()
}

// pass copies one direction of a connection.
func (l *link) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		half, ok := to.(*net.TCPConn)
		if ok && errors.Is(err, io.EOF) {
			_ = half.CloseWrite()
		} else {
			reset(to)
		}
		return
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}
