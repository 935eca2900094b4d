// Package console asks the operator fronts of many VMs at once what they do,
// and puts the answers together: documents in force, views, load, time line.
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

// Paths of the operator front.
const (
	PathStatus   = "/v1/status"
	PathTimeline = "/v1/timeline"
)

const headerResult = "Fuchsianotch-Result"

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 256 << 20

// AnswerError is an answer that is no success. The VM was reached.
type AnswerError struct {
	Addr string
	Path string
	// Status is the HTTP status line's text.
	Status string
	// Result is the result code's number; it is empty for operator fronts.
	Result string
}

// Error returns the address with the status and the result code.
func (e *AnswerError) Error() string {
	text := e.Addr + e.Path + " answered " + e.Status
	if e.Result == "" {
		return text
	}
	return text + ", result code " + e.Result
}

// Options set up a Client.
type Options struct {
	HTTP *http.Client
}

// Client asks operator fronts. Its methods may be called from any goroutine.
type Client struct {
	http *http.Client
}

// New makes a client.
func New(o Options) *Client {
	return &Client{
		http: o.HTTP,
	}
}

// Status asks one VM, given the "ip:port" of its operator front.
func (c *Client) Status(ctx context.Context, addr string) (*operator.Status, error) {
	return get[operator.Status](ctx, c.http, addr, PathStatus, nil, nil)
}

// Timeline asks one VM for its events, or with merge for those of all VMs it reaches.
func (c *Client) Timeline(ctx context.Context, addr string, q timeline.Query, merge bool) (*operator.Timeline, error) {
	return get[operator.Timeline](ctx, c.http, addr, PathTimeline, valuesOf(q, merge), nil)
}

func valuesOf(q timeline.Query, merge bool) url.Values {
	values := url.Values{}
	set(values, "request", q.Request)
	set(values, "workspace", q.Workspace)
	set(values, "from", timeText(q.From))
	set(values, "to", timeText(q.To))
	if merge {
		values.Set("merge", "true")
	}
	return values
}

func set(values url.Values, name, value string) {
	if value != "" {
		values.Set(name, value)
	}
}

func timeText(t time.Time) string {
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
		return nil, &AnswerError{
			Addr:   addr,
			Path:   path,
			Status: response.Status,
			Result: response.Header.Get(headerResult),
		}
	}
	value := new(T)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(value); err != nil {
		return nil, merry.Prependf(err, "%s%s", addr, path)
	}
	return value, nil
}
