package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestSent checks the tokens that count as sent to a region after a time.
func TestSent(t *testing.T) {
	start := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name  string
		Calls []struct {
			Region string
			AtMS   int64 `json:"at_ms"`
			Tokens float64
			Times  int
		}
		SinceMS int64 `json:"since_ms"`
		VMs     int   `json:"vms"`
		Want    float64
	}](t, "testdata/sent.json") {
		t.Run(c.Name, func(t *testing.T) {
			s := NewSentTokens()
			for _, sent := range c.Calls {
				for range max(sent.Times, 1) {
					s.Add(sent.Region, "chat", sent.Tokens, start.Add(time.Duration(sent.AtMS)*time.Millisecond))
				}
			}
			got := s.Since("b", "chat", start.Add(time.Duration(c.SinceMS)*time.Millisecond), c.VMs)
			assert.Equal(t, got, c.Want)
			assert.Equal(t, s.Since("b", "other", start, c.VMs), 0.0)
		})
	}
}

// TestQueued checks the backlog of three endpoints that prefill 50,000 tokens a second.
func TestQueued(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name      string
		Sent      float64
		Endpoints int
		PassedMS  int64 `json:"passed_ms"`
		Want      float64
	}](t, "testdata/queued.json") {
		t.Run(c.Name, func(t *testing.T) {
			got := BacklogPerEndpoint(c.Sent, c.Endpoints, 50_000, time.Duration(c.PassedMS)*time.Millisecond)
			assert.Equal(t, got, c.Want)
		})
	}
}
