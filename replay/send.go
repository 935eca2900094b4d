package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// The published caller API. It is duplicated here so that a replay detects a server
// that departs from it.
const (
	pathTickets          = "/v1/tickets"
	headerResult         = "Fuchsianotch-Result"
	headerTicket         = "Fuchsianotch-Ticket"
	headerDeadline       = "Fuchsianotch-Deadline"
	headerPriority       = "Fuchsianotch-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	eventStream          = "text/event-stream"
)

// maxBodyBytes limits how much of a response body is read.
const maxBodyBytes = 64 << 20

// ticketResponse is the part of a response that holds a ticket.
type ticketResponse struct {
	Ticket string `json:"ticket"`
}

// errorResponse is the part of an error response that holds its code.
type errorResponse struct {
	Error errorCode `json:"error"`
}

type errorCode struct {
	Code result.Code `json:"code"`
}

// send makes one call and reads the complete response.
func (r *Replay) send(ctx context.Context, step Step, vm string, times timeMap) Outcome {
	request, err := r.newCallRequest(ctx, step, vm, times)
	if err != nil {
		return Outcome{
			Err: err,
		}
	}
	response, err := r.options.HTTP.Do(request)
	if err != nil {
		return Outcome{
			Err: merry.Wrap(err),
		}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return Outcome{
			Err: merry.Prepend(err, "reading response body"),
		}
	}
	return parseOutcome(response, body)
}

func (r *Replay) newCallRequest(ctx context.Context, step Step, vm string, times timeMap) (*http.Request, error) {
	c := step.Call
	request, err := r.newRequest(ctx, c.Method, vm, c.Path, c.Workspace, c.Body)
	if err != nil {
		return nil, err
	}
	setOptionalHeader(request, headerPriority, c.Priority)
	setOptionalHeader(request, headerIdempotencyKey, c.IdempotencyKey)
	if !c.Deadline.IsZero() {
		setOptionalHeader(request, headerDeadline, times.replayDeadline(step).Format(time.RFC3339Nano))
	}
	if c.Ticket != "" {
		ticket, err := r.tickets.get(c.Workspace+"."+c.Ticket, func() (string, error) { return r.requestTicket(ctx, vm, c.Workspace) })
		if err != nil {
			return nil, err
		}
		setOptionalHeader(request, headerTicket, ticket)
	}
	return request, nil
}

func (r *Replay) newRequest(ctx context.Context, method, vm, path, workspace string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm+path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	i := slices.IndexFunc(r.options.Keys, func(k Key) bool { return k.Workspace == workspace })
	if i < 0 {
		return nil, merry.Errorf("no key is configured for workspace %s", workspace)
	}
	request.Header.Set("Authorization", "Bearer "+workspace+"."+r.options.Keys[i].Secret)
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func setOptionalHeader(request *http.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

func (r *Replay) requestTicket(ctx context.Context, vm, workspace string) (string, error) {
	request, err := r.newRequest(ctx, http.MethodPost, vm, pathTickets, workspace, nil)
	if err != nil {
		return "", err
	}
	response, err := r.options.HTTP.Do(request)
	if err != nil {
		return "", merry.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", merry.Errorf("requesting a ticket: unexpected status %s", response.Status)
	}
	var body ticketResponse
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Ticket, merry.Wrap(err)
}

// parseOutcome reads the result code from the header. For a stream that ends with an
// error event it is the event's code, and for a truncated one it is EndpointCut.
func parseOutcome(response *http.Response, body []byte) Outcome {
	code, err := strconv.Atoi(response.Header.Get(headerResult))
	if err != nil {
		return Outcome{
			Err: merry.Errorf("response %s has no %s header", response.Status, headerResult),
		}
	}
	o := Outcome{
		Code: result.Code(code),
		Body: body,
	}
	if response.Header.Get("Content-Type") == eventStream {
		o.Code = streamCode(o.Code, body)
	}
	return o
}

func streamCode(code result.Code, body []byte) result.Code {
	_, data, found := bytes.Cut(body, []byte("event: error\ndata: "))
	if found {
		line, _, _ := bytes.Cut(data, []byte("\n"))
		var e errorResponse
		if json.Unmarshal(line, &e) == nil {
			return e.Error.Code
		}
	}
	if !bytes.HasSuffix(bytes.TrimSpace(body), []byte("data: [DONE]")) {
		return result.EndpointCut
	}
	return code
}

func containsText(body []byte, text string) bool {
	return bytes.Contains(body, []byte(text))
}

// ticketCache holds the tickets of a trace by name. Each is requested once, and calls
// that need it meanwhile wait for the response.
type ticketCache struct {
	mu     sync.Mutex
	byName map[string]func() (string, error)
}

func (t *ticketCache) get(name string, fetch func() (string, error)) (string, error) {
	t.mu.Lock()
	if t.byName == nil {
		t.byName = map[string]func() (string, error){}
	}
	if t.byName[name] == nil {
		t.byName[name] = sync.OnceValues(fetch)
	}
	once := t.byName[name]
	t.mu.Unlock()
	return once()
}
