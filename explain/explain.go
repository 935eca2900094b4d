// Package explain collects, from the logs of several processes, the lines about
// one request and the changes of process state that may have affected it.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"
)

const (
	// stateLookback is how long before the request state changes are included. A
	// lost VM is detected after 3 s, and a store update is applied within 4 s.
	stateLookback = 5 * time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At    time.Time
	VM    string
	Event string
	// Fields are the line's other fields, in their original order.
	Fields []Field
	// IsProcessState is set if the line is about the process's state, not the request.
	IsProcessState bool
}

// Field is one field of a line.
type Field struct {
	Name  string
	Value string
}

// Names of log fields.
const (
	fieldTime    = "time"
	fieldLevel   = "level"
	fieldEvent   = "msg"
	fieldVM      = "vm"
	fieldRequest = "request"
)

// Read parses a log of JSON lines. It skips any prefix before a line's first
// brace, and lines that are not valid JSON.
func Read(log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	var out []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			out = append(out, line)
		}
	}
	return out, scanner.Err()
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	d := json.NewDecoder(bytes.NewReader(text[start:]))
	d.UseNumber()
	if _, err := d.Token(); err != nil {
		return Line{}, false
	}
	var line Line
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return Line{}, false
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return Line{}, false
		}
		fieldName, ok := name.(string)
		if !ok || !line.setField(fieldName, value) {
			return Line{}, false
		}
	}
	return line, line.Event != ""
}

func (l *Line) setField(name string, value json.RawMessage) bool {
	text := string(value)
	var plain string
	if json.Unmarshal(value, &plain) == nil {
		text = plain
	}
	switch name {
	case fieldTime:
		at, err := time.Parse(time.RFC3339Nano, text)
		l.At = at
		return err == nil
	case fieldLevel:
	case fieldEvent:
		l.Event = text
	case fieldVM:
		l.VM = text
	default:
		l.Fields = append(l.Fields, Field{
			Name:  name,
			Value: text,
		})
	}
	return true
}

func (l *Line) field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Request returns the lines of a request ordered by time, together with the
// state changes of the VMs that handled it, from stateLookback before its first
// line until its last.
func Request(lines []Line, id string) []Line {
	var own []Line
	vms := make(map[string]bool)
	for _, l := range lines {
		if l.field(fieldRequest) == id {
			own = append(own, l)
			vms[l.VM] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	from, to := own[0].At.Add(-stateLookback), own[len(own)-1].At
	out := own
	for _, l := range lines {
		isProcessState := l.field(fieldRequest) == "" && vms[l.VM]
		if isProcessState && !l.At.Before(from) && !l.At.After(to) {
			l.IsProcessState = true
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM))
	})
}
