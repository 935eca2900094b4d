package configuration

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestMain fixes the random seed to make runs reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// history is a random sequence of writes by operators and of reads by VMs.
type history struct {
	// Written are the writes, with revisions from 1.
	Written []testDocument
	Steps   []step
}

// step is a read by one VM, from a replica of the platform or from another VM.
type step struct {
	VM int
	// From is the VM to pull from. -1 reads from the platform.
	From int
	// Seen is the revision that the platform's replica has reached.
	Seen int
	// Page limits the size of a pull, in bytes.
	Page int
}

const (
	historyVMs       = 4
	maxHistoryWrites = 24
)

var histories = rapid.Custom(func(t *rapid.T) history {
	var r history
	for i := range rapid.IntRange(1, maxHistoryWrites).Draw(t, "writes") {
		r.Written = append(r.Written, drawWrite(t, uint64(i+1)))
	}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		r.Steps = append(r.Steps, step{
			VM:   rapid.IntRange(0, historyVMs-1).Draw(t, "vm"),
			From: rapid.IntRange(-1, historyVMs-1).Draw(t, "from"),
			Seen: rapid.IntRange(0, len(r.Written)).Draw(t, "seen"),
			Page: rapid.SampledFrom([]int{1, 2000, 1 << 20}).Draw(t, "page"),
		})
	}
	return r
})

func drawWrite(t *rapid.T, revision uint64) testDocument {
	w := testDocument{
		Key:      rapid.SampledFrom([]string{contract.KeyModels, contract.KeyRegions, "", "", "", "", "", ""}).Draw(t, "key"),
		Revision: revision,
		Fault:    rapid.SampledFrom([]string{"", "", "", "", "syntax", "unknown_field"}).Draw(t, "fault"),
	}
	if w.Key != "" {
		return w
	}
	w.Buckets = rapid.SampledFrom([]int{1, 2, 3, 4, 6}).Draw(t, "buckets")
	number := rapid.IntRange(0, w.Buckets-1).Draw(t, "number")
	w.Key = bucketKey(number)
	skip := rapid.IntRange(2, 5).Draw(t, "skip")
	for residue := number; residue < residues; residue += w.Buckets {
		if residue%skip != 0 {
			w.Holds = append(w.Holds, residue)
		}
	}
	return w
}

// replicaDocuments returns the last value of each key in a replica that has received
// the first seen writes.
func (r history) replicaDocuments(seen int) []Document {
	last := make(map[string]Document)
	for _, w := range r.Written[:seen] {
		last[w.Key] = w.document()
	}
	var docs []Document
	for _, d := range last {
		docs = append(docs, d)
	}
	slices.SortFunc(docs, func(a, b Document) int { return int(a.Revision) - int(b.Revision) })
	return docs
}

// check runs the history with the given offer function. It returns an error if a
// workspace's deciding revision decreases, or if VMs differ after all have exchanged
// their documents.
func (r history) check(offer func(*Store, []Document)) error {
	vms := make([]*Store, historyVMs)
	parse := parseOnce()
	for i := range vms {
		vms[i] = New(Options{
			Parse: parse,
		})
	}
	known := make(map[uint64]bool)
	for i, s := range r.Steps {
		docs := r.replicaDocuments(s.Seen)
		if s.From >= 0 {
			docs = Page(vms[s.From].Newer(vms[s.VM].Held()), s.Page)
		}
		for _, d := range docs {
			known[d.Revision] = true
		}
		before := decidingRevisions(vms[s.VM])
		offer(vms[s.VM], docs)
		if err := checkNotReverted(before, decidingRevisions(vms[s.VM])); err != nil {
			return fmt.Errorf("step %d, VM %d: %w", i, s.VM, err)
		}
	}
	for _, s := range vms {
		offer(s, r.replicaDocuments(len(r.Written)))
	}
	for _, d := range r.replicaDocuments(len(r.Written)) {
		known[d.Revision] = true
	}
	for range historyVMs {
		for i, s := range vms {
			offer(s, vms[(i+1)%historyVMs].Newer(s.Held()))
		}
	}
	return r.checkConverged(vms, known)
}

// parseOnce returns a memoized contract.Parse, since every VM validates the same
// documents.
func parseOnce() func(string, []byte) (*contract.Document, *result.Refusal) {
	type verdict struct {
		doc     *contract.Document
		refusal *result.Refusal
	}
	verdicts := make(map[string]verdict)
	return func(key string, value []byte) (*contract.Document, *result.Refusal) {
		id := key + " " + string(value)
		v, ok := verdicts[id]
		if !ok {
			v.doc, v.refusal = contract.Parse(key, value)
			verdicts[id] = v
		}
		return v.doc, v.refusal
	}
}

// decidingRevisions returns the revision that decides each sample workspace. Zero means
// none.
func decidingRevisions(s *Store) [residues]uint64 {
	var out [residues]uint64
	snapshot := s.Snapshot()
	for i, w := range workspaces {
		if d := snapshot.decidingRecord(w); d != nil {
			out[i] = d.revision
		}
	}
	return out
}

func checkNotReverted(before, after [residues]uint64) error {
	for i := range before {
		if after[i] < before[i] {
			return fmt.Errorf("remainder %d went from revision %d to %d", i, before[i], after[i])
		}
	}
	return nil
}

func (r history) checkConverged(vms []*Store, known map[uint64]bool) error {
	for i, s := range vms {
		if s.Digest() != vms[0].Digest() {
			return fmt.Errorf("VM %d has digest %v, VM 0 %v", i, s.Digest(), vms[0].Digest())
		}
		if len(s.Newer(vms[0].Held())) > 0 {
			return fmt.Errorf("VM %d still has documents that VM 0 lacks", i)
		}
		if decidingRevisions(s) != r.expected(known) {
			return fmt.Errorf("VM %d is decided by %v, want %v", i, decidingRevisions(s), r.expected(known))
		}
	}
	return nil
}

// expected computes directly from the rule which write decides each sample workspace,
// among the writes that reached any VM.
func (r history) expected(known map[uint64]bool) [residues]uint64 {
	var out [residues]uint64
	for _, w := range r.Written {
		if w.Buckets == 0 || w.Fault != "" || !known[w.Revision] {
			continue
		}
		for residue := range residues {
			if bucketKey(residue%w.Buckets) == w.Key {
				out[residue] = w.Revision
			}
		}
	}
	return out
}

func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		err := histories.Draw(t, "run").check(func(s *Store, docs []Document) { s.Offer(docs) })
		assert.NilError(t, err)
	})
}

// brokenOffers are faulty implementations of Offer that check must detect.
var brokenOffers = map[string]func(*Store, []Document){
	// accept_lower_revision replaces the latest document by one with a lower revision.
	"accept_lower_revision": func(s *Store, docs []Document) {
		for _, d := range docs {
			if last := s.latest[d.Key]; last != nil && d.Revision < last.revision {
				removeRecord(s, last)
			}
			s.Offer([]Document{d})
		}
	},
	// drop_superseded keeps only the latest document of each key, even while the number
	// of buckets changes.
	"drop_superseded": func(s *Store, docs []Document) {
		s.Offer(docs)
		for at, r := range s.accepted {
			if s.latest[r.key] != r {
				delete(s.accepted, at)
				s.digest.toggle(r)
				s.snapshot = nil
			}
		}
	},
	// refused_in_force removes the accepted document when a later one is refused.
	"refused_in_force": func(s *Store, docs []Document) {
		for _, v := range s.Offer(docs) {
			if last := s.latest[v.Key]; last != nil && v.Refusal != nil && v.Changed {
				removeRecord(s, last)
			}
		}
	},
	// ignore_below_refused ignores documents below a refused one.
	"ignore_below_refused": func(s *Store, docs []Document) {
		for _, d := range docs {
			if r := s.refused[d.Key]; r == nil || d.Revision > r.revision {
				s.Offer([]Document{d})
			}
		}
	},
}

func removeRecord(s *Store, r *record) {
	delete(s.accepted, r.slot)
	delete(s.latest, r.key)
	s.digest.toggle(r)
	s.snapshot = nil
}

func TestCheckCatches(t *testing.T) {
	const examples = 200
	for name, offer := range brokenOffers {
		t.Run(name, func(t *testing.T) {
			for seed := range examples {
				if err := histories.Example(seed).check(offer); err != nil {
					t.Logf("caught at example %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no example detected the fault")
		})
	}
}
