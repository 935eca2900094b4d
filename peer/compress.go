package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

const (
	// minCompressBytes is the size from which lists are compressed. Entries
	// resemble each other, and uncompressed lists of a large fleet saturate the link of a
	// small VM when all VMs start together.
	minCompressBytes = 1 << 10
	// maxDecompressedBytes bounds the size of a decompressed list.
	maxDecompressedBytes = 8 * MaxMessageBytes
)

// CompressItems returns a reply with compressed items, or r itself if it is small.
func CompressItems(r *peerpb.PublishedReply) (*peerpb.PublishedReply, error) {
	if proto.Size(r) < minCompressBytes {
		return r, nil
	}
	packed, err := deflate(&peerpb.PublishedReply{
		Items: r.GetItems(),
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.PublishedReply{
		Era:        r.GetEra(),
		Revision:   r.GetRevision(),
		Whole:      r.GetWhole(),
		SettlingMs: r.GetSettlingMs(),
		Packed:     packed,
	}, nil
}

// decompressItems restores the items of a reply in place.
func decompressItems(r *peerpb.PublishedReply) error {
	if len(r.GetPacked()) == 0 {
		return nil
	}
	var items peerpb.PublishedReply
	if err := inflate(r.GetPacked(), &items); err != nil {
		return err
	}
	r.Items = items.GetItems()
	r.Packed = nil
	return nil
}

// PackRumors compresses a list of rumors for GossipMessage.PackedRumors.
func PackRumors(rumors []*peerpb.Rumor) ([]byte, error) {
	return deflate(&peerpb.GossipMessage{
		Rumors: rumors,
	})
}

// compressRumors compresses the rumors of a message in place, unless they are small.
func compressRumors(m *peerpb.GossipMessage) error {
	list := &peerpb.GossipMessage{
		Rumors: m.GetRumors(),
	}
	if proto.Size(list) < minCompressBytes {
		return nil
	}
	packed, err := PackRumors(m.GetRumors())
	if err != nil {
		return err
	}
	m.PackedRumors = packed
	m.Rumors = nil
	return nil
}

// decompressRumors restores the rumors of a message in place.
func decompressRumors(m *peerpb.GossipMessage) error {
	if len(m.GetPackedRumors()) == 0 {
		return nil
	}
	rumors, err := UnpackRumors(m.GetPackedRumors())
	if err != nil {
		return err
	}
	m.Rumors = rumors
	m.PackedRumors = nil
	return nil
}

// UnpackRumors reverses PackRumors.
func UnpackRumors(packed []byte) ([]*peerpb.Rumor, error) {
	var list peerpb.GossipMessage
	if err := inflate(packed, &list); err != nil {
		return nil, err
	}
	return list.GetRumors(), nil
}

// flateWriters reuses compressors, each of which holds some hundred kilobytes.
var flateWriters = sync.Pool{
	New: func() any {
		// NewWriter fails only on an invalid level.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		return w
	},
}

// deflate encodes and compresses a message.
func deflate(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var compressed bytes.Buffer
	w, _ := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(data); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return compressed.Bytes(), nil
}

// inflate decompresses and decodes the output of deflate.
func inflate(compressed []byte, into proto.Message) error {
	reader := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return merry.Prepend(err, "compressed list")
	}
	if len(data) > maxDecompressedBytes {
		return merry.Errorf("compressed list exceeds %d bytes", maxDecompressedBytes)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		return merry.Prepend(err, "compressed list")
	}
	return nil
}
