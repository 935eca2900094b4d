package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
)

// regionTrialInterval is the delay between the trials of two regions, so that the
// result of one is known everywhere before the next.
const regionTrialInterval = 5 * time.Second

// QuarantinedCall is a quarantined call.
type QuarantinedCall struct {
	Content uint64
	Crashes int
	// TryAt is when this VM may admit a trial of the call; zero if other VMs do.
	TryAt time.Time
}

// Held returns the quarantined calls in no particular order. vms are the reachable VMs,
// including this one.
func (l *List) Held(vms []Peer) []QuarantinedCall {
	var out []QuarantinedCall
	for content, v := range l.verdicts {
		if v.Cleared {
			continue
		}
		out = append(out, QuarantinedCall{
			Content: content,
			Crashes: v.Crashes,
			TryAt:   l.trialTime(v, vms),
		})
	}
	return out
}

// trialTime returns when this VM may admit a trial, like a half-open circuit breaker.
// The highest-ranked VM of each region may, one region after the other.
func (l *List) trialTime(v *Verdict, vms []Peer) time.Time {
	key := contentKey(v.Content)
	regions := make(map[string][]string)
	ownRegion := ""
	for _, p := range vms {
		regions[p.VM.Region] = append(regions[p.VM.Region], p.VM.ID)
		if p.VM.ID == l.self {
			ownRegion = p.VM.Region
		}
	}
	if entry.Owner(key, regions[ownRegion]) != l.self {
		return time.Time{}
	}
	var order []string
	for region := range regions {
		order = append(order, region)
	}
	h := entry.Hash(key)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(entry.Score(h, entry.Hash(b)), entry.Score(h, entry.Hash(a))), cmp.Compare(a, b))
	})
	return v.NextTrialAt.Add(time.Duration(slices.Index(order, ownRegion)) * regionTrialInterval)
}
