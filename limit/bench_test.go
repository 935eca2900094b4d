package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/contract"
)

func benchmarkRequest(workspace string) Request {
	return Request{
		Workspace: workspace,
		Terms: contract.RegionLimits{
			RequestsPerSecond: 1e9,
			TokensPerSecond:   1e12,
			SpendPerHour:      1e15,
			Concurrency:       1 << 30,
			BorrowShare:       0.5,
		},
		Share:      1,
		ShareSince: origin,
		VMs:        8,
		Owner:      true,
		Cost: Amounts{
			Requests:    1,
			Tokens:      100,
			Spend:       5,
			Concurrency: 1,
		},
	}
}

func TestTakeDoesNotAllocate(t *testing.T) {
	l := New(Options{})
	r := benchmarkRequest("ws")
	now := origin.Add(time.Minute)
	got := testing.AllocsPerRun(1000, func() {
		reservation, refusal := l.Take(r, now)
		assert.Assert(t, refusal == nil)
		l.Settle(reservation, r.Cost, now)
	})
	assert.Equal(t, got, 0.0)
}

func workspaceNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("ws-%05d", i)
	}
	return names
}

// BenchmarkTake admits and settles calls of all workspaces in turn.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{100, 1500, 15000} {
		names := workspaceNames(n)
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			l := New(Options{})
			r := benchmarkRequest("")
			now := origin.Add(time.Minute)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				r.Workspace = names[i%n]
				now = now.Add(time.Microsecond)
				reservation, _ := l.Take(r, now)
				l.Settle(reservation, r.Cost, now)
				i++
			}
		})
	}
}

// BenchmarkTakeParallel admits calls on all processors, for one workspace or for many.
func BenchmarkTakeParallel(b *testing.B) {
	for _, n := range []int{1, 15000} {
		names := workspaceNames(n)
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			l := New(Options{})
			now := origin.Add(time.Minute)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				r := benchmarkRequest("")
				for i := 0; pb.Next(); i++ {
					r.Workspace = names[i%n]
					reservation, _ := l.Take(r, now)
					l.Settle(reservation, r.Cost, now)
				}
			})
		})
	}
}

// BenchmarkTakeRefused refuses calls.
func BenchmarkTakeRefused(b *testing.B) {
	l := New(Options{})
	r := benchmarkRequest("ws")
	r.Terms.RequestsPerSecond = 0
	now := origin.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = l.Take(r, now)
	}
}

// BenchmarkMemory reports the heap bytes per account, on the owner and on a VM that uses a
// lease. Its time is meaningless.
func BenchmarkMemory(b *testing.B) {
	for _, owner := range []bool{true, false} {
		for _, n := range []int{100, 1500, 15000} {
			b.Run(fmt.Sprintf("owner=%v/workspaces=%d", owner, n), func(b *testing.B) {
				names := workspaceNames(n)
				before := heapBytes()
				l := New(Options{})
				for _, name := range names {
					r := benchmarkRequest(name)
					r.Owner = owner
					_, _ = l.Take(r, origin.Add(time.Minute))
				}
				used := heapBytes() - before
				runtime.KeepAlive(l)
				b.ReportMetric(float64(used)/float64(n), "B/workspace")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
