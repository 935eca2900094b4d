package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

// handOverPartsCase is a case of testdata/parts.json: parts in order of arrival, each
// "SENDER OFFER PART/PARTS" with one record, and the assembler's results.
type handOverPartsCase struct {
	Name     string   `json:"name"`
	MaxBytes int      `json:"max_bytes"`
	Parts    []string `json:"parts"`
	Want     []string `json:"want"`
}

func TestHandOverAssembler(t *testing.T) {
	cases := datatest.Read[[]handOverPartsCase](t, "testdata/parts.json")
	for _, c := range cases {
		t.Run(c.Name, c.test)
	}
}

func (c handOverPartsCase) test(t *testing.T) {
	if c.MaxBytes == 0 {
		c.MaxBytes = 1 << 20
	}
	now := time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)
	assembler := NewHandOverAssembler(c.MaxBytes)
	var got []string
	for _, text := range c.Parts {
		if text == "sleep" {
			now = now.Add(partTimeout + time.Second)
			got = append(got, "")
			continue
		}
		in := &peerpb.HandOverRequest{
			From: &peerpb.Identity{},
			Rights: []*peerpb.Rights{
				{
					Of:      &peerpb.Identity{Vm: "x"},
					Records: []*peerpb.Record{{Ticket: text}},
				},
			},
		}
		_, err := fmt.Sscanf(text, "%s %d %d/%d", &in.From.Vm, &in.Offer, &in.Part, &in.Parts)
		assert.NilError(t, err)
		got = append(got, describe(assembler.Add(in, now)))
	}
	assert.DeepEqual(t, got, c.Want)
}

func describe(whole *peerpb.HandOverRequest, ok bool) string {
	switch {
	case !ok:
		return "refused"
	case whole == nil:
		return "kept"
	default:
		return fmt.Sprintf("whole %d", len(whole.GetRights()[0].GetRecords()))
	}
}

// TestHandOverLargerThanMessage checks that a hand-over which exceeds the message size
// fails as one message and arrives in parts.
func TestHandOverLargerThanMessage(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assembler := NewHandOverAssembler(256 << 20)
	var got ticket.HandOver
	server, err := NewServer(Handlers{
		HandOver: func(_ context.Context, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
			whole, ok := assembler.Add(in, time.Now())
			if whole != nil {
				got = HandOverFromProto(whole)
			}
			return &peerpb.HandOverReply{
				Accepted: ok,
			}, nil
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx, ln) }()
	client := New(Options{})
	vm := fleet.VM{
		PeerAddr: ln.Addr().String(),
	}
	want := largeHandOver()
	_, err = client.HandOver(ctx, vm, HandOverToProto(want))
	assert.Assert(t, err != nil)
	for _, part := range SplitHandOver(want, 1) {
		reply, err := client.HandOver(ctx, vm, part)
		assert.NilError(t, err)
		assert.Assert(t, reply.GetAccepted())
	}
	assert.Assert(t, proto.Equal(HandOverToProto(got), HandOverToProto(want)))
}

func largeHandOver() ticket.HandOver {
	h := ticket.HandOver{
		From: ticket.IncarnationID{
			VM:          "a",
			Incarnation: 1,
		},
		To: ticket.IncarnationID{
			VM:          "b",
			Incarnation: 2,
		},
	}
	for of := range 3 {
		rights := ticket.IncarnationRights{
			Issuer: ticket.IncarnationID{
				VM:          "a",
				Incarnation: uint64(of + 1),
			},
			Key: []byte("key"),
		}
		for i := range 20 * of {
			rights.Records = append(rights.Records, ticket.TransferredRecord{
				Ticket: fmt.Sprint(i),
				Record: ticket.Record{
					Code: result.Done,
					Body: make([]byte, 200<<10),
				},
			})
		}
		h.Rights = append(h.Rights, rights)
	}
	return h
}
