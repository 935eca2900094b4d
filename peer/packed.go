package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

const (
	// packFrom is the size from which items of the store are packed: entries of
	// endpoints resemble each other, and thousands of them fill a small VM's link.
	packFrom = 4 << 10
	// unpackedMost bounds what a packed reply may hold.
	unpackedMost = 8 * MaxMessageBytes
)

// Pack returns a reply whose items are packed, where that is worth it.
func Pack(r *peerpb.PublishedReply) (*peerpb.PublishedReply, error) {
	if proto.Size(r) < packFrom {
		return r, nil
	}
	data, err := proto.Marshal(&peerpb.PublishedReply{
		Items: r.GetItems(),
	})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return &peerpb.PublishedReply{
		Revision:   r.GetRevision(),
		Whole:      r.GetWhole(),
		SettlingMs: r.GetSettlingMs(),
		Packed:     packed.Bytes(),
	}, nil
}

// unpack puts the items of a packed reply in their place.
func unpack(r *peerpb.PublishedReply) error {
	if len(r.GetPacked()) == 0 {
		return nil
	}
	reader := flate.NewReader(bytes.NewReader(r.GetPacked()))
	data, err := io.ReadAll(io.LimitReader(reader, unpackedMost+1))
	if err != nil {
		return merry.Prepend(err, "packed items")
	}
	if len(data) > unpackedMost {
		return merry.Errorf("packed items: more than %d bytes", unpackedMost)
	}
	var items peerpb.PublishedReply
	if err := proto.Unmarshal(data, &items); err != nil {
		return merry.Prepend(err, "packed items")
	}
	r.Items = items.GetItems()
	r.Packed = nil
	return nil
}
