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
	// packFrom is the size, in bytes, from which lists in messages are packed: entries
	// of endpoints and rumors resemble each other, and those of a large fleet fill a
	// small VM's link when all VMs start together.
	packFrom = 1 << 10
	// unpackedMost bounds what a packed list may hold, in bytes.
	unpackedMost = 8 * MaxMessageBytes
)

// Pack returns a reply whose items are packed, where that is worth it.
func Pack(r *peerpb.PublishedReply) (*peerpb.PublishedReply, error) {
	if proto.Size(r) < packFrom {
		return r, nil
	}
	packed, err := deflate(&peerpb.PublishedReply{
		Items: r.GetItems(),
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.PublishedReply{
		Revision:   r.GetRevision(),
		Whole:      r.GetWhole(),
		SettlingMs: r.GetSettlingMs(),
		Packed:     packed,
	}, nil
}

// unpack puts the items of a packed reply in their place.
func unpack(r *peerpb.PublishedReply) error {
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

// packRumors packs the rumors of a message, where that is worth it.
func packRumors(m *peerpb.GossipMessage) error {
	list := &peerpb.GossipMessage{
		Rumors: m.GetRumors(),
	}
	if proto.Size(list) < packFrom {
		return nil
	}
	packed, err := deflate(list)
	if err != nil {
		return err
	}
	m.PackedRumors = packed
	m.Rumors = nil
	return nil
}

// unpackRumors puts the rumors of a message in their place.
func unpackRumors(m *peerpb.GossipMessage) error {
	if len(m.GetPackedRumors()) == 0 {
		return nil
	}
	var list peerpb.GossipMessage
	if err := inflate(m.GetPackedRumors(), &list); err != nil {
		return err
	}
	m.Rumors = list.GetRumors()
	m.PackedRumors = nil
	return nil
}

// writers keep the compressors, each of which holds some hundred kilobytes.
var writers = sync.Pool{
	New: func() any {
		// The level is a valid one.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		return w
	},
}

// deflate returns a message compressed.
func deflate(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var packed bytes.Buffer
	w, _ := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return packed.Bytes(), nil
}

// inflate reads what deflate returned.
func inflate(packed []byte, into proto.Message) error {
	reader := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(reader, unpackedMost+1))
	if err != nil {
		return merry.Prepend(err, "packed list")
	}
	if len(data) > unpackedMost {
		return merry.Errorf("packed list: more than %d bytes", unpackedMost)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		return merry.Prepend(err, "packed list")
	}
	return nil
}
