package serving

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

// atMostOnceCase is a sequence of requests and faults from testdata/once.json.
type atMostOnceCase struct {
	Name string `json:"name"`
	// Kind is book (with a ticket), look or chat (both idempotent).
	Kind string `json:"kind"`
	// Answers are the endpoint's scripted answers, in order.
	Answers []string `json:"answers"`
	Steps   []string `json:"steps"`
	// Want is the result code of each request, Text the text that a chat's caller received.
	Want map[string]string `json:"want"`
	Text string            `json:"text"`
	Runs int               `json:"runs"`
	// Spent is what VM 0 charged; unset where it was killed.
	Spent *float64 `json:"spent"`
	// OtherAskRan allows a not-run outcome if another request with the ticket ran.
	OtherAskRan bool `json:"other_ask_ran"`
	// Variant injects a fault; the check must then report Violation.
	Variant   string `json:"variant"`
	Violation string `json:"violation"`
}

// TestOnce checks that no sequence of faults runs a non-idempotent call twice or
// reports a call as not run that may have run.
func TestOnce(t *testing.T) {
	data, err := os.ReadFile("testdata/once.json")
	assert.NilError(t, err)
	var cases []atMostOnceCase
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	assert.NilError(t, decoder.Decode(&cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, c.test)
		})
	}
}

func (c atMostOnceCase) test(t *testing.T) {
	cl := newCluster(t, c.Answers)
	c.injectFault(cl)
	for _, step := range c.Steps {
		c.runStep(cl, strings.Fields(step))
	}
	cl.endpoint.releaseAll()
	cl.wait.Wait()
	// Let late answers and idle connections end.
	time.Sleep(time.Minute)
	cl.endpoint.group.Wait()
	if c.Variant != "" {
		assert.Assert(t, slices.Contains(c.violations(cl), c.Violation), "the check did not detect variant %s: %v", c.Variant, c.violations(cl))
	} else {
		c.compare(t, cl)
	}
	for _, p := range cl.processes {
		cl.assertNoneInFlight(p)
	}
}

func (c atMostOnceCase) compare(t *testing.T, cl *cluster) {
	assert.DeepEqual(t, c.violations(cl), []string(nil))
	got := make(map[string]string)
	for name, a := range cl.requests {
		got[name] = a.outcome.Code.String()
		if c.Text != "" {
			assert.Equal(t, streamText(a.text.String()), c.Text)
		}
	}
	assert.DeepEqual(t, got, c.Want)
	assert.Equal(t, cl.endpoint.runCount(), c.Runs)
	if c.Spent != nil {
		assert.Equal(t, cl.settledSpend(cl.processes[0]), *c.Spent)
	}
}

// violations compares the outcomes of callers with the runs at the endpoint.
func (c atMostOnceCase) violations(cl *cluster) []string {
	var found []string
	runs := cl.endpoint.runCount()
	if c.kind() == "book" && runs > 1 {
		found = append(found, "doubled")
	}
	for _, a := range cl.requests {
		class := a.outcome.Code.Class()
		if class == result.ClassNotRun && runs > 0 && !c.OtherAskRan && !slices.Contains(found, "ran_though_not_run") {
			found = append(found, "ran_though_not_run")
		}
		if class == result.ClassDone && runs == 0 {
			found = append(found, "done_though_not_run")
		}
	}
	return found
}

func (c atMostOnceCase) kind() string {
	if c.Kind == "" {
		return "book"
	}
	return c.Kind
}

// injectFault replaces a decision with a faulty one.
func (c atMostOnceCase) injectFault(cl *cluster) {
	for _, p := range cl.processes {
		switch c.Variant {
		case "":
		case "ignores_sending":
			p.server.markSent = func(*ticket.Entry, time.Time) *result.Refusal { return nil }
		case "repeats_what_may_have_run":
			p.server.decide = func(a retry.Attempt, now time.Time) retry.Verdict {
				a.Idempotent = true
				return retry.Decide(a, now)
			}
		case "lost_is_not_run":
			p.server.options.Forward = reportLostAsNotRun(p.server.options.Forward)
		default:
			cl.t.Fatalf("unknown variant %q", c.Variant)
		}
	}
}

type forwardFunc func(context.Context, fleet.VM, *call.Call, call.Sink) call.Outcome

// reportLostAsNotRun reports a VM that was lost during a call as not run.
func reportLostAsNotRun(forward forwardFunc) forwardFunc {
	return func(ctx context.Context, vm fleet.VM, c *call.Call, sink call.Sink) call.Outcome {
		o := forward(ctx, vm, c, sink)
		if o.Code == result.PeerLost {
			return call.Refused(result.Refuse(result.Stopping, "lost"))
		}
		return o
	}
}

func holderOf(p *process) ticket.IncarnationID {
	return ticket.IncarnationID{
		VM:          p.vm.ID,
		Incarnation: 1,
	}
}

// runStep runs one step. "ask NAME [VM [BY [unreached]]]" sends a request to VM,
// forwarded by BY, which may consider VM unreachable.
func (c atMostOnceCase) runStep(cl *cluster, words []string) {
	arg := func(i int, fallback string) string {
		if i < len(words) {
			return words[i]
		}
		return fallback
	}
	vm := func(i int) *process { return cl.processes[parseIndex(cl, arg(i, "0"))] }
	switch words[0] {
	case "ask":
		to := arg(2, "0")
		cl.send(words[1], parseIndex(cl, to), parseIndex(cl, arg(3, to)), c.kind(), arg(4, "") == "unreached")
		synctest.Wait()
	case "leave":
		cl.requests[words[1]].cancel()
		synctest.Wait()
	case "hold":
		cl.endpoint.hold(words[1])
	case "at":
		cl.endpoint.waitUntilReached(words[1])
	case "free":
		cl.endpoint.release(words[1])
		synctest.Wait()
	case "sleep":
		d, err := time.ParseDuration(words[1])
		assert.NilError(cl.t, err)
		time.Sleep(d)
	case "kill":
		vm(1).killed.Store(true)
	case "restart":
		cl.processes[parseIndex(cl, words[1])] = cl.newIncarnation(parseIndex(cl, words[1]))
	case "stop":
		vm(1).registry.Stop()
	case "drain":
		vm(1).server.Stop()
	case "give_up":
		cl.handOver = vm(1).registry.Relinquish(time.Now())
	case "adopt":
		to := vm(1)
		assert.Assert(cl.t, to.registry.TakeOver(cl.handOver.WithReceiver(holderOf(to)), time.Now()))
	default:
		cl.t.Fatalf("unknown step %q", words)
	}
}

// newIncarnation starts a new incarnation with the same id.
func (cl *cluster) newIncarnation(i int) *process {
	p := cl.newProcess(i)
	p.registry = ticket.New(ticket.Options{
		VM:          p.vm.ID,
		Incarnation: 2,
	})
	p.server.options.Tickets = p.registry
	return p
}

func parseIndex(cl *cluster, text string) int {
	n, err := strconv.Atoi(text)
	assert.NilError(cl.t, err)
	return n
}

// streamText returns the text of a stream, with "done" at the end of a complete one.
func streamText(text string) string {
	var out strings.Builder
	for event := range strings.SplitSeq(text, "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			out.WriteString("done")
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			out.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return out.String()
}
