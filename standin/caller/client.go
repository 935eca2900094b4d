package caller

import (
	"net"
	"net/http"
	"time"
)

// Limits of the client's connections.
const (
	dialWithin = 2 * time.Second
	idleWithin = 10 * time.Second
	// idlePerVM keeps the connections of thousands of concurrent streams.
	idlePerVM = 4096
	// sendAnywayAfter is past continueWithin, so that no body goes out unasked.
	sendAnywayAfter = 2 * continueWithin
)

// NewClient makes an HTTP client for any number of callers. It keeps its
// connections, follows no redirects and waits to be asked for a body.
func NewClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialWithin,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   idlePerVM,
			IdleConnTimeout:       idleWithin,
			ExpectContinueTimeout: sendAnywayAfter,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
