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

// The published protocol of the caller front. It stands here a second time on
// purpose: a replay shows when the server departs from it.
const (
	pathTickets    = "/v1/tickets"
	headerResult   = "Fuchsianotch-Result"
	headerTicket   = "Fuchsianotch-Ticket"
	headerDeadline = "Fuchsianotch-Deadline"
	headerPriority = "Fuchsianotch-Priority"
	headerKey      = "Idempotency-Key"
	eventStream    = "text/event-stream"
)

// maxBodyBytes bounds what is kept of one answer.
const maxBodyBytes = 64 << 20

// ticketBody is the part of an answer to a request for a ticket that is used.
type ticketBody struct {
	Ticket string `json:"ticket"`
}

// errorBody is the part of an error that is used.
type errorBody struct {
	Error errorCode `json:"error"`
}

type errorCode struct {
	Code result.Code `json:"code"`
}

// send makes one call and reads its whole answer.
func (r *Replay) send(ctx context.Context, step Step, vm string, clock shift) Outcome {
	request, err := r.request(ctx, step, vm, clock)
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
			Err: merry.Prepend(err, "the answer broke off"),
		}
	}
	return outcomeOf(response, body)
}

func (r *Replay) request(ctx context.Context, step Step, vm string, clock shift) (*http.Request, error) {
	c := step.Call
	request, err := r.newRequest(ctx, c.Method, vm, c.Path, c.Workspace, c.Body)
	if err != nil {
		return nil, err
	}
	setHeader(request, headerPriority, c.Priority)
	setHeader(request, headerKey, c.IdempotencyKey)
	if !c.Deadline.IsZero() {
		setHeader(request, headerDeadline, clock.deadline(step).Format(time.RFC3339Nano))
	}
	if c.Ticket != "" {
		ticket, err := r.tickets.take(c.Workspace+"."+c.Ticket, func() (string, error) { return r.askTicket(ctx, vm, c.Workspace) })
		if err != nil {
			return nil, err
		}
		setHeader(request, headerTicket, ticket)
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
		return nil, merry.Errorf("no key of workspace %s is given", workspace)
	}
	request.Header.Set("Authorization", "Bearer "+workspace+"."+r.options.Keys[i].Secret)
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func setHeader(request *http.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

func (r *Replay) askTicket(ctx context.Context, vm, workspace string) (string, error) {
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
		return "", merry.Errorf("no ticket: %s", response.Status)
	}
	var body ticketBody
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Ticket, merry.Wrap(err)
}

// outcomeOf reads the code from the header. A stream that ends with an error
// event has the event's code, and one without an end is cut.
func outcomeOf(response *http.Response, body []byte) Outcome {
	code, err := strconv.Atoi(response.Header.Get(headerResult))
	if err != nil {
		return Outcome{
			Err: merry.Errorf("no %s header in an answer of %s", headerResult, response.Status),
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
		var e errorBody
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

// tickets holds the tickets of a trace by name. Each is asked for once; calls
// that name it meanwhile wait.
type tickets struct {
	mu     sync.Mutex
	byName map[string]func() (string, error)
}

func (t *tickets) take(name string, ask func() (string, error)) (string, error) {
	t.mu.Lock()
	if t.byName == nil {
		t.byName = map[string]func() (string, error){}
	}
	if t.byName[name] == nil {
		t.byName[name] = sync.OnceValues(ask)
	}
	once := t.byName[name]
	t.mu.Unlock()
	return once()
}
