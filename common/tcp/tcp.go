// Package tcp opens connections that notice by themselves when the other side
// falls silent. A connection that a cut swallowed is never reset: without a
// time-out of its own, what was written to it waits in the kernel and may reach
// the other side many seconds later, when nobody wants it any more.
package tcp

import (
	"context"
	"net"
	"time"
)

const (
	// unackedWithin is how long sent bytes may stay unacknowledged: several trips
	// there and back between regions, with two lost packets in a row (retransmitted
	// after some 0.3 and 0.6 s). Of six seconds of a cut between all regions, 7 to 10
	// calls reached engines after their callers had left without it, in three plays
	// of four.
	unackedWithin = time.Second
	// probeAfter is how long a connection may be idle before it is probed, and
	// probeEvery and probes how often until it counts as lost.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probes     = 2
)

// Dialer returns a dialer whose connections are lost after some 2 s of silence.
func Dialer(within time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         within,
		KeepAliveConfig: keepAlive(),
		Control:         control,
	}
}

// Listen listens for connections that are lost in the same way.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: keepAlive(),
		Control:         control,
	}
	return config.Listen(ctx, "tcp", addr)
}

// Reach opens a connection to an address and closes it.
func Reach(ctx context.Context, addr string) error {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeAfter,
		Interval: probeEvery,
		Count:    probes,
	}
}
