package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	reportPath     = "/v1/load"
	maxReportBytes = 64 << 10
)

// Load is what an endpoint says of itself. It lags behind the truth.
type Load struct {
	// At is when it was true, by the endpoint's clock; on an answer, when it arrived.
	At time.Time `json:"at"`
	// Slots is how many requests run at once; Running and Waiting are requests now.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens are prompt tokens that wait for prefill. An answer doesn't tell them.
	QueuedTokens    int     `json:"queued_tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Leaving endpoints must get no new work.
	Leaving bool `json:"leaving"`
	// CacheUsed is the memory of running requests and CacheTokens all of it, in
	// tokens; zero where the endpoint does not say.
	CacheUsed   int `json:"-"`
	CacheTokens int `json:"-"`
	// Incarnation is that of the endpoint, as in fleet.Endpoint.
	Incarnation int64 `json:"-"`
}

// Report asks an endpoint for its load. Errors are of the connection, of the
// status, or of the report's form.
func (c *Client) Report(ctx context.Context, e fleet.Endpoint) (Load, error) {
	path, decode := c.reportFormat()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr+path, nil)
	if err != nil {
		return Load{}, merry.Wrap(err)
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return Load{}, merry.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Load{}, merry.Errorf("load report of %s: status %d", e.ID, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return Load{}, merry.Wrap(err)
	}
	load, err := decode(data, c.now())
	if err != nil {
		return Load{}, merry.Prependf(err, "load report of %s", e.ID)
	}
	if load.Slots < 0 || load.Running < 0 || load.Waiting < 0 || load.QueuedTokens < 0 || load.TokensPerSecond < 0 {
		return Load{}, merry.Errorf("load report of %s: a number is negative", e.ID)
	}
	return load, nil
}

// ColdFor asks an endpoint how long it is cold yet. The check waits for a slot
// like any request.
func (c *Client) ColdFor(ctx context.Context, e fleet.Endpoint, path string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr+path, nil)
	if err != nil {
		return 0, merry.Wrap(err)
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return 0, merry.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxReportBytes)); err != nil {
		return 0, merry.Wrap(err)
	}
	return c.dialect.ReadColdFor(resp.Header), nil
}

// reportFormat returns the path and the form of load reports.
func (c *Client) reportFormat() (string, func(data []byte, now time.Time) (Load, error)) {
	if c.dialect.DecodeReport != nil {
		return c.dialect.ReportPath, c.dialect.DecodeReport
	}
	return reportPath, decodeReport
}

func decodeReport(data []byte, _ time.Time) (Load, error) {
	var load Load
	err := json.Unmarshal(data, &load)
	return load, err
}

// parseLoadHeaders reads the load headers of an answer; nil means that there are none.
func parseLoadHeaders(header http.Header, now time.Time) *Load {
	running, err := strconv.Atoi(header.Get("X-Load-Running"))
	leaving := header.Get("X-Leaving") == "true"
	if (err != nil || running < 0) && !leaving {
		return nil
	}
	return &Load{
		At:      now,
		Slots:   parseCount(header.Get("X-Load-Slots")),
		Running: max(running, 0),
		Waiting: parseCount(header.Get("X-Load-Waiting")),
		Leaving: leaving,
	}
}

func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return max(n, 0)
}
