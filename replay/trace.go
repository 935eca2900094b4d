// Package replay sends a recorded trace of calls to entry VMs and compares each
// outcome with the one that the trace states.
//
// A trace is a file of JSON lines, one Step a line; empty lines and lines that
// begin with // are skipped. Its times are those of the recording; a replay
// moves all of them by the same amount, so that the first step is sent at once.
package replay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Step is one call with its stated outcome.
type Step struct {
	// Line is where the step stands in its file.
	Line int `json:"-"`
	// At is when the call arrived in the recording.
	At     time.Time `json:"at"`
	Call   Call      `json:"call"`
	Expect Expect    `json:"expect"`
}

// Call is one request of a caller.
type Call struct {
	Workspace string `json:"workspace"`
	// VM counts the VMs that the replay was given from 1; zero takes them in turn.
	VM     int    `json:"vm,omitempty"`
	Method string `json:"method"`
	// Path is that of the caller front, such as "/v1/services/tee-sheet/confirm".
	Path string          `json:"path"`
	Body json.RawMessage `json:"body,omitempty"`
	// Ticket names a ticket. The first call with a name asks for the ticket, and
	// later ones use the same.
	Ticket string `json:"ticket,omitempty"`
	// IdempotencyKey is passed on to the endpoint, and counts its runs.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Priority       string `json:"priority,omitempty"`
	// Deadline is a time of the recording and moves with At.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Expect states an outcome. Code or Class is set; Contains and Runs are optional.
type Expect struct {
	Code  result.Code  `json:"code,omitempty"`
	Class result.Class `json:"class,omitempty"`
	// Contains is text that the answer's body must hold.
	Contains string `json:"contains,omitempty"`
	// Runs states how often endpoints ran the calls with the step's idempotency
	// key, counted after the last step. Zero states that nothing ran, and an
	// absent one states nothing.
	Runs json.Number `json:"runs,omitempty"`
}

// Read reads a trace. The name is used in problems only.
func Read(name string, data []byte) ([]Step, *jsonc.Problem) {
	var steps []Step
	for i, line := range bytes.Split(data, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || bytes.HasPrefix(line, []byte("//")) {
			continue
		}
		step, problem := readStep(name, line)
		if problem != nil {
			problem.Line = i + 1
			return nil, problem
		}
		step.Line = i + 1
		steps = append(steps, *step)
	}
	if len(steps) == 0 {
		return nil, jsonc.At(name, data, "", jsonc.KindValue, "a trace of at least one step")
	}
	return steps, nil
}

func readStep(name string, line []byte) (*Step, *jsonc.Problem) {
	step, problem := jsonc.Decode[Step](name, line)
	if problem != nil {
		return nil, problem
	}
	v := &verifier{
		Verifier: jsonc.Verifier{
			File: name,
			Data: line,
		},
	}
	v.step(step)
	return step, v.Problem()
}

type verifier struct {
	jsonc.Verifier
}

// maxVMs and maxRuns only catch slips.
const (
	maxVMs  = 1 << 16
	maxRuns = 1 << 30
)

func (v *verifier) step(s *Step) {
	v.That(!s.At.IsZero(), "/at", `a time such as "2030-12-31T06:00:00Z"`)
	v.call(&s.Call)
	v.expect(s)
}

func (v *verifier) call(c *Call) {
	v.Name("/call/workspace", c.Workspace)
	v.Whole("/call/vm", c.VM, 0, maxVMs)
	v.OneOf("/call/method", c.Method, []string{http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodPatch, http.MethodPost, http.MethodPut})
	v.That(strings.HasPrefix(c.Path, "/v1/"), "/call/path", `a path that begins with "/v1/"`)
	if c.Priority != "" {
		_, known := call.ParsePriority(c.Priority)
		v.That(known, "/call/priority", "one of urgent, chat, report")
	}
}

func (v *verifier) expect(s *Step) {
	e := s.Expect
	v.That((e.Code != 0) != (e.Class != ""), "/expect", "either code or class")
	if e.Code != 0 {
		_, known := result.Lookup(e.Code)
		v.That(known, "/expect/code", "a code of docs/result-codes.md")
	}
	if e.Class != "" {
		v.OneOf("/expect/class", string(e.Class), []string{string(result.ClassDone), string(result.ClassNotRun), string(result.ClassUnknown)})
	}
	if e.Runs == "" {
		return
	}
	runs, err := e.Runs.Int64()
	v.That(err == nil && runs >= 0 && runs <= maxRuns, "/expect/runs", "a whole number from 0")
	v.That(s.Call.IdempotencyKey != "", "/call/idempotency_key", "a key, since runs are stated")
}
