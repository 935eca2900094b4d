// Package tcp opens TCP connections that fail soon after the peer becomes
// unreachable. In a network partition a connection is not reset: without these
// timeouts the kernel keeps retransmitting, and a request may reach the peer long after
// its deadline.
package tcp

import (
	"context"
	"net"
	"time"
)

const (
	// userTimeout is how long sent data may stay unacknowledged. It allows for two
	// lost packets in a row between regions.
	userTimeout = time.Second
	// keepAliveIdle is how long a connection may be idle before the first probe.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// Dialer returns a dialer whose connections fail within about 2 s of the peer becoming
// unreachable.
func Dialer(dialTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAliveConfig(),
		Control:         control,
	}
}

// Listen returns a listener whose connections have the timeouts of Dialer.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: keepAliveConfig(),
		Control:         control,
	}
	return config.Listen(ctx, "tcp", addr)
}

// Probe checks that an address accepts connections.
func Probe(ctx context.Context, addr string) error {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveProbes,
	}
}
