package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// keyRevocationCase is a call with a key, received some time after this VM last
// confirmed what the store holds, directly or through a peer.
type keyRevocationCase struct {
	Name string
	// WithinMs bounds the time until a revoked key is refused; zero means unbounded.
	WithinMs int64 `json:"within_ms"`
	// OwnMs is the time of the last read. At HeardMs a peer reports freshness of AgeMs at a
	// revision Ahead of the local one.
	OwnMs   int64 `json:"own_ms"`
	HeardMs int64 `json:"heard_ms"`
	AgeMs   int64 `json:"age_ms"`
	Ahead   uint64
	NowMs   int64 `json:"now_ms"`
	Refused bool
}

// TestKeysEnd checks that a VM without confirmation from the store refuses keys after
// the configured bound, and continues to accept them if no bound is set.
func TestKeysEnd(t *testing.T) {
	for _, c := range datatest.Read[[]keyRevocationCase](t, "testdata/key_revocation.json") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			at := func(ms int64) time.Time { return time.Unix(1e9, 0).Add(time.Duration(ms) * time.Millisecond) }
			n := newFleetNode(largeFleet, func() time.Time { return now })
			n.bounds.Load().KeyRevocationTimeout = time.Duration(c.WithinMs) * time.Millisecond
			n.control.applyItems([]discovery.Item{{
				Key:      "op/config",
				Revision: 900,
				Value:    []byte(`{"Version":9,"Routes":[{"Host":"h","PathPrefix":"/p/","Kind":"idempotent"}],"Tenants":[{"Name":"w","ApiKeys":["k"]}]}`),
			}}, false, now)
			n.control.publish(now)
			n.advanceFreshness(at(c.OwnMs))
			if c.HeardMs > 0 {
				position := n.control.mirror.Position()
				position.Revision += c.Ahead
				n.control.applyPeerFreshness(position, uint32(c.AgeMs)+1, at(c.HeardMs))
			}
			now = at(c.NowMs)
			_, refusal := n.admit(route.AdmitRequest{
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

// TestWatchFreshness checks that a watch advances the freshness to its deadline only if
// it waited until then without any change.
func TestWatchFreshness(t *testing.T) {
	startedAt := time.Unix(1e9, 0)
	deadline := startedAt.Add(time.Second)
	assert.Equal(t, watchFreshness(startedAt, deadline, deadline.Add(time.Millisecond), 0), deadline)
	assert.Equal(t, watchFreshness(startedAt, deadline, deadline.Add(time.Millisecond), 2), startedAt)
	assert.Equal(t, watchFreshness(startedAt, deadline, deadline.Add(-time.Millisecond), 0), startedAt)
}

// TestViewInLargeRegion guards against refusing the streams that callers resume in a large region,
// where the store's confirmation passes through more VMs, and against believing a VM out of touch.
func TestViewInLargeRegion(t *testing.T) {
	for _, row := range []struct {
		size   fleetSize
		age    time.Duration
		tooOld bool
	}{
		{
			size: smallFleet,
			age:  3500 * time.Millisecond,
		},
		{
			size:   smallFleet,
			age:    5 * time.Second,
			tooOld: true,
		},
		{
			size: largeFleet,
			age:  5500 * time.Millisecond,
		},
		{
			size:   largeFleet,
			age:    8 * time.Second,
			tooOld: true,
		},
	} {
		now := time.Unix(1e9, 0)
		n := newFleetNode(row.size, func() time.Time { return now })
		n.advanceFreshness(now.Add(-row.age))
		assert.Equal(t, n.isViewTooOld(), row.tooOld, "%v, %v", row.size, row.age)
	}
}
