package explain

import (
	"bytes"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// TestRequest checks that the lines of a request are merged from several logs,
// with state changes only of the processes that handled it.
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
		if l.IsProcessState {
			text += " (state)"
		}
		got = append(got, text)
	}
	assert.Equal(t, strings.Join(got, "\n"), `edge-1 member_lost (state)
edge-1 call_arrived
edge-2 store_lost (state)
edge-2 attempt_failed
edge-1 call_ended`)
	assert.Equal(t, len(Request(lines, "none")), 0)
}
