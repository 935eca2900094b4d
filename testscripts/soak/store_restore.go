package main

import (
	"context"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/store"
)

const (
	// restoreOutage is how long the store is away before it comes back, and maxRewriteDelay
	// the time in which what it lost is written again.
	restoreOutage   = 300 * time.Millisecond
	maxRewriteDelay = 1500 * time.Millisecond
	// unsavedTime is the age of the copies, unsavedVersions the configuration versions that
	// they lack.
	unsavedTime     = 2 * time.Second
	unsavedVersions = 8
)

// runStoreRestores restores the store from older copies, twice in a row and once more, while
// one VM is frozen and one cannot read the store. Then it checks that new configurations
// and departures take effect, and injects random faults.
func runStoreRestores(ctx context.Context, tb *testbed, _ *loadGenerator) []Violation {
	sleep(ctx, settleTime)
	from := time.Now()
	frozen, cut := tb.vms[0], tb.vms[len(tb.vms)-1]
	tb.ledger.recordVMDown(frozen.name)
	frozen.signal(syscall.SIGSTOP)
	cut.storeLink.setMode(linkReset)
	tb.loseWrites(ctx)
	tb.loseWrites(ctx)
	tb.ledger.recordVMDisturbance(frozen.name)
	frozen.signal(syscall.SIGCONT)
	cut.storeLink.setMode(linkOpen)
	tb.loseWrites(ctx)
	tb.ledger.recordDisturbance(from)
	tb.publishAfterRestore(ctx)
	tb.inject(ctx)
	return nil
}

// loseWrites publishes configurations, a departure and an evacuation, and has the store come
// back from a copy without them.
func (tb *testbed) loseWrites(ctx context.Context) {
	saved := tb.store.Save()
	for range unsavedVersions {
		if err := tb.changeConfiguration(ctx, faultParams{}); err != nil {
			tb.logSchedule("%v", err)
		}
		sleep(ctx, unsavedTime/unsavedVersions)
	}
	go func() { _ = tb.drainReplica(ctx, faultParams{variant: 1}) }()
	go func() { _ = tb.evacuate(ctx, faultParams{long: settleTime}) }()
	sleep(ctx, restoreOutage)
	tb.restoreStore(ctx, saved)
}

// publishAfterRestore publishes configurations and a departure, and waits until they must
// have taken effect.
func (tb *testbed) publishAfterRestore(ctx context.Context) {
	for range 2 {
		if err := tb.changeConfiguration(ctx, faultParams{}); err != nil {
			tb.logSchedule("%v", err)
		}
		go func() { _ = tb.drainReplica(ctx, faultParams{variant: 1}) }()
		sleep(ctx, settleTime+propagationTime)
	}
}

// restoreStore takes the store away and lets it come back from a copy. What the copy lacks is
// written again.
func (tb *testbed) restoreStore(ctx context.Context, saved store.Copy) {
	tb.logSchedule("the store comes back from a copy")
	tb.store.SetMode(store.ModeReset, 0)
	sleep(ctx, restoreOutage)
	lost := tb.store.Restore(saved)
	tb.store.SetMode(store.ModeServing, 0)
	for i, item := range lost {
		sleep(ctx, maxRewriteDelay/time.Duration(len(lost)))
		tb.logSchedule("%d of %d: %s is written again", i+1, len(lost), item.Key)
		tb.store.Rewrite(item, saved)
	}
}

// restoreOlderStore is the fault in which the store comes back from a copy of random age.
func (tb *testbed) restoreOlderStore(ctx context.Context, d faultParams) error {
	saved := tb.store.Save()
	sleep(ctx, d.long)
	tb.restoreStore(ctx, saved)
	return nil
}
