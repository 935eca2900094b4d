package listen

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
)

const (
	// queueGrace is how long Stop waits for connections that the kernel has accepted and the
	// server has not.
	queueGrace = 5 * time.Millisecond
	// stopTimeout bounds Stop, where the server accepts no connections.
	stopTimeout = time.Second
)

// StoppableListener is a listener that can stop accepting connections while its server keeps
// serving the open ones, and that can end those without losing a request that has arrived.
// http.Server.Shutdown alone drops requests that it reads after the call, and those that lie
// unread in the kernel.
type StoppableListener struct {
	net.Listener

	stopOnce  sync.Once
	stopped   chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
	drainOnce sync.Once
	drained   chan struct{}

	mu         sync.Mutex
	conns      map[*stoppableConn]struct{}
	endingIdle bool
	// deliverBy is the time that DeliverBy sets; zero means deliveryTimeout.
	deliverBy time.Time
	// undelivered counts the connections that were closed with unacknowledged bytes.
	undelivered int
	// unread counts those that were closed with bytes of the client that the server hadn't read.
	unread int
}

// NewStoppableListener returns a StoppableListener that accepts from ln.
func NewStoppableListener(ln net.Listener) *StoppableListener {
	return &StoppableListener{
		Listener: ln,
		stopped:  make(chan struct{}),
		closed:   make(chan struct{}),
		drained:  make(chan struct{}),
		conns:    make(map[*stoppableConn]struct{}),
	}
}

// Accept returns the next connection. After Stop it returns those that were established
// before, and then blocks until Close.
func (l *StoppableListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.track(conn), nil
		}
		select {
		case <-l.closed:
			return nil, err
		default:
		}
		select {
		case <-l.stopped:
		default:
			return nil, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && tcp.IsReadable(l.Listener) && l.setAcceptDeadline() == nil {
			continue
		}
		l.drainOnce.Do(func() { close(l.drained) })
		<-l.closed
		return nil, err
	}
}

// Stop stops accepting connections. Those that the kernel has accepted before are served, as
// it would reset them otherwise.
func (l *StoppableListener) Stop() error {
	var err error
	l.stopOnce.Do(func() {
		close(l.stopped)
		if l.setAcceptDeadline() == nil {
			timer := time.NewTimer(stopTimeout)
			defer timer.Stop()
			select {
			case <-l.drained:
			case <-l.closed:
			case <-timer.C:
			}
		}
		err = l.Listener.Close()
	})
	return err
}

// Close closes the listener and unblocks Accept.
func (l *StoppableListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	var err error
	l.stopOnce.Do(func() {
		close(l.stopped)
		err = l.Listener.Close()
	})
	return err
}

// setAcceptDeadline bounds the wait for connections that are established already.
func (l *StoppableListener) setAcceptDeadline() error {
	ln, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return ln.SetDeadline(time.Now().Add(queueGrace))
}
