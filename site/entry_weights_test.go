package site

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/platform"
)

// TestEntryWeights guards against a directory that ignores the CPU shares and the saturation
// which VMs tell each other, or that uses them where that is switched off.
func TestEntryWeights(t *testing.T) {
	for _, c := range []struct {
		name    string
		without []string
		cores   float64
		want    int
	}{
		{name: "by CPU", cores: 0.2, want: 4},
		{name: "switched off", cores: 0.2, without: []string{"entry_weights"}, want: 9},
		{name: "equal CPUs", cores: 0.8, want: 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			n := newLoadedNode(c.cores, c.without, slog.New(slog.DiscardHandler), func() time.Time { return now })
			m := &peerpb.GossipMessage{}
			for i := range 8 {
				r := fleetRumor(3 * (i + 1))
				r.VM.Millicores = uint32(c.cores * 1000)
				if i == 0 {
					r.VM.Millicores = 800
				}
				r.VM.Saturated = i == 1
				m.Rumors = append(m.Rumors, rumorMessage(r))
			}
			m.From = m.Rumors[0]
			n.control.applyGossip(t.Context(), m, now, now)
			n.control.publish(now)
			lookup := platform.Lookup{
				Host:       "h",
				Region:     "r0",
				DataCentre: "r0-a",
				Addr:       "10.0.0.1",
			}
			assert.Equal(t, len(n.entryAddrs(lookup)), c.want)
			saturated := 0
			for _, vm := range n.control.snapshot().members.AcceptingVMs("r0") {
				if vm.Saturated {
					saturated++
				}
			}
			assert.Equal(t, saturated, 1)
		})
	}
}

// TestAnnouncedSaturation guards against a saturated VM that others do not hear of.
func TestAnnouncedSaturation(t *testing.T) {
	n := newLoadedNode(0.2, nil, slog.New(slog.DiscardHandler), time.Now)
	for _, saturated := range []bool{true, false} {
		n.saturation.announce(saturated)
		(<-n.control.inbox.Messages())(n.control, time.Now())
		n.control.publish(time.Now())
		heard := rumorFromMessage(n.control.urgentMessage("r0", time.Now()).GetFrom())
		assert.Equal(t, heard.VM.Saturated, saturated)
		heard.VM.Incarnation = heard.Incarnation
		assert.DeepEqual(t, n.control.snapshot().members.AcceptingVMs("r0"), []fleet.VM{heard.VM})
	}
}
