package listen

import (
	"errors"
	"os"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
)

const (
	// deliveryTimeout bounds how long a closed connection stays open if no stop bounds it.
	deliveryTimeout = 5 * time.Second
	// maxDiscardedBytes bounds what is read of such a connection meanwhile.
	maxDiscardedBytes  = 256 << 10
	discardBufferBytes = 512
	// The interval doubles up to the maximum, as many clients may not read for long.
	minDeliveryPollInterval = 5 * time.Millisecond
	maxDeliveryPollInterval = 100 * time.Millisecond
)

// DeliverBy bounds the time for which closed connections stay open until the client has
// acknowledged everything.
func (l *StoppableListener) DeliverBy(by time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliverBy = by
}

func (l *StoppableListener) deliveryDeadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deliverBy.IsZero() {
		return time.Now().Add(deliveryTimeout)
	}
	return l.deliverBy
}

// closeOnceDelivered closes a connection that has ended in the direction of the client, as soon
// as the client has acknowledged what was sent to it. If bytes of the client lie unread as a
// connection is closed, or arrive later, the kernel resets it and drops what is unsent.
func (c *stoppableConn) closeOnceDelivered(by time.Time) {
	delivered, discarded := c.awaitDelivery(by)
	loss := connLoss{
		undelivered: !delivered,
		unread:      discarded > 0 || tcp.Unread(c.Conn) > 0,
	}
	_ = c.Conn.Close()
	c.listener.forget(c, loss)
}

func (c *stoppableConn) awaitDelivery(by time.Time) (delivered bool, discarded int) {
	buffer := make([]byte, discardBufferBytes)
	interval := minDeliveryPollInterval
	for tcp.Unacknowledged(c.Conn) > 0 {
		now := time.Now()
		if discarded > maxDiscardedBytes || !now.Before(by) {
			return false, discarded
		}
		wait := min(interval, by.Sub(now))
		interval = min(2*interval, maxDeliveryPollInterval)
		_ = c.Conn.SetReadDeadline(now.Add(wait))
		n, err := c.Conn.Read(buffer)
		discarded += n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(wait)
		}
	}
	return true, discarded
}
