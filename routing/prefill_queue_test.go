package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// prefillQueueRow is one row of testdata/prefill_queue.json: queued prompts of this VM and
// others, and the tokens expected ahead of a call at an engine that prefills 50 tokens
// per millisecond.
type prefillQueueRow struct {
	Name    string
	Prompts []struct {
		VM     string
		Tokens float64
		Turn   int
		AgeMS  int64 `json:"age_ms"`
		Read   bool
	}
	// ToldMS is the age of the other VMs' reports, in milliseconds.
	ToldMS int64 `json:"told_ms"`
	Turn   int
	Want   float64
	Own    float64
	// Behind is the number of queued calls of a later queue level.
	Behind int
}

func TestPrefillQueue(t *testing.T) {
	for _, row := range datatest.Read[[]prefillQueueRow](t, "testdata/prefill_queue.json") {
		t.Run(row.Name, row.run)
	}
}

func (row prefillQueueRow) run(t *testing.T) {
	now := time.Unix(1e9, 0)
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var r prefillQueue
	others := map[string]*peerQueue{}
	for _, p := range row.Prompts {
		if p.VM == "" {
			id := r.add(p.Tokens, p.Turn, ago(p.AgeMS))
			if p.Read {
				r.remove(id, now)
			}
			continue
		}
		if others[p.VM] == nil {
			others[p.VM] = &peerQueue{vm: p.VM, reportedAt: ago(row.ToldMS)}
		}
		others[p.VM].prompts = append(others[p.VM].prompts, queuedPrompt{
			tokens:     p.Tokens,
			queueLevel: p.Turn,
			sentAt:     ago(p.AgeMS),
		})
	}
	for _, o := range others {
		r.setPeer(*o)
	}
	all, own := r.tokensAhead(row.Turn, 50_000, now)
	assert.Equal(t, all, row.Want)
	assert.Equal(t, own, row.Own)
	assert.Equal(t, r.callsBehind(row.Turn, now), row.Behind)
}

// VMs that no longer report must be removed, and the others kept.
func TestDropSilentPeers(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints(enginesInRegion("near", "a"), now)
	setPeerQueue := func(vm string, at time.Time) {
		p.SetPeerQueues(vm, []PrefillQueue{{Endpoint: "a", Prompts: []QueuedPrompt{{Tokens: 100, SentAt: at}}}}, at, at)
	}
	for i := range 50 {
		setPeerQueue(fmt.Sprintf("vm-%d", i), now)
		now = now.Add(peerTTL / 2)
	}
	assert.Equal(t, len(p.peersHeardAt), 3)
	assert.Equal(t, len(p.byID["a"].prefillQueue.peers), 3)
}
