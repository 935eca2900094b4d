package configuration

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

func readRows[T any](t *testing.T, name string) []T {
	rows := datatest.Read[[]T](t, name)
	return rows
}

func TestWatchersAndSources(t *testing.T) {
	type row struct {
		Name string `json:"name"`
		Self string `json:"self"`
		// VMs are "id region data_centre [leaving]".
		VMs      []string `json:"vms"`
		Watchers []string `json:"watchers"`
		Sources  []string `json:"sources"`
	}
	for _, row := range readRows[row](t, "testdata/relay.json") {
		t.Run(row.Name, func(t *testing.T) {
			var vms []fleet.VM
			for _, text := range row.VMs {
				fields := append(strings.Fields(text), "live")
				vms = append(vms, fleet.VM{
					ID:         fields[0],
					Region:     fields[1],
					DataCentre: fields[2],
					State:      fleet.State(fields[3]),
				})
			}
			for range len(vms) + 1 {
				own := slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.DataCentre != "a-1" })
				assert.DeepEqual(t, Watchers(own), row.Watchers)
				assert.DeepEqual(t, PullSources(row.Self, vms), row.Sources)
				if len(vms) > 0 {
					vms = append(vms[1:], vms[0])
				}
			}
		})
	}
}

// newDataCentre returns n VMs of one data centre and a DutySelector for each.
func newDataCentre(n int) ([]fleet.VM, []*DutySelector) {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	var vms []fleet.VM
	var selectors []*DutySelector
	for i := range n {
		vms = append(vms, fleet.VM{
			ID:         fmt.Sprintf("a%d", i),
			DataCentre: "a-1",
			State:      fleet.StateLive,
		})
		selectors = append(selectors, NewDutySelector(DutySelectorOptions{
			Self: vms[i].ID,
			Rand: random.Uint64,
		}))
	}
	return vms, selectors
}

// TestReadsDoNotGrowWithVMs checks that watchers and probes don't grow with the VMs.
func TestReadsDoNotGrowWithVMs(t *testing.T) {
	const periods = 60
	for _, n := range []int{1, 2, 3, 8, 40, 100} {
		vms, selectors := newDataCentre(n)
		probes := 0
		for half := range 2 * periods {
			now := time.Unix(0, 0).Add(time.Duration(half) * probeInterval / 2)
			watching := 0
			for _, s := range selectors {
				switch s.Duty(vms, now) {
				case DutyWatch:
					watching++
				case DutyProbe:
					probes++
				}
				assert.Assert(t, s.Next().IsZero() || s.Next().After(now))
			}
			assert.Equal(t, watching, min(n, watchersPerDataCentre))
		}
		assert.Assert(t, probes <= periods*3/2, "%d VMs probed %d times in %d periods", n, probes, periods)
		assert.Assert(t, n <= watchersPerDataCentre || probes >= periods*2/3, "%d VMs probed %d times", n, probes)
	}
}

// TestSilentWatchers checks that a VM whose probe finds news watches for a while, when
// the watchers bring none.
func TestSilentWatchers(t *testing.T) {
	vms, selectors := newDataCentre(8)
	now := time.Unix(0, 0)
	var found *DutySelector
	for deadline := now.Add(6 * probeInterval); found == nil; now = now.Add(time.Second) {
		assert.Assert(t, now.Before(deadline), "no VM probed in time")
		for _, s := range selectors {
			if s.Duty(vms, now) == DutyProbe {
				s.RecordProbe(true, now)
				found = s
				break
			}
		}
	}
	assert.Equal(t, found.Duty(vms, now), DutyWatch)
	assert.Equal(t, found.Next(), now.Add(takeoverPeriod-time.Second))
	assert.Assert(t, found.Duty(vms, now.Add(takeoverPeriod)) != DutyWatch)
}

func TestReady(t *testing.T) {
	type row struct {
		Name         string   `json:"name"`
		Platform     []string `json:"platform"`
		Revision     uint64   `json:"revision"`
		List         uint64   `json:"list"`
		Peer         []string `json:"peer"`
		PeerRevision uint64   `json:"peer_revision"`
		PeerList     uint64   `json:"peer_list"`
		Ready        bool     `json:"ready"`
		InForce      uint64   `json:"in_force"`
		ListInForce  uint64   `json:"list_in_force"`
	}
	for _, row := range readRows[row](t, "testdata/ready.json") {
		t.Run(row.Name, func(t *testing.T) {
			for _, peerFirst := range []bool{false, true} {
				s, peer := New(Options{}), New(Options{})
				offerAll(peer, row.Peer, row.PeerRevision, row.PeerList)
				if peerFirst {
					pullAll(s, peer)
					s.OfferList(fleet.List{
						Revision: row.PeerList,
					})
				}
				offerAll(s, row.Platform, cmp.Or(row.Revision, 1), row.List)
				pullAll(s, peer)
				s.OfferList(fleet.List{
					Revision: row.PeerList,
				})
				snapshot := s.Snapshot()
				assert.Equal(t, snapshot.Ready(), row.Ready)
				if !row.Ready {
					continue
				}
				for _, d := range snapshot.Documents {
					assert.Equal(t, d.InForce, row.InForce, d.Key)
				}
				assert.Equal(t, snapshot.List.Revision, row.ListInForce)
				_, ok := snapshot.Model(fmt.Sprintf("m%d", row.InForce))
				assert.Assert(t, ok)
			}
		})
	}
}

func offerAll(s *Store, keys []string, revision, list uint64) {
	for _, key := range keys {
		s.Offer([]Document{testDocument{
			Key:      key,
			Revision: revision,
			Buckets:  1,
		}.document()})
	}
	s.OfferList(fleet.List{
		Revision: list,
	})
}
