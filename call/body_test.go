package call

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// The body of a call that can't be repeated any more must not stay for a slow reader's answer.
func TestBodyIsReleasedWithTheHead(t *testing.T) {
	for _, row := range []struct {
		name                      string
		stream, idempotent, keeps bool
	}{
		{"idempotent", false, true, false},
		{"stream", true, false, false},
		{"resumable stream", true, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			freed := 0
			c := &Call{
				Retained:   RetainBody([]byte("body"), func() { freed++ }),
				Stream:     row.stream,
				Idempotent: row.idempotent,
			}
			copied := *c
			sink := c.ReleasingBody(Sink{
				Head: func(int, http.Header) error {
					assert.Equal(t, copied.BodyReleased(), !row.keeps)
					assert.Equal(t, string(copied.Payload()) == "body", row.keeps)
					return nil
				},
			})
			assert.NilError(t, sink.Head(http.StatusOK, nil))
			c.ReleaseBody()
			c.ReleaseBody()
			assert.Equal(t, freed, 1)
		})
	}
}
