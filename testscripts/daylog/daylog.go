// Package daylog reads the lines of a simulated day's log.
package daylog

import (
	"bytes"
	"strconv"
)

// MaxLineBytes bounds the length of a line.
const MaxLineBytes = 1 << 20

// Line is one line: the seconds since traffic started, the VM and a JSON record.
type Line struct {
	Seconds float64
	VM      string
	Record  []byte
}

// Parse returns false for text that is no such line.
func Parse(data []byte) (Line, bool) {
	text, rest, ok := bytes.Cut(bytes.TrimSpace(data), []byte(" "))
	if !ok {
		return Line{}, false
	}
	seconds, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return Line{}, false
	}
	vm, record, ok := bytes.Cut(bytes.TrimSpace(rest), []byte(" "))
	if !ok {
		return Line{}, false
	}
	return Line{
		Seconds: seconds,
		VM:      string(vm),
		Record:  record,
	}, true
}
