package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/fuchsianotch/fuchsianotch/testscripts/daylog"
)

// logRecord is one log record about a request.
type logRecord struct {
	// seconds is the time since traffic started.
	seconds float64
	vm      string

	Event           string `json:"msg"`
	Request         string `json:"request"`
	Forwarded       bool   `json:"forwarded"`
	Rank            int    `json:"rank"`
	Idempotent      bool   `json:"idempotent"`
	FirstInMs       int64  `json:"first_in_ms"`
	GapMs           int64  `json:"gap_ms"`
	PromptTokens    int    `json:"prompt_tokens"`
	MaxTokens       int    `json:"max_tokens"`
	Code            int    `json:"code"`
	FirstMs         int64  `json:"first_ms"`
	PauseMs         int64  `json:"pause_ms"`
	ExpectedFirstMs int64  `json:"expected_first_ms"`
	RetryAfterMs    int64  `json:"come_back_in_ms"`
}

// attempt is one request, as logged by the VM that received it from the caller.
type attempt struct {
	arrived logRecord
	ended   logRecord
	// otherRegion is set if the request was sent to a VM of another region.
	otherRegion bool
	// expectedMs is the latency to the first token that was predicted when the last
	// endpoint was chosen.
	expectedMs int64
}

func readFile(name string) ([]attempt, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readAttempts(file)
}

// readAttempts groups records by request and returns the requests that ended. Other
// lines are skipped.
func readAttempts(r io.Reader) ([]attempt, error) {
	byRequest := make(map[string]*attempt)
	var arrivals []*attempt
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, daylog.MaxLineBytes)
	for scanner.Scan() {
		l, ok := parseRecord(scanner.Bytes())
		if !ok {
			continue
		}
		a := byRequest[l.Request]
		if l.Event == "call_arrived" && !l.Forwarded {
			a = &attempt{
				arrived: l,
			}
			byRequest[l.Request] = a
			arrivals = append(arrivals, a)
		}
		if a != nil {
			a.add(l)
		}
	}
	var out []attempt
	for _, a := range arrivals {
		if a.ended.Event != "" {
			out = append(out, *a)
		}
	}
	return out, scanner.Err()
}

// add applies a record that follows the arrival.
func (a *attempt) add(l logRecord) {
	switch {
	case l.Event == "call_sent_away":
		a.otherRegion = true
	case l.Event == "endpoint_chosen":
		a.expectedMs = l.ExpectedFirstMs
	case l.Event == "call_ended" && l.vm == a.arrived.vm:
		a.ended = l
	}
}

// parseRecord returns false for lines that are not about a request.
func parseRecord(data []byte) (logRecord, bool) {
	line, ok := daylog.Parse(data)
	if !ok {
		return logRecord{}, false
	}
	l := logRecord{
		seconds: line.Seconds,
		vm:      line.VM,
	}
	if err := json.Unmarshal(line.Record, &l); err != nil || l.Request == "" {
		return logRecord{}, false
	}
	return l, true
}
