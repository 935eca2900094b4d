package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Headers of the endpoint protocol.
const (
	headerRequestID   = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerDeadline    = "X-Deadline"
	headerResumeFrom  = "X-Resume-From"
	headerResumedFrom = "X-Resumed-From"
	headerRun         = "X-Run"
	runNone           = "none"
)

const (
	userAgent       = "fuchsianotch"
	contentTypeJSON = "application/json"
)

// reservedHeaders are set only by the client or the transport.
var reservedHeaders = []string{
	headerRequestID,
	headerPriority,
	headerDeadline,
	headerResumeFrom,
	"Connection",
	"Content-Length",
	"Expect",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// idempotencyKeyHeaders maps the keys that make net/http retry a request by itself
// to spellings that it does not recognize.
var idempotencyKeyHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// newRequest builds a request that the transport never retries.
func (c *Client) newRequest(ctx context.Context, a Attempt) (*http.Request, *result.Refusal) {
	if a.Call.Kind == call.KindRouted {
		return c.newRoutedRequest(ctx, a)
	}
	req, err := http.NewRequestWithContext(ctx, a.Call.Method, "http://"+a.Endpoint.Addr, nil)
	if err != nil {
		return nil, result.Refuse(result.BadRequest, "the request is malformed").WithCause(err)
	}
	if refusal := setTarget(req.URL, a.Call.Path); refusal != nil {
		return nil, refusal
	}
	req.Header = requestHeader(a)
	return withBody(req, a.Call)
}

// newRoutedRequest builds the request of a routed call, with the caller's method,
// path, host and body unchanged.
func (c *Client) newRoutedRequest(ctx context.Context, a Attempt) (*http.Request, *result.Refusal) {
	req, err := http.NewRequestWithContext(ctx, a.Call.Method, "http://"+a.Endpoint.Addr, nil)
	if err != nil {
		return nil, result.Refuse(result.BadRequest, "the request is malformed").WithCause(err)
	}
	if refusal := setTarget(req.URL, a.Call.Path); refusal != nil {
		return nil, refusal
	}
	req.Host = a.Call.Routed.Host
	req.Header = c.routedHeader(a)
	return withBody(req, a.Call)
}

// withBody sets the body of a request. It refuses a call whose body is gone.
func withBody(req *http.Request, c *call.Call) (*http.Request, *result.Refusal) {
	if c.BodyReleased() {
		return nil, result.Refuse(result.BodyMemoryFull, "the body was released with the response")
	}
	setBody(req, c.Payload())
	return req, nil
}

// setTarget sets the path and query of a URL. It refuses a target that net/http would change.
func setTarget(u *url.URL, target string) *result.Refusal {
	if strings.HasPrefix(target, "//") {
		// net/url writes the scheme before an opaque part that begins with two slashes.
		path, query, hasQuery := strings.Cut(target, "?")
		u.Path, _ = url.PathUnescape(path)
		u.RawPath = path
		u.RawQuery = query
		u.ForceQuery = hasQuery
	} else {
		u.Opaque = target
	}
	if u.RequestURI() != target {
		return result.Refuse(result.BadRequest, "the request target can't be forwarded unchanged")
	}
	return nil
}

func requestHeader(a Attempt) http.Header {
	h := a.Call.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	for _, name := range reservedHeaders {
		h.Del(name)
	}
	for name, plain := range idempotencyKeyHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[plain] = values
		}
	}
	h.Set("User-Agent", userAgent)
	h.Set(headerRequestID, a.ID)
	h.Set(headerPriority, strconv.Itoa(int(a.Call.Priority)))
	if !a.Call.Deadline.IsZero() {
		h.Set(headerDeadline, strconv.FormatInt(a.Call.Deadline.UnixMilli(), 10))
	}
	if a.ResumeFrom > 0 {
		h.Set(headerResumeFrom, strconv.Itoa(a.ResumeFrom))
	}
	if a.Call.Kind == call.KindChat {
		h.Set("Content-Type", contentTypeJSON)
		h.Del("Accept-Encoding")
	}
	return h
}

// setBody sets the body without GetBody, so that net/http cannot send it again.
// For methods that usually have no body, the transport probes the reader and sends
// none; for others, http.NoBody preserves "Content-Length: 0".
func setBody(req *http.Request, body []byte) {
	if len(body) == 0 && !usuallyHasNoBody(req.Method) {
		req.Body = http.NoBody
		return
	}
	req.ContentLength = int64(len(body))
	req.Body = io.NopCloser(&bodyReader{unread: body})
}

// bodyReader reads a body and holds it no longer than until its end; the response refers to
// the request. It has no method but Read.
type bodyReader struct {
	unread []byte
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		r.unread = nil
		return 0, io.EOF
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func usuallyHasNoBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
