package caller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

type streamCase struct {
	Name  string      `json:"name"`
	Body  string      `json:"body"`
	Text  string      `json:"text"`
	Usage call.Usage  `json:"usage"`
	Whole bool        `json:"whole"`
	Code  result.Code `json:"code"`
	Error string      `json:"error"`
}

func TestStream(t *testing.T) {
	for _, c := range readTable[streamCase](t, "testdata/stream.json") {
		t.Run(c.Name, func(t *testing.T) {
			s := &streamReader{}
			err := s.read(strings.NewReader(c.Body))
			if c.Error == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, c.Error)
			}
			assert.Equal(t, s.text.String(), c.Text)
			assert.Equal(t, s.usage, c.Usage)
			assert.Equal(t, s.complete, c.Whole)
			if c.Code != 0 {
				assert.Equal(t, s.failure.Code, c.Code)
			}
		})
	}
}

// TestTruncatedStream checks that no proper prefix of a stream is accepted as
// complete.
func TestTruncatedStream(t *testing.T) {
	whole := readTable[streamCase](t, "testdata/stream.json")[0].Body
	for length := range len(whole) {
		s := &streamReader{}
		err := s.read(strings.NewReader(whole[:length]))
		assert.ErrorIs(t, err, errTruncated, "after %d of %d bytes", length, len(whole))
	}
}

func readTable[T any](t *testing.T, path string) []T {
	t.Helper()
	table := datatest.Read[[]T](t, path)
	return table
}
