package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/fuchsianotch/fuchsianotch/testscripts/daylog"
)

// record is one log record about a call.
type record struct {
	Event     string `json:"msg"`
	Request   string `json:"request"`
	Endpoint  string `json:"endpoint"`
	FirstMs   int64  `json:"first_ms"`
	FirstInMs int64  `json:"first_in_ms"`
	GapMs     int64  `json:"gap_ms"`
	Code      int    `json:"code"`
}

// engineCall is a call at an engine, as logged by the VM that chose the engine.
type engineCall struct {
	endpoint string
	// seconds is when the engine was chosen, since traffic started.
	seconds float64
	code    int
	// firstMs is the time to the first token and objectiveMs what it should be, both from the
	// call's arrival at the VM.
	firstMs     int64
	objectiveMs int64
	ended       bool
}

func readFile(name string) ([]engineCall, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readCalls(file)
}

// readCalls returns the streamed calls that were sent to an engine, in the order of the log. A
// call that was sent to several engines counts at the last one.
func readCalls(r io.Reader) ([]engineCall, error) {
	type key struct {
		vm      string
		request string
	}
	arrived := make(map[key]record)
	at := make(map[key]int)
	var calls []engineCall
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, daylog.MaxLineBytes)
	for scanner.Scan() {
		line, rec, ok := parseRecord(scanner.Bytes())
		if !ok {
			continue
		}
		id := key{
			vm:      line.VM,
			request: rec.Request,
		}
		switch rec.Event {
		case "call_arrived":
			arrived[id] = rec
		case "endpoint_chosen":
			// Plain services have no gap between events.
			if arrived[id].GapMs == 0 {
				continue
			}
			at[id] = len(calls)
			calls = append(calls, engineCall{
				endpoint:    rec.Endpoint,
				seconds:     line.Seconds,
				objectiveMs: arrived[id].FirstInMs,
			})
		case "call_ended":
			if i, ok := at[id]; ok {
				calls[i].ended = true
				calls[i].code = rec.Code
				calls[i].firstMs = rec.FirstMs
			}
		}
	}
	return calls, scanner.Err()
}

// parseRecord returns false for lines that are not about a request.
func parseRecord(data []byte) (daylog.Line, record, bool) {
	line, ok := daylog.Parse(data)
	var rec record
	if !ok || json.Unmarshal(line.Record, &rec) != nil || rec.Request == "" {
		return daylog.Line{}, record{}, false
	}
	return line, rec, true
}
