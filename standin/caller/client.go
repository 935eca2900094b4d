package caller

import (
	"net"
	"net/http"
	"time"
)

// Limits of the client's connections.
const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 10 * time.Second
	// maxIdleConnsPerVM allows thousands of concurrent streams to reuse connections.
	maxIdleConnsPerVM = 4096
	// expectContinueTimeout exceeds continueTimeout by far, which does not count the time in
	// which the process does not run, so that the transport never sends a body without 100
	// Continue.
	expectContinueTimeout = time.Hour
)

// NewClient returns an HTTP client that callers can share. It follows no redirects
// and sends a body only after 100 Continue.
func NewClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   maxIdleConnsPerVM,
			IdleConnTimeout:       idleConnTimeout,
			ExpectContinueTimeout: expectContinueTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
