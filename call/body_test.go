package call

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// The body of a call that can't be repeated any more must not stay for a slow reader's answer.
func TestBodyIsReleasedWithTheHead(t *testing.T) {
	for _, row := range []struct {
		name              string
		length            string
		idempotent, keeps bool
	}{
		{"idempotent", "4", true, false},
		{"not idempotent", "4", false, false},
		{"stream", "", false, false},
		{"resumable stream", "", true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			freed := 0
			c := &Call{
				Retained:   RetainBody([]byte("body"), func() { freed++ }),
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
			assert.NilError(t, sink.Head(http.StatusOK, http.Header{"Content-Length": {row.length}}))
			c.ReleaseBody()
			c.ReleaseBody()
			assert.Equal(t, freed, 1)
		})
	}
}
