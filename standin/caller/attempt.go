package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// maxAnswer bounds an answer that is no stream, in bytes.
const maxAnswer = 64 << 20

// graceAfterDeadline lets the gateway's own answer about a passed deadline arrive.
const graceAfterDeadline = 2 * time.Second

var (
	errNoResult   = errors.New("the answer has no valid Fuchsianotch-Result")
	errTooLarge   = errors.New("the answer is too large")
	errCompletion = errors.New("the answer is no chat completion")
)

// answer is how one try ended, with what a refusal says to do next.
type answer struct {
	Result
	use    []Entry
	ticket string
}

// attempt sends the call to one VM once.
func (c *Caller) attempt(ctx context.Context, vm Entry, q *request) answer {
	ctx, cancel := q.limit(ctx)
	defer cancel()
	a := answer{
		Result: Result{
			VM:     vm.VM,
			Ticket: q.ticket,
		},
	}
	sending := &body{
		data: q.body,
	}
	r, err := c.newRequest(ctx, vm, q, sending)
	if err != nil {
		a.Result = a.failed(err, false)
		return a
	}
	unasked := time.AfterFunc(continueWithin, func() {
		if len(q.body) > 0 && sending.revoke() {
			cancel()
		}
	})
	response, err := c.client.Do(r)
	unasked.Stop()
	if err != nil {
		a.Result = a.failed(err, mayBeSent(err, q, sending))
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.read(response, q)
	return a
}

// limit ends ctx some time after the call's deadline.
func (q *request) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, q.deadline.Add(graceAfterDeadline))
}

func (c *Caller) newRequest(ctx context.Context, vm Entry, q *request, sending *body) (*http.Request, error) {
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

// mayBeSent reports whether a failed try may have reached the VM as a whole call.
// A call whose body was not begun, or whose connection was never made, did not.
func mayBeSent(err error, q *request, sending *body) bool {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return false
	}
	return len(q.body) == 0 || !sending.revoke()
}

// read takes the answer from its head to its end.
func (a *answer) read(response *http.Response, q *request) {
	a.Status = response.StatusCode
	a.RequestID = response.Header.Get("Fuchsianotch-Request")
	if name := response.Header.Get("Fuchsianotch-Vm"); name != "" {
		a.VM = name
	}
	number, err := strconv.Atoi(response.Header.Get("Fuchsianotch-Result"))
	code := result.Code(number)
	if _, known := result.Lookup(code); err != nil || !known {
		a.Result = a.failed(errNoResult, true)
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
		a.Result = a.failed(err, true)
	}
}

// readRefusal takes the body of a refusal. Its code must be the header's.
func (a *answer) readRefusal(r io.Reader) error {
	data, err := readAll(r)
	if err != nil {
		return err
	}
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return err
	}
	if body.Error.Code != a.Code {
		return fmt.Errorf("%w: its body says %d", errNoResult, body.Error.Code)
	}
	a.refused(body.Error)
	return nil
}

func (a *answer) readStream(r io.Reader) error {
	s := &stream{}
	err := s.read(r)
	a.Text = s.text.String()
	a.Usage = s.usage
	a.FirstAt = s.firstAt
	if s.failure != nil {
		a.refused(*s.failure)
	}
	return err
}

func (a *answer) readWhole(r io.Reader, q *request) error {
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

func (a *answer) refused(f failure) {
	a.Code = f.Code
	a.Class = f.Code.Class()
	a.Message = f.Message
	a.ComeBackAt = f.ComeBackAt
	a.use = f.Use
	a.ticket = f.Ticket
}

func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		err = errTooLarge
	}
	return data, err
}
