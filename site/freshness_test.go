package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// endsCase is a call with a key that comes some milliseconds after this VM last heard,
// itself or from another VM, what the store holds.
type keyRevocationCase struct {
	Name string
	// WithinMs is the time in which keys must end, zero where the last table counts.
	WithinMs int64 `json:"within_ms"`
	// OwnMs is when this VM read the store last, HeardMs when another VM told that it was
	// complete AgeMs before, at a revision that is Ahead of this VM's.
	OwnMs   int64 `json:"own_ms"`
	HeardMs int64 `json:"heard_ms"`
	AgeMs   int64 `json:"age_ms"`
	Ahead   uint64
	NowMs   int64 `json:"now_ms"`
	Refused bool
}

// TestKeysEnd holds that a VM which does not hear of the store serves no keys for longer
// than the operators allow, where they bound that, and serves on where they do not.
func TestKeysEnd(t *testing.T) {
	for _, c := range datatest.Read[[]keyRevocationCase](t, "testdata/keys_end.json") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			at := func(ms int64) time.Time { return time.Unix(1e9, 0).Add(time.Duration(ms) * time.Millisecond) }
			n := newFleetNode(func() time.Time { return now })
			n.bounds.Load().KeysEndWithin = time.Duration(c.WithinMs) * time.Millisecond
			n.control.applyItems([]discovery.Item{{
				Key:      "op/config",
				Revision: 900,
				Value:    []byte(`{"Version":9,"Routes":[{"Host":"h","PathPrefix":"/p/","Kind":"idempotent"}],"Tenants":[{"Name":"w","ApiKeys":["k"]}]}`),
			}}, now)
			n.control.publish(now)
			n.advanceFreshness(at(c.OwnMs))
			if c.HeardMs > 0 {
				m := &peerpb.GossipMessage{
					PublishedRevision: n.control.mirror.Revision() + c.Ahead,
					CompleteMs:        uint32(c.AgeMs) + 1,
				}
				n.control.applyPeerFreshness(m.GetPublishedRevision(), m.GetCompleteMs(), at(c.HeardMs))
			}
			now = at(c.NowMs)
			_, refusal := n.admit(route.Ask{
				Host: "h",
				Path: "/p/x",
				Key:  apikey.Sum("k"),
			})
			assert.Equal(t, refusal != nil, c.Refused, "%v", refusal)
			if refusal != nil {
				assert.Equal(t, refusal.Code, result.NotReady)
			}
		})
	}
}

// TestCompleteWatch holds that a watch tells of the moment up to which it surely waited.
func TestWatchFreshness(t *testing.T) {
	startedAt := time.Unix(1e9, 0)
	deadline := startedAt.Add(time.Second)
	assert.Equal(t, watchFreshness(startedAt, deadline, deadline.Add(time.Millisecond), 0), deadline)
	assert.Equal(t, watchFreshness(startedAt, deadline, deadline.Add(time.Millisecond), 2), startedAt)
	assert.Equal(t, watchFreshness(startedAt, deadline, deadline.Add(-time.Millisecond), 0), startedAt)
}
