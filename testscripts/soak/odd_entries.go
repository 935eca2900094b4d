package main

import (
	"context"
	// For the odd entries.
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/operator"
)

// oddEntryTime is how long an odd entry stands in place of an engine's own.
const oddEntryTime = 300 * time.Millisecond

//go:embed testdata/odd_entries.json
var oddEntryData []byte

// oddEntry is an entry that no engine writes. Depth is the number of arrays, one within another,
// that stand in it.
type oddEntry struct {
	Name  string
	Entry string
	Depth int
}

func oddEntries() (entries []oddEntry) {
	if err := json.Unmarshal(oddEntryData, &entries); err != nil {
		panic(fmt.Sprintf("odd_entries.json: %v", err))
	}
	return entries
}

func (e oddEntry) bytes() []byte {
	nested := strings.Repeat("[", e.Depth) + strings.Repeat("]", e.Depth)
	return []byte(strings.Replace(e.Entry, "%s", nested, 1))
}

// runOddEntries writes odd entries among those of the engines, and in place of one of them. After
// each an engine joins, which the VMs of its region must see, as they must the engine whose entry
// is sound again. Then the VMs are killed one after the other, and read the odd entries as they start.
func runOddEntries(ctx context.Context, tb *testbed, _ *loadGenerator) (out []Violation) {
	sleep(ctx, settleTime)
	from := time.Now()
	for i, e := range oddEntries() {
		region := regionName(i % tb.Regions)
		tb.ledger.recordFault("odd entry")
		tb.logSchedule("odd entry: %s", e.Name)
		tb.store.PutBytes(fmt.Sprintf("servers/odd-%d", i), e.bytes())
		if err := tb.replaceEntry(ctx, region, i, e.bytes()); err != nil {
			return append(out, unfollowed("%s: %v", e.Name, err))
		}
		if err := tb.addReplica(serviceEngine, region, 0); err != nil {
			return append(out, unfollowed("%s: %v", e.Name, err))
		}
		for _, v := range tb.vms {
			if missing := tb.awaitEngines(ctx, v); len(missing) > 0 {
				out = append(out, unfollowed("%s: %s doesn't see %v", e.Name, v.name, missing))
			}
		}
	}
	for i, v := range tb.vms {
		if err := tb.kill(ctx, faultParams{vm: i}); err != nil {
			return append(out, unfollowed("%s: %v", v.name, err))
		}
		if err := tb.awaitReady(ctx); err != nil {
			return append(out, unfollowed("%s after its start: %v", v.name, err))
		}
		if missing := tb.awaitEngines(ctx, v); len(missing) > 0 {
			out = append(out, unfollowed("%s doesn't see %v after its start", v.name, missing))
		}
	}
	// Calls fail at the addresses that odd entries name.
	tb.ledger.recordDisturbance(from)
	return out
}

func unfollowed(format string, args ...any) Violation {
	return Violation{
		Check:  "odd_entries",
		Detail: fmt.Sprintf(format, args...),
	}
}

// replaceEntry writes an odd entry in place of an engine's own, which the engine writes again.
func (tb *testbed) replaceEntry(ctx context.Context, region string, number int, odd []byte) error {
	engines := tb.enginesOf(region)
	r := engines[number%len(engines)]
	tb.store.PutBytes("servers/"+r.ID, odd)
	sleep(ctx, oddEntryTime)
	_, err := tb.store.Put("servers/"+r.ID, r.NextEntry("ready", 0))
	return err
}

func (tb *testbed) enginesOf(region string) (out []*trackedReplica) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, r := range tb.replicas {
		if r.region == region && !r.retired && r.Service == serviceEngine {
			out = append(out, r)
		}
	}
	return out
}

// awaitEngines waits until a VM lists all engines of its region, none of them as draining, for
// propagationTime at the most, and returns the others.
func (tb *testbed) awaitEngines(ctx context.Context, v *vm) (missing []string) {
	client := newConsole()
	for end := time.Now().Add(propagationTime); ; sleep(ctx, 100*time.Millisecond) {
		missing = nil
		explained, err := explainEngineRoute(ctx, client, v)
		for _, r := range tb.enginesOf(v.region) {
			isListed := func(e operator.RouteEndpoint) bool { return e.ID == r.ID && e.Excluded != "draining" }
			if err != nil || !slices.ContainsFunc(explained.Endpoints, isListed) {
				missing = append(missing, r.ID)
			}
		}
		if len(missing) == 0 || time.Now().After(end) || ctx.Err() != nil {
			return missing
		}
	}
}
