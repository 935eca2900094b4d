package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	// ticksPerSecond is the kernel's unit of processor time in /proc.
	ticksPerSecond = 100
	// Fields of /proc/PID/stat after the name in brackets, from zero.
	statUserTime   = 11
	statSystemTime = 12
	kilobyte       = 1024
)

// cpuTime is the processor time that a process used up to now.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	user, _ := strconv.Atoi(fields[statUserTime])
	system, _ := strconv.Atoi(fields[statSystemTime])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// resident is the memory that a process holds, in bytes.
func resident(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		n, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
		return n * kilobyte
	}
	return 0
}

// cpuOf sums the processor time of VMs.
func cpuOf(vms []*rig.VM) time.Duration {
	var sum time.Duration
	for _, vm := range vms {
		sum += cpuTime(vm.PID())
	}
	return sum
}
