package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// readingRow is one row of testdata/reading.json: prompts of this VM's calls and
// of others', with their ages, and what an engine that reads 50 tokens a
// millisecond reads before a call of a priority.
type readingRow struct {
	Name    string
	Prompts []struct {
		VM     string
		Tokens float64
		Turn   int
		AgeMS  int64 `json:"age_ms"`
		Read   bool
	}
	// ToldMS is how long ago the others told.
	ToldMS int64 `json:"told_ms"`
	Turn   int
	Want   float64
	Own    float64
	// Behind is how many calls go after the new one.
	Behind int
}

func TestReading(t *testing.T) {
	for _, row := range datatest.Read[[]readingRow](t, "testdata/reading.json") {
		t.Run(row.Name, row.run)
	}
}

func (row readingRow) run(t *testing.T) {
	now := time.Unix(1e9, 0)
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var r reading
	others := map[string]*otherReading{}
	for _, p := range row.Prompts {
		if p.VM == "" {
			id := r.enter(p.Tokens, p.Turn, ago(p.AgeMS))
			if p.Read {
				r.leave(id, now)
			}
			continue
		}
		if others[p.VM] == nil {
			others[p.VM] = &otherReading{vm: p.VM, at: ago(row.ToldMS)}
		}
		others[p.VM].prompts = append(others[p.VM].prompts, prompt{
			tokens: p.Tokens,
			turn:   p.Turn,
			sentAt: ago(p.AgeMS),
		})
	}
	for _, o := range others {
		r.hear(*o)
	}
	all, own := r.ahead(row.Turn, 50_000, now)
	assert.Equal(t, all, row.Want)
	assert.Equal(t, own, row.Own)
	assert.Equal(t, r.behind(row.Turn, now), row.Behind)
}

// TestForgetTellers holds that VMs that tell no more leave nothing behind, and that
// the others' word stays.
func TestForgetTellers(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints(enginesIn("near", "a"), now)
	told := func(vm string, at time.Time) {
		p.TakeUnread(vm, []Unread{{Endpoint: "a", Prompts: []UnreadPrompt{{Tokens: 100, SentAt: at}}}}, at, at)
	}
	for i := range 50 {
		told(fmt.Sprintf("vm-%d", i), now)
		now = now.Add(tellerGoodFor / 2)
	}
	assert.Equal(t, len(p.tellers), 3)
	assert.Equal(t, len(p.byID["a"].reading.others), 3)
}
