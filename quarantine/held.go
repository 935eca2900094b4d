package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
)

// turnEvery is the time between the turns of two regions to try a call again: what came
// of one region's try is known to all others within some seconds.
const turnEvery = 5 * time.Second

// Held is a call that endpoints do not get.
type Held struct {
	Content uint64
	Crashes int
	// TryAt is when this VM may let one try of it through, zero if others do.
	TryAt time.Time
}

// Held returns the calls that are held, in no order. vms are those in reach with this one.
func (l *List) Held(vms []Peer) []Held {
	var out []Held
	for content, v := range l.verdicts {
		if v.Cleared {
			continue
		}
		out = append(out, Held{
			Content: content,
			Crashes: v.Crashes,
			TryAt:   l.tryAt(v, vms),
		})
	}
	return out
}

// tryAt is when this VM may let a try through, as a half-open circuit breaker does: the first by rank of each region may, one
// region after the other. A call that comes to one region only is tried there some
// seconds later than one that comes to all.
func (l *List) tryAt(v *Verdict, vms []Peer) time.Time {
	key := contentKey(v.Content)
	regions := make(map[string][]string)
	own := ""
	for _, p := range vms {
		regions[p.VM.Region] = append(regions[p.VM.Region], p.VM.ID)
		if p.VM.ID == l.self {
			own = p.VM.Region
		}
	}
	if entry.Owner(key, regions[own]) != l.self {
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
	return v.TryAt.Add(time.Duration(slices.Index(order, own)) * turnEvery)
}
