package endpoint

import (
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Notice is what an endpoint says about itself in the head of a response.
type Notice struct {
	// Rate is the rate limit for all VMs together.
	Rate fleet.Rate
	// Leaving is set if the endpoint stops soon and accepts no new requests.
	Leaving bool
	// RestUntil is until when a refusing endpoint wants no requests from this VM; zero if
	// it named no time.
	RestUntil time.Time
}

// readNotice parses the notice in a response head. The caller has verified that the head
// is of the expected endpoint.
func (c *Client) readNotice(status int, h http.Header) Notice {
	if c.dialect.ReadNotice == nil {
		return Notice{}
	}
	return c.dialect.ReadNotice(status, h, c.now())
}
