package call

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

type contentCase struct {
	Name string
	// Same says that the call asks for the same as the first one of the table.
	Same      bool
	ID        string
	Workspace string
	Host      string
	Method    string
	Path      string
	Body      string
	// LastEvent is the event after which the caller wants the stream to go on.
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

// TestContentHash holds that tries of one call have one content, and that whatever
// an endpoint is asked makes another one.
func TestContentHash(t *testing.T) {
	cases := datatest.Read[[]contentCase](t, "testdata/content.json")
	first := cases[0].call().ContentHash()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			assert.Equal(t, c.call().ContentHash() == first, c.Same)
		})
	}
}
