package console

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// Fleet is what many VMs said, in the order in which they were asked.
type Fleet struct {
	VMs       []operator.Status `json:"vms"`
	Unreached []Unreached       `json:"unreached"`
}

// Unreached is a VM that gave no answer.
type Unreached struct {
	Addr  string `json:"addr"`
	Error string `json:"error"`
}

// Fleet asks all VMs at once.
func (c *Client) Fleet(ctx context.Context, addrs []string) Fleet {
	answers := askAll(addrs, func(addr string) (*operator.Status, error) {
		return c.Status(ctx, addr)
	})
	fleet := Fleet{
		VMs:       []operator.Status{},
		Unreached: []Unreached{},
	}
	for _, a := range answers {
		if a.err != nil {
			fleet.Unreached = append(fleet.Unreached, Unreached{
				Addr:  a.addr,
				Error: a.err.Error(),
			})
			continue
		}
		fleet.VMs = append(fleet.VMs, *a.value)
	}
	return fleet
}

// Holding is a state of one document with the VMs that are in it.
type Holding struct {
	operator.Document
	VMs []string `json:"vms"`
}

// Holdings sorts the VMs by what they hold, by key and then from the oldest
// revision in force. A document that is in force everywhere has one Holding.
func (f *Fleet) Holdings() []Holding {
	states := map[operator.Document][]string{}
	for _, key := range f.keys() {
		for i := range f.VMs {
			d := documentOf(&f.VMs[i], key)
			states[d] = append(states[d], f.VMs[i].VM)
		}
	}
	holdings := make([]Holding, 0, len(states))
	for d, vms := range states {
		holdings = append(holdings, Holding{
			Document: d,
			VMs:      vms,
		})
	}
	slices.SortFunc(holdings, compareHoldings)
	return holdings
}

func compareHoldings(a, b Holding) int {
	return cmp.Or(
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.InForce, b.InForce),
		cmp.Compare(a.Refused, b.Refused),
		cmp.Compare(a.Reason, b.Reason),
	)
}

func (f *Fleet) keys() []string {
	var keys []string
	for i := range f.VMs {
		for _, d := range f.VMs[i].Documents {
			keys = append(keys, d.Key)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// documentOf returns the state of a key; a VM that does not name it holds none.
func documentOf(s *operator.Status, key string) operator.Document {
	i := slices.IndexFunc(s.Documents, func(d operator.Document) bool { return d.Key == key })
	if i < 0 {
		return operator.Document{
			Key: key,
		}
	}
	return s.Documents[i]
}

// Agreed reports whether every VM that answered holds the same revision of every
// document and none refuses one.
func (f *Fleet) Agreed() bool {
	holdings := f.Holdings()
	refused := slices.ContainsFunc(holdings, func(h Holding) bool { return h.Refused != 0 })
	return !refused && len(holdings) == len(f.keys())
}

// MergedTimeline asks the VMs in turn for a merged time line. When none gives a
// whole one, it asks every VM for its own events and merges them here.
func (c *Client) MergedTimeline(ctx context.Context, addrs []string, q timeline.Query) Events {
	best := operator.Timeline{}
	for _, addr := range addrs {
		merged, err := c.Timeline(ctx, addr, q, true)
		if err != nil {
			continue
		}
		if len(merged.Unreached) == 0 {
			return Events{
				Timeline: *merged,
			}
		}
		best = *merged
		break
	}
	answers := askAll(addrs, func(addr string) (*operator.Timeline, error) {
		return c.Timeline(ctx, addr, q, false)
	})
	return Events{
		Timeline: mergeAnswers(best, answers),
	}
}

// mergeAnswers adds the single rings to a merged time line that lacks some. A
// VM is missing unless its own ring or the merged one has its events.
func mergeAnswers(merged operator.Timeline, answers []answer[operator.Timeline]) operator.Timeline {
	events := merged.Events
	var failed []string
	for _, a := range answers {
		if a.err != nil {
			failed = append(failed, a.addr)
			continue
		}
		events = append(events, a.value.Events...)
	}
	present := map[string]bool{}
	for _, e := range events {
		present[e.VM] = true
	}
	missing := slices.DeleteFunc(slices.Clone(merged.Unreached), func(vm string) bool { return present[vm] })
	return operator.Timeline{
		Events:    timeline.Merge(events),
		Unreached: append(missing, failed...),
	}
}

// answer is what one address gave.
type answer[T any] struct {
	addr  string
	value *T
	err   error
}

func askAll[T any](addrs []string, ask func(addr string) (*T, error)) []answer[T] {
	answers := make([]answer[T], len(addrs))
	var group sync.WaitGroup
	for i, addr := range addrs {
		group.Go(func() {
			value, err := ask(addr)
			answers[i] = answer[T]{
				addr:  addr,
				value: value,
				err:   err,
			}
		})
	}
	group.Wait()
	return answers
}
