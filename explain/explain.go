// Package explain finds in the logs of several processes what became of one
// request: its own lines, and those on beliefs that decided it.
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
	// before is how far back beliefs are shown that may have decided the request:
	// a lost VM is noticed after 3 s, and a change of the store applied within 4 s.
	before = 5 * time.Second
	// maxLine bounds one line of a log, in bytes.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At    time.Time
	VM    string
	Event string
	// Fields are the line's other fields, as they stand.
	Fields []Field
	// IsBelief is set on a line that is not the request's own.
	IsBelief bool
}

// Field is one field of a line.
type Field struct {
	Name  string
	Value string
}

// names of fields that every line has.
const (
	fieldTime    = "time"
	fieldLevel   = "level"
	fieldEvent   = "msg"
	fieldVM      = "vm"
	fieldRequest = "request"
)

// Read takes the lines of one log. Text before a line's first brace is passed
// over, and so are lines that are not JSON.
func Read(log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	var out []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			out = append(out, line)
		}
	}
	return out, scanner.Err()
}

func parse(text []byte) (Line, bool) {
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
		label, ok := name.(string)
		if !ok || !line.set(label, value) {
			return Line{}, false
		}
	}
	return line, line.Event != ""
}

func (l *Line) set(name string, value json.RawMessage) bool {
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

// Request returns the lines of a request in the order of their times, with the
// beliefs of the VMs that had it, from shortly before it on until its end.
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
	byTime(own)
	from, to := own[0].At.Add(-before), own[len(own)-1].At
	out := own
	for _, l := range lines {
		isBelief := l.field(fieldRequest) == "" && vms[l.VM]
		if isBelief && !l.At.Before(from) && !l.At.After(to) {
			l.IsBelief = true
			out = append(out, l)
		}
	}
	byTime(out)
	return out
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM))
	})
}
