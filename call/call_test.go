package call

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

type contentCase struct {
	Name string
	// Same is set if the call has the same content as the first row.
	Same      bool
	ID        string
	Workspace string
	Host      string
	Method    string
	Path      string
	Body      string
	// LastEvent is the id of the event after which the stream resumes.
	LastEvent string
	Tokens    int
}

func (c contentCase) call() *Call {
	return &Call{
		ID:           c.ID,
		Workspace:    c.Workspace,
		Method:       c.Method,
		Path:         c.Path,
		Body:         []byte(c.Body),
		PromptTokens: c.Tokens,
		Routed: &Routed{
			Host:        c.Host,
			ResumeAfter: c.LastEvent,
		},
	}
}

// TestContentHash checks that retries share a content hash, and that a change of what
// an endpoint receives changes it.
func TestContentHash(t *testing.T) {
	cases := datatest.Read[[]contentCase](t, "testdata/content.json")
	first := cases[0].call().ContentHash()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			assert.Equal(t, c.call().ContentHash() == first, c.Same)
		})
	}
}
