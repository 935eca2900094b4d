package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

const (
	// crashMark stands in the paths of calls that crash the replicas which run them.
	crashMark = "/crash-"
	// leastPause and mostPause bound the time between two tries of such a call.
	leastPause = 50 * time.Millisecond
	mostPause  = 500 * time.Millisecond
	// crashesKnown is how many replicas a call crashes before all VMs must know, a while
	// later; triesBorne is how many tries may still reach replicas then.
	crashesKnown = 3
	triesBorne   = 3
	// answeredWithin is when such a try has its final answer once all VMs know.
	answeredWithin = time.Second
	// othersWithin is when other calls must be served again after a call was known, and
	// othersShare the part of them: replicas come back and are cold for a while.
	othersWithin = appliesWithin + lapsesAfter + coldFor
	othersShare  = 0.9
)

// crashingPaths are the calls that crash replicas, one after the other: one that may
// run once, and one that may run again.
var crashingPaths = []string{
	"/stream/once" + crashMark + "1",
	"/stream/resume" + crashMark + "2",
}

func crashes(path string) bool {
	return strings.Contains(path, crashMark)
}

// crashed brings another replica for one that a call has crashed.
func (w *world) crashed(r *replica.Replica) {
	w.tell("crashed %s", r.ID)
	w.mu.Lock()
	var region string
	for _, known := range w.replicas {
		if known.Replica == r {
			known.gone = true
			region = known.region
		}
	}
	w.mu.Unlock()
	time.AfterFunc(lapsesAfter, func() {
		w.store.Remove("servers/" + r.ID)
		if err := w.addReplica(r.Service, region, coldFor); err != nil {
			w.tell("replace: %v", err)
		}
	})
}

// playCrashing lets callers send calls that crash replicas, among others.
func playCrashing(ctx context.Context, w *world, load *load) (out []Violation) {
	sleepFor(ctx, calmFor)
	for _, path := range crashingPaths {
		begun := time.Now()
		w.sendCrashing(load, path)
		share, _ := w.ledger.served(begun.Add(othersWithin), time.Now().Add(-time.Second))
		w.tell("%s is over, %.3f of other calls served", path, share)
		if share < othersShare {
			out = append(out, Violation{
				Check:  "crashing_calls",
				Detail: fmt.Sprintf("%.2f of other calls were served after %v of %s", share, othersWithin, path),
			})
		}
	}
	return out
}

// sendCrashing sends a call at any VM again and again for as long as the options say.
func (w *world) sendCrashing(load *load, path string) {
	var tries sync.WaitGroup
	defer tries.Wait()
	ctx := load.ctx
	c := w.newClient(regionName(0), &load.number)
	end := time.Now().Add(w.For)
	for time.Now().Before(end) && ctx.Err() == nil {
		v := w.vms[rand.IntN(len(w.vms))]
		tries.Go(func() { c.send(ctx, v, path, serviceEngine, http.MethodPost) })
		sleepFor(ctx, leastPause+time.Duration(rand.Int64N(int64(mostPause-leastPause))))
	}
}

// checkCrashing holds the tries of calls that crash replicas against what the ones
// before did.
func (l *ledger) checkCrashing() (out []string) {
	runs := make(map[string][]replica.Run)
	for _, r := range l.runs {
		if crashes(r.Path) && !r.Refused {
			runs[r.Path] = append(runs[r.Path], r)
		}
	}
	for path, list := range runs {
		slices.SortFunc(list, func(a, b replica.Run) int { return a.At.Compare(b.At) })
		known := knownAt(list)
		if known.IsZero() {
			continue
		}
		after := make(map[string]bool)
		for _, r := range list {
			if r.At.After(known) && l.calm(r.At) {
				after[r.Attempt] = true
			}
		}
		if len(after) > triesBorne {
			out = append(out, fmt.Sprintf("%d tries of %s reached replicas after it had crashed %d", len(after), path, crashesKnown))
		}
		out = append(out, l.answeredLate(path, known)...)
	}
	return out
}

// knownAt is when all VMs must know what a call does, from its runs in their order;
// zero means that it has not crashed enough replicas.
func knownAt(runs []replica.Run) time.Time {
	crashed := make(map[string]bool)
	for _, r := range runs {
		crashed[r.Replica] = true
		if len(crashed) == crashesKnown {
			return r.At.Add(appliesWithin)
		}
	}
	return time.Time{}
}

// answeredLate returns the tries that had no final answer at once.
func (l *ledger) answeredLate(path string, known time.Time) (out []string) {
	for _, a := range l.attempts {
		if a.path != path || a.sentAt.Before(known) || !l.calm(a.sentAt) {
			continue
		}
		if took := a.endedAt.Sub(a.sentAt); a.status == 0 || took > answeredWithin {
			out = append(out, fmt.Sprintf("%s %s got %d after %v", a.id, path, a.status, took))
		}
	}
	return out
}
