package endpoint

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// FuzzEvents checks that every event is a single line, that events survive being
// rewritten and arriving one byte at a time, and that the size limit holds.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"data: {}\n\n",
		"data: a\r\n\r\n: comment\n\ndata:b\n\n",
		"event: error\ndata: {}\n\n",
		"data: a\ndata: b\n\n",
		"data: a\rb\n\n",
		"id: 1\nretry: 2\ndata\n\n",
		"data: cut",
		"data: cut\n",
		"\ufeffdata: x\n\n",
		"data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		found, err := readAll(bytes.NewReader(input), len(input))
		pieces, pieceErr := readAll(iotest.OneByteReader(bytes.NewReader(input)), len(input))
		assert.DeepEqual(t, found, pieces)
		assert.Assert(t, errors.Is(pieceErr, err))
		var rewritten strings.Builder
		for _, data := range found {
			assert.Assert(t, !strings.ContainsAny(data, "\r\n"))
			rewritten.WriteString("data: " + data + "\n\n")
		}
		again, err := readAll(strings.NewReader(rewritten.String()), rewritten.Len())
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.DeepEqual(t, found, again)
		if len(input) > 0 && errors.Is(pieceErr, io.EOF) {
			_, err = readAll(bytes.NewReader(input), len(input)-1)
			assert.Assert(t, errors.Is(err, errEventTooLarge))
		}
	})
}

func readAll(r io.Reader, maxBytes int) ([]string, error) {
	reader := newEventReader(r, maxBytes)
	defer reader.release()
	var found []string
	for {
		data, _, err := reader.next()
		if err != nil {
			return found, err
		}
		found = append(found, string(data))
	}
}
