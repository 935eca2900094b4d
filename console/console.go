// Package console is a client of the operator API that queries many VMs at once
// and combines their documents, views, load and timelines.
package console

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// Paths of the operator API.
const (
	PathStatus   = "/v1/status"
	PathTimeline = "/v1/timeline"
)

const headerResult = "Fuchsianotch-Result"

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 256 << 20

// ResponseError is returned when a VM responds with a status other than 200.
type ResponseError struct {
	Addr string
	Path string
	// Status is the HTTP status, such as "404 Not Found".
	Status string
	// Result is the numeric result code; the operator API sets none.
	Result string
}

// Error returns the address, the status and the result code.
func (e *ResponseError) Error() string {
	text := e.Addr + e.Path + " answered " + e.Status
	if e.Result == "" {
		return text
	}
	return text + ", result code " + e.Result
}

// Options configure a Client.
type Options struct {
	HTTP *http.Client
}

// Client queries the operator and caller APIs of VMs. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	return &Client{
		http: o.HTTP,
	}
}

// Status returns the status of one VM, given the "ip:port" of its operator API.
func (c *Client) Status(ctx context.Context, addr string) (*operator.Status, error) {
	return get[operator.Status](ctx, c.http, addr, PathStatus, nil, nil)
}

// Timeline returns the events of one VM or, with merge, of all VMs that it reaches.
func (c *Client) Timeline(ctx context.Context, addr string, q timeline.Query, merge bool) (*operator.Timeline, error) {
	return get[operator.Timeline](ctx, c.http, addr, PathTimeline, queryValues(q, merge), nil)
}

func queryValues(q timeline.Query, merge bool) url.Values {
	values := url.Values{}
	setNonEmpty(values, "request", q.Request)
	setNonEmpty(values, "workspace", q.Workspace)
	setNonEmpty(values, "from", formatTime(q.From))
	setNonEmpty(values, "to", formatTime(q.To))
	if merge {
		values.Set("merge", "true")
	}
	return values
}

func setNonEmpty(values url.Values, name, value string) {
	if value != "" {
		values.Set(name, value)
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339Nano)
}

func get[T any](ctx context.Context, client *http.Client, addr, path string, query url.Values, header http.Header) (*T, error) {
	u := url.URL{
		Scheme:   "http",
		Host:     addr,
		Path:     path,
		RawQuery: query.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	maps.Copy(request.Header, header)
	response, err := client.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &ResponseError{
			Addr:   addr,
			Path:   path,
			Status: response.Status,
			Result: response.Header.Get(headerResult),
		}
	}
	value := new(T)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value); err != nil {
		return nil, merry.Prependf(err, "%s%s", addr, path)
	}
	return value, nil
}
