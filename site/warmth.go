package site

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

const (
	// warmFor is how long a region counts as holding a shared beginning after its
	// last use: somewhat less than engines keep one under load.
	warmFor = 8 * time.Second
	// warmLeast is from how many shared tokens on it matters where they are held:
	// an engine reads as many in some 40 ms, a quarter of the way to another region.
	warmLeast = 2000
	// warmNew is how recent a use must be to be told: older ones were told before.
	warmNew = 1500 * time.Millisecond
	// warmSent bounds the entries of one message, at some 20 bytes each.
	warmSent = 64
)

// warmth is which regions have used which shared beginnings of prompts of late,
// seen by this VM or heard from others.
type warmth struct {
	mu   sync.Mutex
	used map[warmKey]time.Time
}

type warmKey struct {
	prefix uint64
	region string
}

func newWarmth() *warmth {
	return &warmth{
		used: make(map[warmKey]time.Time),
	}
}

// sharedTokens are those of the prompt's parts but the call's own.
func sharedTokens(c *call.Call) int {
	tokens := 0
	for _, p := range c.Routed.Parts[:max(len(c.Routed.Parts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

// touch notes that a region uses the beginning of a call's prompt now.
func (w *warmth) touch(c *call.Call, region string, now time.Time) {
	if sharedTokens(c) < warmLeast {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used[warmKey{prefix: c.PrefixHash, region: region}] = now
}

// holds says whether a region has used a beginning of late.
func (w *warmth) holds(prefix uint64, region string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.used[warmKey{prefix: prefix, region: region}]
	return ok && now.Sub(at) < warmFor
}

// message gives what is known of one region, or of all where it is empty.
func (w *warmth) message(region string, now time.Time) []*peerpb.WarmPrefix {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*peerpb.WarmPrefix
	for key, at := range w.used {
		age := now.Sub(at)
		if age >= warmFor {
			delete(w.used, key)
			continue
		}
		wanted := region == "" || key.region == region
		if wanted && age < warmNew && len(out) < warmSent {
			out = append(out, &peerpb.WarmPrefix{
				Prefix: key.prefix,
				Region: key.region,
				AgeMs:  uint32(age.Milliseconds()),
			})
		}
	}
	return out
}

// take takes what another VM knows.
func (w *warmth) take(list []*peerpb.WarmPrefix, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range list {
		key := warmKey{
			prefix: m.GetPrefix(),
			region: m.GetRegion(),
		}
		if at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond); at.After(w.used[key]) {
			w.used[key] = at
		}
	}
}
