package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// maxResponseBytes bounds a response that is not streamed.
const maxResponseBytes = 64 << 20

// deadlineGracePeriod leaves time for the gateway's response to an exceeded
// deadline.
const deadlineGracePeriod = 2 * time.Second

var (
	errNoResult   = errors.New("response has no valid Fuchsianotch-Result header")
	errTooLarge   = errors.New("response is too large")
	errCompletion = errors.New("response is not a chat completion")
)

// attemptResult is the result of one attempt. A refusal may name other VMs to use
// and a ticket.
type attemptResult struct {
	Result
	use    []Entry
	ticket string
}

// attempt sends the call once to one VM.
func (c *Caller) attempt(ctx context.Context, vm Entry, q *request) attemptResult {
	ctx, cancel := q.withDeadline(ctx)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	sent := newSendTrace()
	ctx = httptrace.WithClientTrace(ctx, sent.clientTrace())
	a := attemptResult{
		Result: Result{
			VM:     vm.VM,
			Ticket: q.ticket,
		},
	}
	sending := &revocableBody{
		data: q.body,
	}
	r, err := c.newRequest(ctx, vm, q, sending)
	if err != nil {
		a.Result = a.withError(err, false)
		return a
	}
	wait := startContinueWait(sent.hasResponse, func() {
		if len(q.body) > 0 && sending.revoke() {
			giveUp(fmt.Errorf("%w, %s", errRevoked, sent))
		}
	})
	response, err := c.client.Do(r)
	wait.stop()
	a.ConnectedAt, a.ContinuedAt = sent.times()
	if err != nil {
		a.Result = a.withError(err, mayHaveRun(err, q, sending))
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.read(response, q)
	return a
}

// withDeadline limits ctx to the call's deadline plus the grace period.
func (q *request) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, q.deadline.Add(deadlineGracePeriod))
}

func (c *Caller) newRequest(ctx context.Context, vm Entry, q *request, sending *revocableBody) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+vm.Addr+q.path, http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Header = q.header.Clone()
	r.Header.Set("Authorization", "Bearer "+c.options.Key)
	if q.ticket != "" {
		r.Header.Set("Fuchsianotch-Ticket", q.ticket)
	}
	if len(q.body) > 0 {
		r.Header.Set("Expect", "100-continue")
		r.Body = sending
		r.ContentLength = int64(len(q.body))
	}
	return r, nil
}

// mayHaveRun reports whether the VM may have received the complete call of a
// failed attempt. It has not if the connection failed or no byte of the body was
// sent.
func mayHaveRun(err error, q *request, sending *revocableBody) bool {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return false
	}
	return len(q.body) == 0 || !sending.revoke()
}

// read reads the response.
func (a *attemptResult) read(response *http.Response, q *request) {
	a.Status = response.StatusCode
	a.RequestID = response.Header.Get("Fuchsianotch-Request")
	if name := response.Header.Get("Fuchsianotch-Vm"); name != "" {
		a.VM = name
	}
	number, err := strconv.Atoi(response.Header.Get("Fuchsianotch-Result"))
	code := result.Code(number)
	if _, known := result.Lookup(code); err != nil || !known {
		a.Result = a.withError(errNoResult, true)
		return
	}
	a.Code = code
	a.Class = code.Class()
	switch {
	case a.Class != result.ClassDone:
		err = a.readRefusal(response.Body)
	case q.chat && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		err = a.readStream(response.Body)
	default:
		err = a.readWhole(response.Body, q)
	}
	if err != nil {
		a.Result = a.withError(err, true)
	}
}

// readRefusal reads the body of a refusal, whose code must match the header.
func (a *attemptResult) readRefusal(r io.Reader) error {
	data, err := readAll(r)
	if err != nil {
		return err
	}
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return err
	}
	if body.Error.Code != a.Code {
		return fmt.Errorf("%w: body has code %d", errNoResult, body.Error.Code)
	}
	a.refused(body.Error)
	return nil
}

func (a *attemptResult) readStream(r io.Reader) error {
	s := &streamReader{}
	err := s.read(r)
	a.Text = s.text.String()
	a.Usage = s.usage
	a.FirstAt = s.firstAt
	if s.failure != nil {
		a.refused(*s.failure)
	}
	return err
}

func (a *attemptResult) readWhole(r io.Reader, q *request) error {
	a.FirstAt = time.Now()
	data, err := readAll(r)
	if err != nil || !q.chat {
		a.Text = string(data)
		return err
	}
	var c completion
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 {
		return errCompletion
	}
	a.Text = c.Choices[0].Message.Content
	if c.Usage != nil {
		a.Usage = c.Usage.usage()
	}
	return nil
}

func (a *attemptResult) refused(f errorDetail) {
	a.Code = f.Code
	a.Class = f.Code.Class()
	a.Message = f.Message
	a.RetryAt = f.RetryAt
	a.use = f.Use
	a.ticket = f.Ticket
}

func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = errTooLarge
	}
	return data, err
}
