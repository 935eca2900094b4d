package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/shutdown"
)

// TestRestartDeadline guards against a call that waits for a VM that can't serve it, that no stop has
// cut off, or that waits beyond its deadline or the end of its own VM's stop.
func TestRestartDeadline(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(smallFleet, func() time.Time { return now })
	for _, row := range []struct {
		name   string
		uncut  bool
		pin    fleet.VersionPin
		left   time.Duration
		cutoff time.Duration
		want   time.Duration
	}{
		{name: "cut off", left: time.Minute, want: maxRestartWait},
		{name: "not cut off", uncut: true, left: time.Minute},
		{name: "no endpoint of the version", pin: fleet.PinTo("gone"), left: time.Minute},
		{name: "the call ends sooner", left: time.Second, want: time.Second},
		{name: "its own VM stops", left: time.Minute, cutoff: 2 * time.Second, want: 2 * time.Second},
	} {
		n.stopState.planned.Store(nil)
		if row.cutoff > 0 {
			n.stopState.planned.Store(&shutdown.Stop{
				Cutoff: now.Add(row.cutoff),
			})
		}
		deadline := n.restartDeadline(&call.Call{
			Service:  "s",
			Deadline: now.Add(row.left),
			Routed: &call.Routed{
				CutOff: !row.uncut,
				Pin:    row.pin,
			},
		})
		want := time.Time{}
		if row.want > 0 {
			want = now.Add(row.want)
		}
		assert.Check(t, deadline.Equal(want), "%s: %v", row.name, deadline.Sub(now))
	}
}

// BenchmarkPlaceWithoutVMs measures one look for a place by a resumed stream whose region has
// endpoints and no VM that was not tried. Waiting calls repeat it every restartPollInterval.
func BenchmarkPlaceWithoutVMs(b *testing.B) {
	for _, size := range []fleetSize{largeFleet, wholeFleet} {
		b.Run(size.String(), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			n := newFleetNode(fleetSize{
				engines: size.engines,
			}, func() time.Time { return now })
			n.control.applyRegionLoads([]*peerpb.RegionLoad{
				{Service: "s", Region: "r1", Endpoints: 1},
				{Service: "s", Region: "r2", Endpoints: 1},
			}, now)
			n.control.applyRevision(discovery.Item{
				Key:      "servers/pinned",
				Revision: 1 << 20,
				Value:    []byte(`{"Service":"s","Addr":"10.0.0.2:1000","Zone":"r1-a","Version":"v1","Slots":64,"State":"ready"}`),
			}, now)
			n.control.publish(now)
			tried := append([]fleet.VM{n.self()}, n.control.snapshot().members.AcceptingVMs("r1")...)
			c := &call.Call{
				Kind:       call.KindRouted,
				Service:    "s",
				Idempotent: true,
				Deadline:   now.Add(time.Minute),
				Routed: &call.Routed{
					Host:        "h",
					ArrivedAt:   now,
					ResumeAfter: "3",
					Pin:         fleet.PinTo("v1"),
				},
			}
			assert.Assert(b, n.isServedElsewhere(c))
			for b.Loop() {
				res := n.evaluatePlacement(c, tried)
				assert.Equal(b, res.decision.Refusal, placement.ReasonNoRegion)
			}
		})
	}
}
