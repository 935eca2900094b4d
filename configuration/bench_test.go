package configuration

import (
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// sizes are numbers of workspaces: today's, and about ten and a hundred times as many.
var sizes = []int{100, 1_500, 15_000}

const contractsPerBucket = 60

// bucketDocuments returns the bucket documents for a number of workspaces. Their
// revisions start at the given one.
func bucketDocuments(count, buckets int, revision uint64) []Document {
	texts := make([][]string, buckets)
	for i := range count {
		name := fmt.Sprintf("workspace-%d", i)
		at := contract.BucketOf(name, buckets)
		texts[at] = append(texts[at], contractText(name, revision))
	}
	var docs []Document
	for i, contracts := range texts {
		docs = append(docs, Document{
			Key:      bucketKey(i),
			Revision: revision + uint64(i),
			Value:    fmt.Appendf(nil, `{"format": 1, "bucket": %d, "buckets": %d, "contracts": [%s]}`, i, buckets, strings.Join(contracts, ",")),
		})
	}
	return docs
}

func bucketsFor(count int) int {
	return max(count/contractsPerBucket, 1)
}

// BenchmarkApply accepts one changed bucket and creates the Snapshot.
func BenchmarkApply(b *testing.B) {
	for _, count := range sizes {
		for _, buckets := range []int{1, 16, bucketsFor(count)} {
			if count/buckets > 1500 {
				continue
			}
			b.Run(fmt.Sprintf("workspaces=%d/buckets=%d", count, buckets), func(b *testing.B) {
				docs := bucketDocuments(count, buckets, 1)
				s := New(Options{})
				s.Offer(docs)
				b.SetBytes(int64(len(docs[0].Value)))
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					d := docs[i%len(docs)]
					d.Revision = uint64(len(docs) + i + 1)
					if !s.Offer([]Document{d})[0].Changed {
						b.Fatal("document not accepted")
					}
					s.Snapshot()
				}
			})
		}
	}
}

// BenchmarkPublish is BenchmarkApply with validated documents: the cost to the
// goroutine that owns the Store.
func BenchmarkPublish(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			docs := Validate(bucketDocuments(count, bucketsFor(count), 1))
			s := New(Options{})
			s.Offer(docs)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d := docs[i%len(docs)]
				d.Revision = uint64(len(docs) + i + 1)
				s.Offer([]Document{d})
				s.Snapshot()
			}
		})
	}
}

// BenchmarkPublishFlat is the baseline for BenchmarkPublish: one map of all contracts,
// copied for each Snapshot.
func BenchmarkPublishFlat(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			all := make(map[string]*contract.Contract, count)
			for i := range count {
				name := fmt.Sprintf("workspace-%d", i)
				all[name] = &contract.Contract{
					Workspace: name,
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				maps.Clone(all)["workspace-0"] = nil
			}
		})
	}
}

// BenchmarkRebucket accepts one document of a new number of buckets while documents of
// the old number are still in force.
func BenchmarkRebucket(b *testing.B) {
	buckets := bucketsFor(15_000)
	s := New(Options{})
	s.Offer(bucketDocuments(15_000, buckets, 1))
	docs := Validate(bucketDocuments(15_000, 2*buckets, 1000))
	s.Offer(docs[:len(docs)/2+1])
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d := docs[i%(len(docs)/2)]
		d.Revision = uint64(10_000 + i)
		s.Offer([]Document{d})
		s.Snapshot()
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			s := New(Options{})
			s.Offer(bucketDocuments(count, bucketsFor(count), 1))
			snapshot := s.Snapshot()
			names := make([]string, count)
			for i := range names {
				names[i] = fmt.Sprintf("workspace-%d", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := snapshot.Contract(names[i%count]); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap used by a Store, and the time from an empty Store to
// a complete Snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			docs := bucketDocuments(count, bucketsFor(count), 1)
			var s *Store
			before := heapBytes()
			for b.Loop() {
				s = New(Options{
					Now: time.Now,
				})
				s.Offer(docs)
				s.OfferList(fleet.List{
					Revision: 1,
				})
				s.Snapshot()
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(count), "heap-bytes/workspace")
			raw := 0
			for _, d := range docs {
				raw += len(d.Value)
			}
			b.ReportMetric(float64(raw)/float64(count), "value-bytes/workspace")
			runtime.KeepAlive(s)
			runtime.KeepAlive(docs)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
