package explain

import (
	"bytes"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// TestRequest merges the lines of one request from three processes, with the
// beliefs of those that had it and no others.
func TestRequest(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/logs.txt")
	assert.NilError(t, err)
	var lines []Line
	for _, f := range archive.Files {
		read, err := Read(bytes.NewReader(f.Data))
		assert.NilError(t, err)
		lines = append(lines, read...)
	}
	var got []string
	for _, l := range Request(lines, "r1") {
		text := l.VM + " " + l.Event
		if l.IsBelief {
			text += " (belief)"
		}
		got = append(got, text)
	}
	assert.Equal(t, strings.Join(got, "\n"), `edge-1 member_lost (belief)
edge-1 call_arrived
edge-2 store_lost (belief)
edge-2 attempt_failed
edge-1 call_ended`)
	assert.Equal(t, len(Request(lines, "none")), 0)
}
