package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

var (
	benchAt         = time.Unix(1_700_000_000, 0)
	workspaceCounts = []int{100, 1_500, 15_000}
	endpointCounts  = []int{10, 100, 600}
	fleetSizes      = []int{8, 32, 128, 380}
)

// BenchmarkTake charges and settles one call at the owner of many workspaces.
func BenchmarkTake(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			ledger := limit.New(limit.Options{})
			names := namesOf(n)
			at := benchAt
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at = at.Add(time.Millisecond)
				r, refusal := ledger.Take(takeRequest(names[i%n]), at)
				if refusal != nil {
					b.Fatal(refusal)
				}
				ledger.Settle(r, r.Charged, at)
			}
		})
	}
}

func takeRequest(workspace string) limit.Request {
	return limit.Request{
		Workspace: workspace,
		Terms: contract.RegionLimits{
			Region:            "home",
			RequestsPerSecond: plentyRequests,
			TokensPerSecond:   plentyTokens,
			SpendPerHour:      plentySpend,
			Concurrency:       plentyConcurrency,
		},
		Share:              1,
		ShareSince:         benchAt.Add(-time.Hour),
		PreviousShare:      1,
		PreviousShareSince: benchAt.Add(-time.Hour),
		VMs:                8,
		Owner:              true,
		Cost: limit.Amounts{
			Requests:    1,
			Tokens:      100,
			Spend:       100,
			Concurrency: 1,
		},
	}
}

func namesOf(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("workspace-%d", i))
	}
	return names
}

// spareRecords keeps the desk from its bound while records run out.
const spareRecords = 64

// BenchmarkTicket issues a ticket and runs its call, beside about n records.
func BenchmarkTicket(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			desk := ticket.New(ticket.Options{
				VM:          "vm",
				Incarnation: 1,
				MaxRecords:  spareRecords * n,
				MaxBytes:    1 << 30,
			})
			at := benchAt
			const goodFor = 2 * time.Minute
			step := goodFor / time.Duration(n)
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(step)
				runTicket(b, desk, at, goodFor)
			}
		})
	}
}

func runTicket(b *testing.B, desk *ticket.Registry, at time.Time, goodFor time.Duration) {
	b.Helper()
	text := desk.Issue("workspace", at.Add(goodFor))
	s := desk.Begin(text, "workspace", 1, at)
	if s.Kind != ticket.Run {
		b.Fatal(s.Refusal)
	}
	if refusal := s.Entry.MarkSent(at); refusal != nil {
		b.Fatal(refusal)
	}
	s.Entry.Finish(ticket.Record{
		Code: result.Done,
	})
}

// BenchmarkHeartbeat takes one heartbeat's answer and publishes the view, in a
// fleet of twelve regions.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			list := fleetOf(n)
			s := membership.New(membership.Options{
				Self:        list.VMs[0],
				Incarnation: 1,
			})
			s.SetList(list, benchAt)
			at := benchAt
			beat := membership.Beat{
				VM:          list.VMs[min(manyRegions, n-1)].ID,
				Incarnation: 1,
				Region:      list.VMs[min(manyRegions, n-1)].Region,
				Ready:       true,
			}
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(time.Millisecond)
				beat.Stamp++
				s.HandleBeat(beat, at, at)
				s.View(at)
			}
		})
	}
}

func fleetOf(n int) *fleet.List {
	list := &fleet.List{
		Revision: 1,
	}
	for i := range n {
		region := fmt.Sprintf("region-%d", i%manyRegions)
		list.VMs = append(list.VMs, fleet.VM{
			ID:         fmt.Sprintf("vm-%d", i),
			Region:     region,
			DataCentre: region + "-1",
			State:      fleet.StateLive,
		})
	}
	return list
}

// BenchmarkAdmit admits a call that finds a free slot, and releases it.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range endpointCounts {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			pool := routing.New(routing.Options{})
			var endpoints []fleet.Endpoint
			for i := range n {
				endpoints = append(endpoints, fleet.Endpoint{
					ID:    fmt.Sprintf("endpoint-%d", i),
					Model: model,
					Slots: admissionSlots,
					State: fleet.StateLive,
				})
			}
			pool.SetEndpoints(endpoints, benchAt)
			queue := admission.New(admission.Options{
				Length: 256,
				Now:    func() time.Time { return benchAt },
			}, pool)
			b.ReportAllocs()
			for b.Loop() {
				slot, refusal := queue.Admit(context.Background(), admission.Request{
					Priority:           call.PriorityChat,
					FirstTokenDeadline: benchAt.Add(time.Minute),
					Deadline:           benchAt.Add(time.Minute),
					MaxTokens:          routingTokens,
				}, benchAt)
				assert.Assert(b, refusal == nil)
				queue.Release(slot, routing.Outcome{
					Code: result.Done,
					Sent: true,
				}, benchAt)
			}
		})
	}
}
