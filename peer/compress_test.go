package peer

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

func makeItems(count int) *peerpb.PublishedReply {
	r := &peerpb.PublishedReply{
		Revision: 9,
		Whole:    true,
	}
	for i := range count {
		r.Items = append(r.Items, &peerpb.PublishedItem{
			Key:      fmt.Sprintf("endpoints/i-%08x", i*7919),
			Revision: uint64(i),
			Value:    fmt.Appendf(nil, `{"Service":"bany54a","Addr":"10.%d.%d.%d:8148","Zone":"a","Slots":64,"State":"ready","ColdLeftMs":0,"Seq":%d}`, i%3, i%64, i%250, i),
		})
	}
	return r
}

// TestCompressItems checks the round trip of items, and that the list of a large fleet
// shrinks to less than a sixth.
func TestCompressItems(t *testing.T) {
	for _, count := range []int{0, 3, 3000} {
		sent := makeItems(count)
		packed, err := CompressItems(sent)
		assert.NilError(t, err)
		got := proto.Clone(packed).(*peerpb.PublishedReply)
		assert.NilError(t, decompressItems(got))
		assert.Assert(t, proto.Equal(got, sent))
		if count == 3000 {
			t.Log(proto.Size(sent), proto.Size(packed))
			assert.Assert(t, proto.Size(packed) < proto.Size(sent)/6)
		}
	}
}

// makeRumors returns rumors as the VMs of one region send them.
func makeRumors(count int) *peerpb.GossipMessage {
	m := &peerpb.GossipMessage{}
	for i := range count {
		m.Rumors = append(m.Rumors, &peerpb.Rumor{
			Vm:          fmt.Sprintf("edge-addis-a-%d", i),
			Incarnation: 0x19a0<<48 | uint64(i)*0x9e3779b97f4a7c15>>40,
			Version:     1,
			Ready:       true,
			Region:      "addis",
			DataCentre:  "addis-a",
			CallerAddr:  fmt.Sprintf("10.1.0.%d:8149", i),
			PeerAddr:    fmt.Sprintf("10.1.0.%d:8144", i),
		})
	}
	return m
}

// TestCompressRumors checks the round trip of rumors, and that those of a large region
// shrink to less than a quarter.
func TestCompressRumors(t *testing.T) {
	for _, count := range []int{0, 3, 300} {
		m := makeRumors(count)
		sent := proto.Clone(m)
		assert.NilError(t, compressRumors(m))
		size := proto.Size(m)
		assert.NilError(t, decompressRumors(m))
		assert.Assert(t, proto.Equal(m, sent))
		if count == 300 {
			t.Log(proto.Size(sent), size)
			assert.Assert(t, size < proto.Size(sent)/4)
		}
	}
}

func BenchmarkCompressRumors(b *testing.B) {
	rumors := makeRumors(300).GetRumors()
	b.ReportAllocs()
	for b.Loop() {
		m := &peerpb.GossipMessage{
			Rumors: rumors,
		}
		if err := compressRumors(m); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzDecompressItems(f *testing.F) {
	packed, err := CompressItems(makeItems(200))
	assert.NilError(f, err)
	f.Add(packed.GetPacked())
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &peerpb.PublishedReply{
			Packed: data,
		}
		if decompressItems(r) == nil {
			assert.Assert(t, len(data) == 0 || r.GetPacked() == nil)
		}
	})
}
