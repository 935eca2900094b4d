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

// Load is an endpoint's self-reported load, which may be out of date.
type Load struct {
	// At is the endpoint's time of a report, or the arrival time of a response.
	At time.Time `json:"at"`
	// Slots is the maximum number of concurrent requests; Running and Waiting are
	// current counts.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens counts prompt tokens waiting for prefill; not part of responses.
	QueuedTokens    int     `json:"queued_tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Leaving is set while the endpoint is draining and accepts no new requests.
	Leaving bool `json:"leaving"`
	// CacheUsed is the cache memory of running requests and CacheTokens the total,
	// both in tokens; zero if not reported.
	CacheUsed   int `json:"-"`
	CacheTokens int `json:"-"`
	// NextTokens is the number of tokens of the first waiting request; zero if not reported.
	NextTokens int `json:"-"`
	// Runs are the numbers of events that running requests have emitted, by the IDs of the
	// runs; nil if not reported.
	Runs map[string]int `json:"-"`
	// Incarnation corresponds to fleet.Endpoint.Incarnation.
	Incarnation int64 `json:"-"`
}

// FetchLoad requests an endpoint's load. It fails if the connection, the status or
// the format of the report is bad. The notice is valid even then.
func (c *Client) FetchLoad(ctx context.Context, e fleet.Endpoint) (Load, Notice, error) {
	path, decode := c.reportFormat()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr+path, nil)
	if err != nil {
		return Load{}, Notice{}, merry.Wrap(err)
	}
	resp, err := c.probes.RoundTrip(req)
	if err != nil {
		return Load{}, Notice{}, merry.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	load, err := c.readLoad(resp, e, decode)
	return load, c.readNotice(resp.StatusCode, resp.Header), err
}

// FetchRuns returns the ids of the requests of which an endpoint has emitted events and that it
// still works on. It fails if another endpoint, or another life of this one, may have answered.
func (c *Client) FetchRuns(ctx context.Context, e fleet.Endpoint, healthPath string) ([]string, error) {
	load, _, err := c.FetchLoad(ctx, e)
	if err != nil {
		return nil, err
	}
	if e.Incarnation == 0 {
		err = c.confirmInstance(ctx, e, healthPath)
	} else if load.Incarnation != e.Incarnation {
		err = merry.Errorf("endpoint %s is in another life", e.ID)
	}
	if err != nil {
		return nil, err
	}
	var out []string
	for id, events := range load.Runs {
		if events > 0 {
			out = append(out, id)
		}
	}
	return out, nil
}

func (c *Client) readLoad(resp *http.Response, e fleet.Endpoint, decode loadDecoder) (Load, error) {
	if resp.StatusCode != http.StatusOK {
		return Load{}, merry.Errorf("load report of %s: status %d", e.ID, resp.StatusCode)
	}
	data, err := readProbe(resp)
	if err != nil {
		return Load{}, merry.Prependf(err, "load report of %s", e.ID)
	}
	load, err := decode(data, c.now())
	if err != nil {
		return Load{}, merry.Prependf(err, "load report of %s", e.ID)
	}
	if load.Slots < 0 || load.Running < 0 || load.Waiting < 0 || load.QueuedTokens < 0 || load.TokensPerSecond < 0 || load.NextTokens < 0 {
		return Load{}, merry.Errorf("load report of %s: negative value", e.ID)
	}
	return load, nil
}

// FetchColdStart requests an endpoint's remaining cold-start time. The health check
// occupies a slot like any request.
func (c *Client) FetchColdStart(ctx context.Context, e fleet.Endpoint, path string) (time.Duration, Notice, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr+path, nil)
	if err != nil {
		return 0, Notice{}, merry.Wrap(err)
	}
	resp, err := c.probes.RoundTrip(req)
	if err != nil {
		return 0, Notice{}, merry.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	notice := c.readNotice(resp.StatusCode, resp.Header)
	if _, err := readProbe(resp); err != nil {
		return 0, notice, merry.Prependf(err, "health of %s", e.ID)
	}
	return c.dialect.ReadColdFor(resp.Header), notice, nil
}

// readProbe reads the body of a load report or health response.
func readProbe(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if len(data) > maxReportBytes {
		return nil, merry.Errorf("the response is over %d bytes", maxReportBytes)
	}
	return data, nil
}

// loadDecoder decodes the body of a load report.
type loadDecoder func(data []byte, now time.Time) (Load, error)

// reportFormat returns the path and the decoder of load reports.
func (c *Client) reportFormat() (string, loadDecoder) {
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

// parseLoadHeaders reads the load headers of a response; nil if there are none.
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
