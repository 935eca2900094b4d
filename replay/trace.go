// Package replay sends a recorded trace of calls to entry VMs and compares each
// outcome with the expected one.
//
// A trace is a file of JSON lines, one Step per line; empty lines and lines that
// begin with // are skipped. Times in a trace are those of the recording; a replay
// shifts them so that the first step is sent at once.
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

// Step is one call and its expected outcome.
type Step struct {
	// Line is the step's line in the trace, from 1.
	Line int `json:"-"`
	// At is when the call arrived in the recording.
	At     time.Time `json:"at"`
	Call   Call      `json:"call"`
	Expect Expect    `json:"expect"`
}

// Call is a caller's request.
type Call struct {
	Workspace string `json:"workspace"`
	// VM is the number of a VM in Options.VMs, from 1; zero selects them in turn.
	VM     int    `json:"vm,omitempty"`
	Method string `json:"method"`
	// Path is a path of the caller API, such as "/v1/services/tee-sheet/confirm".
	Path string          `json:"path"`
	Body json.RawMessage `json:"body,omitempty"`
	// Ticket is the trace's name for a ticket, which is requested for the first call
	// that has the name and reused by the others.
	Ticket string `json:"ticket,omitempty"`
	// IdempotencyKey is forwarded to the endpoint, which counts runs by it.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Priority       string `json:"priority,omitempty"`
	// Deadline is a time of the recording and shifts with At.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Expect is an expected outcome. Either Code or Class is set; Contains and Runs are
// optional.
type Expect struct {
	Code  result.Code  `json:"code,omitempty"`
	Class result.Class `json:"class,omitempty"`
	// Contains is text that the response body must contain.
	Contains string `json:"contains,omitempty"`
	// Runs is how often endpoints ran calls with the step's idempotency key, counted
	// after the last step. Zero expects no run; an absent value is not checked.
	Runs json.Number `json:"runs,omitempty"`
}

// Read parses a trace. The name is used in problems only.
func Read(name string, data []byte) ([]Step, *jsonc.Problem) {
	var steps []Step
	for i, line := range bytes.Split(data, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || bytes.HasPrefix(line, []byte("//")) {
			continue
		}
		step, problem := parseStep(name, line)
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

func parseStep(name string, line []byte) (*Step, *jsonc.Problem) {
	step, problem := jsonc.Decode[Step](name, line)
	if problem != nil {
		return nil, problem
	}
	v := &stepVerifier{
		Verifier: jsonc.Verifier{
			File: name,
			Data: line,
		},
	}
	v.step(step)
	return step, v.Problem()
}

type stepVerifier struct {
	jsonc.Verifier
}

// Upper limits that reject typing errors.
const (
	maxVMs  = 1 << 16
	maxRuns = 1 << 30
)

func (v *stepVerifier) step(s *Step) {
	v.Require(!s.At.IsZero(), "/at", `a time such as "2030-12-31T06:00:00Z"`)
	v.call(&s.Call)
	v.expect(s)
}

func (v *stepVerifier) call(c *Call) {
	v.Name("/call/workspace", c.Workspace)
	v.IntRange("/call/vm", c.VM, 0, maxVMs)
	v.OneOf("/call/method", c.Method, []string{http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodPatch, http.MethodPost, http.MethodPut})
	v.Require(strings.HasPrefix(c.Path, "/v1/"), "/call/path", `a path that begins with "/v1/"`)
	if c.Priority != "" {
		_, known := call.ParsePriority(c.Priority)
		v.Require(known, "/call/priority", "one of urgent, chat, report")
	}
}

func (v *stepVerifier) expect(s *Step) {
	e := s.Expect
	v.Require((e.Code != 0) != (e.Class != ""), "/expect", "either code or class")
	if e.Code != 0 {
		_, known := result.Lookup(e.Code)
		v.Require(known, "/expect/code", "a code of docs/result-codes.md")
	}
	if e.Class != "" {
		v.OneOf("/expect/class", string(e.Class), []string{string(result.ClassDone), string(result.ClassNotRun), string(result.ClassUnknown)})
	}
	if e.Runs == "" {
		return
	}
	runs, err := e.Runs.Int64()
	v.Require(err == nil && runs >= 0 && runs <= maxRuns, "/expect/runs", "a whole number from 0")
	v.Require(s.Call.IdempotencyKey != "", "/call/idempotency_key", "a key, as expect.runs is set")
}
