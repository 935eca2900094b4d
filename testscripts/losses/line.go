package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strconv"
)

// maxLineBytes bounds one line of a file.
const maxLineBytes = 1 << 20

// line is one line about a request.
type line struct {
	// at is in seconds from the start of traffic.
	at float64
	vm string

	Event      string `json:"msg"`
	Request    string `json:"request"`
	Forwarded  bool   `json:"forwarded"`
	Rank       int    `json:"rank"`
	Idempotent bool   `json:"idempotent"`
	FirstInMs  int64  `json:"first_in_ms"`
	GapMs      int64  `json:"gap_ms"`
	Prompt     int    `json:"prompt_tokens"`
	MaxTokens  int    `json:"max_tokens"`
	Code       int    `json:"code"`
	FirstMs    int64  `json:"first_ms"`
	PauseMs    int64  `json:"pause_ms"`
	Expected   int64  `json:"expected_first_ms"`
	ComeBackMs int64  `json:"come_back_in_ms"`
}

// attempt is one request as the VM that took it from its caller saw it.
type attempt struct {
	arrived line
	ended   line
	// away says that it was sent to a VM of another region.
	away bool
	// expectedMs is the time to the first token that was expected by the VM that
	// chose the last endpoint.
	expectedMs int64
}

func readFile(name string) ([]attempt, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readLines(file)
}

// readLines joins the lines of each request that ended. Lines that are not
// about a request are passed over.
func readLines(r io.Reader) ([]attempt, error) {
	open := make(map[string]*attempt)
	var order []*attempt
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		a := open[l.Request]
		if l.Event == "call_arrived" && !l.Forwarded {
			a = &attempt{
				arrived: l,
			}
			open[l.Request] = a
			order = append(order, a)
		}
		if a != nil {
			a.take(l)
		}
	}
	var out []attempt
	for _, a := range order {
		if a.ended.Event != "" {
			out = append(out, *a)
		}
	}
	return out, scanner.Err()
}

// take adds a line that came after the arrival.
func (a *attempt) take(l line) {
	switch {
	case l.Event == "call_sent_away":
		a.away = true
	case l.Event == "endpoint_chosen":
		a.expectedMs = l.Expected
	case l.Event == "call_ended" && l.vm == a.arrived.vm:
		a.ended = l
	}
}

// parseLine is false for what is no line about a request.
func parseLine(data []byte) (line, bool) {
	fields := bytes.SplitN(bytes.TrimSpace(data), []byte(" "), 2)
	if len(fields) < 2 {
		return line{}, false
	}
	at, err := strconv.ParseFloat(string(fields[0]), 64)
	if err != nil {
		return line{}, false
	}
	vm, object, ok := bytes.Cut(bytes.TrimSpace(fields[1]), []byte(" "))
	if !ok {
		return line{}, false
	}
	l := line{
		at: at,
		vm: string(vm),
	}
	if err := json.Unmarshal(object, &l); err != nil || l.Request == "" {
		return line{}, false
	}
	return l, true
}
