package console

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// Fleet holds the statuses of many VMs, in the order of the queried addresses.
type Fleet struct {
	VMs         []operator.Status `json:"vms"`
	Unreachable []UnreachableVM   `json:"unreached"`
}

// UnreachableVM is a VM whose query failed.
type UnreachableVM struct {
	Addr  string `json:"addr"`
	Error string `json:"error"`
}

// Fleet queries the status of all VMs concurrently.
func (c *Client) Fleet(ctx context.Context, addrs []string) Fleet {
	responses := queryAll(addrs, func(addr string) (*operator.Status, error) {
		return c.Status(ctx, addr)
	})
	fleet := Fleet{
		VMs:         []operator.Status{},
		Unreachable: []UnreachableVM{},
	}
	for _, r := range responses {
		if r.err != nil {
			fleet.Unreachable = append(fleet.Unreachable, UnreachableVM{
				Addr:  r.addr,
				Error: r.err.Error(),
			})
			continue
		}
		fleet.VMs = append(fleet.VMs, *r.value)
	}
	return fleet
}

// DocumentState is a state of one document and the VMs that report it.
type DocumentState struct {
	operator.Document
	VMs []string `json:"vms"`
}

// DocumentStates groups the VMs by the state of each document, sorted by key and
// active revision. A document that is the same on all VMs has one state.
func (f *Fleet) DocumentStates() []DocumentState {
	states := map[operator.Document][]string{}
	for _, key := range f.keys() {
		for i := range f.VMs {
			d := documentOf(&f.VMs[i], key)
			states[d] = append(states[d], f.VMs[i].VM)
		}
	}
	out := make([]DocumentState, 0, len(states))
	for d, vms := range states {
		out = append(out, DocumentState{
			Document: d,
			VMs:      vms,
		})
	}
	slices.SortFunc(out, compareDocumentStates)
	return out
}

func compareDocumentStates(a, b DocumentState) int {
	return cmp.Or(
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Active, b.Active),
		cmp.Compare(a.Rejected, b.Rejected),
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

// documentOf returns the VM's state of a document, or an empty one if the VM has
// not reported the key.
func documentOf(s *operator.Status, key string) operator.Document {
	i := slices.IndexFunc(s.Documents, func(d operator.Document) bool { return d.Key == key })
	if i < 0 {
		return operator.Document{
			Key: key,
		}
	}
	return s.Documents[i]
}

// Converged reports whether all VMs that responded have the same revision of every
// document and none has rejected one.
func (f *Fleet) Converged() bool {
	states := f.DocumentStates()
	refused := slices.ContainsFunc(states, func(state DocumentState) bool { return state.Rejected != 0 })
	return !refused && len(states) == len(f.keys())
}

// MergedTimeline returns the merged timeline of the first VM that responds. If it
// is incomplete or no VM responds, it adds the own events of every VM.
func (c *Client) MergedTimeline(ctx context.Context, addrs []string, q timeline.Query) Timeline {
	partial := operator.Timeline{}
	for _, addr := range addrs {
		merged, err := c.Timeline(ctx, addr, q, true)
		if err != nil {
			continue
		}
		if len(merged.Unreachable) == 0 {
			return Timeline{
				Timeline: *merged,
			}
		}
		partial = *merged
		break
	}
	responses := queryAll(addrs, func(addr string) (*operator.Timeline, error) {
		return c.Timeline(ctx, addr, q, false)
	})
	return Timeline{
		Timeline: mergeResponses(partial, responses),
	}
}

// mergeResponses adds the events of single VMs to an incomplete merged timeline.
// An unreachable VM is dropped from Unreachable if any of its events are present.
func mergeResponses(merged operator.Timeline, responses []response[operator.Timeline]) operator.Timeline {
	events := merged.Events
	var failed []string
	for _, r := range responses {
		if r.err != nil {
			failed = append(failed, r.addr)
			continue
		}
		events = append(events, r.value.Events...)
	}
	present := map[string]bool{}
	for _, e := range events {
		present[e.VM] = true
	}
	missing := slices.DeleteFunc(slices.Clone(merged.Unreachable), func(vm string) bool { return present[vm] })
	return operator.Timeline{
		Events:      timeline.Merge(events),
		Unreachable: append(missing, failed...),
	}
}

// response is the result of querying one address.
type response[T any] struct {
	addr  string
	value *T
	err   error
}

func queryAll[T any](addrs []string, query func(addr string) (*T, error)) []response[T] {
	responses := make([]response[T], len(addrs))
	var group sync.WaitGroup
	for i, addr := range addrs {
		group.Go(func() {
			value, err := query(addr)
			responses[i] = response[T]{
				addr:  addr,
				value: value,
				err:   err,
			}
		})
	}
	group.Wait()
	return responses
}
