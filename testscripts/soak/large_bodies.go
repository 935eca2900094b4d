package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// maxBodyBytes is MaxBodyBytes of the configuration, defaultMemoryMB MemoryMb of the settings.
	maxBodyBytes    = 1 << 20
	defaultMemoryMB = 284
	// memoryCheckInterval is how often the memory of the VMs is read.
	memoryCheckInterval = 10 * time.Millisecond
	// largeBodyTime is the time for large bodies before and during the evacuation.
	largeBodyTime = 3 * time.Second
)

// runLargeBodies has clients of the first region send bodies of the largest size, also while
// their region is evacuated and their calls are sent to another one, then injects random faults.
// No VM may exceed its memory.
func runLargeBodies(ctx context.Context, tb *testbed, l *loadGenerator) (out []Violation) {
	sleep(ctx, settleTime)
	watched, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	var memory []Violation
	group.Go(func() { memory = tb.watchMemory(watched, tb.MemoryMB) })
	for range tb.LargeBodies {
		c := tb.newClient(regionName(0), &l.lastID)
		c.bodyBytes = maxBodyBytes
		group.Go(func() { c.run(watched) })
	}
	sleep(ctx, largeBodyTime)
	if err := tb.evacuate(ctx, faultParams{long: largeBodyTime}); err != nil {
		tb.logSchedule("evacuate: %v", err)
	}
	stop()
	group.Wait()
	out = append(out, memory...)
	if served := tb.ledger.largeBodiesServed(); served < tb.LargeBodies {
		out = append(out, Violation{
			Check:  "memory",
			Detail: fmt.Sprintf("%d large bodies of %d clients were served", served, tb.LargeBodies),
		})
	}
	tb.inject(ctx)
	return out
}

// watchMemory reads the memory of the VMs until ctx ends. None may hold more than mostMB.
func (tb *testbed) watchMemory(ctx context.Context, mostMB int) (out []Violation) {
	highest := make([]int, len(tb.vms))
	var group sync.WaitGroup
	for i, v := range tb.vms {
		group.Go(func() { highest[i] = v.highestMemory(ctx, tb.MemoryMB) })
	}
	group.Wait()
	tb.mostMemory = highest
	tb.logSchedule("most memory in MB: %v", highest)
	for i, v := range tb.vms {
		if highest[i] > mostMB || v.waitExit(0) {
			out = append(out, Violation{
				Check:  "memory",
				Detail: fmt.Sprintf("%s held %d MB of %d", v.name, highest[i], tb.MemoryMB),
			})
		}
	}
	return out
}

// highestMemory returns the most resident memory of the VM's process in MB until ctx ends. Like
// the platform it kills a process that exceeds its limit.
func (v *vm) highestMemory(ctx context.Context, limitMB int) (highest int) {
	for ctx.Err() == nil {
		highest = max(highest, v.residentMB())
		if highest > limitMB {
			v.signal(syscall.SIGKILL)
			return highest
		}
		sleep(ctx, memoryCheckInterval)
	}
	return highest
}

// residentMB returns the resident memory of the VM's process in MB; zero if it has ended.
func (v *vm) residentMB() int {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// largeBodiesServed returns the number of large bodies that were answered.
func (l *ledger) largeBodiesServed() (served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		if a.largeBody && a.status == http.StatusOK {
			served++
		}
	}
	return served
}
