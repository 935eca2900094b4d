package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// regionWithoutEngines and regionWithoutPlain have no endpoint of one of the services, so
	// that their calls are sent to other regions. The one between has both.
	regionWithoutEngines = 0
	regionWithBoth       = 1
	regionWithoutPlain   = 2
	// stopsInSeries is the number of stops before a pause of seriesPause.
	stopsInSeries = 5
	seriesPause   = 4 * time.Second
	// deadlineSlack is how long before its deadline a call may be ended.
	deadlineSlack = 100 * time.Millisecond
	// slowReadPause is the time between two reads of slowReadBytes by callers that read slowly.
	slowReadPause = 50 * time.Millisecond
	slowReadBytes = 16 << 10
)

// slowBody is a body of an answer that is read slowly.
type slowBody struct {
	io.ReadCloser
	wait func()
}

func (s slowBody) Read(p []byte) (int, error) {
	s.wait()
	return s.ReadCloser.Read(p[:min(len(p), slowReadBytes)])
}

// enginesIn is the number of engines that a region starts with.
func (tb *testbed) enginesIn(region int) int {
	if tb.OverlappingStops && region == regionWithoutEngines {
		return 0
	}
	return tb.Engines
}

// randomLongCall returns a call that may last until its deadline. onceLimit bounds those that may
// run once; zero means the deadline.
func randomLongCall(onceLimit time.Duration) keptCall {
	k := keptCall{
		path:        resumePath + "x",
		service:     serviceEngine,
		deadline:    9*time.Second + rand.N(3*time.Second),
		chunked:     rand.IntN(2) == 0,
		readsSlowly: rand.IntN(4) == 0,
		ahead:       rand.IntN(6) == 0,
	}
	longest := k.deadline
	kind := rand.IntN(10)
	if kind >= 4 && onceLimit > 0 {
		longest = onceLimit
	}
	long := 2*time.Second + rand.N(longest-2*time.Second)
	switch {
	case kind < 4:
	case kind < 6:
		k.path = "/stream/once/x"
	case kind < 7:
		k.path, k.service = slowPath+"x", servicePlain
	default:
		k.path, k.service = "/get/x", servicePlain
		long = time.Duration(rand.ExpFloat64() * float64(time.Second))
		k.padding = rand.IntN(512 << 10)
	}
	k.query = fmt.Sprintf("?ms=%d&bytes=%d", long.Milliseconds(), k.padding)
	if rand.IntN(5) == 0 {
		k.half = rand.N(2 * time.Second)
	}
	return k
}

// mayStop reports whether a VM may be stopped now. Where calls are sent to other regions, one VM
// stays that reaches endpoints of all services in its own.
func (tb *testbed) mayStop(v *vm) bool {
	if v.isBusy() {
		return false
	}
	if !tb.OverlappingStops || v.region != regionName(regionWithBoth) {
		return true
	}
	return slices.ContainsFunc(tb.vms, func(other *vm) bool {
		return other != v && other.region == v.region && !other.isBusy() && other.ready()
	})
}

// recordPeakMemory records the most memory of each VM until ctx ends.
func (tb *testbed) recordPeakMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range tb.vms {
			tb.ledger.recordMemory(v.name, v.peakMB())
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

func (l *ledger) recordMemory(vm string, mb int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peakMB[vm] = max(l.peakMB[vm], mb)
}

// checkMemory checks that no VM exceeds the memory of its machine.
func (l *ledger) checkMemory() (out []string) {
	for vm, mb := range l.peakMB {
		if mb > l.memoryMB {
			out = append(out, fmt.Sprintf("%s held %d MB of %d", vm, mb, l.memoryMB))
		}
	}
	return out
}

func (l *ledger) recordRunEnd(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runEnds[id] = at
}

// recordExit records the end of a VM's process.
func (l *ledger) recordExit(vm string, state *os.ProcessState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isDown := slices.ContainsFunc(l.vmDown[vm], func(down interval) bool { return down.to.IsZero() })
	if !isDown || state.ExitCode() > 0 {
		l.ownEnds = append(l.ownEnds, fmt.Sprintf("%s ended: %v", vm, state))
	}
}

// stopsAround lists the VMs that stop as an attempt ends, with the times since their SIGTERMs.
func (l *ledger) stopsAround(a attempt) string {
	var out []string
	for name, downs := range l.vmDown {
		for _, down := range downs {
			if down.contains(a.endedAt) {
				out = append(out, fmt.Sprintf("%s %v", name, a.endedAt.Sub(down.from)))
			}
		}
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
