package listen

import (
	"net"
	"sync"
)

// StoppableListener is a listener that can stop accepting connections while its server keeps
// serving the open ones. http.Server.Shutdown alone drops requests that it reads after
// the call, such as the first request of a connection that was just accepted.
type StoppableListener struct {
	net.Listener

	stopOnce  sync.Once
	stopped   chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// NewStoppableListener returns a StoppableListener that accepts from ln.
func NewStoppableListener(ln net.Listener) *StoppableListener {
	return &StoppableListener{
		Listener: ln,
		stopped:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
}

// Accept returns the next connection. After Stop it blocks until Close.
func (l *StoppableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-l.stopped:
		<-l.closed
	default:
	}
	return nil, err
}

// Stop stops accepting connections.
func (l *StoppableListener) Stop() error {
	var err error
	l.stopOnce.Do(func() {
		close(l.stopped)
		err = l.Listener.Close()
	})
	return err
}

// Close stops the listener and unblocks Accept.
func (l *StoppableListener) Close() error {
	err := l.Stop()
	l.closeOnce.Do(func() { close(l.closed) })
	return err
}
