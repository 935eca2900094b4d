package peer

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

const (
	// targetPartBytes is the size at which a part is closed. It leaves room below
	// MaxMessageBytes for one more record of the largest size.
	targetPartBytes = 2 << 20
	// partTimeout bounds the wait for the next part of a hand-over.
	partTimeout = 30 * time.Second
)

// SplitHandOver encodes a hand-over as one or more messages below MaxMessageBytes. offer
// must be unique among the sender's offers.
func SplitHandOver(h ticket.HandOver, offer uint64) []*peerpb.HandOverRequest {
	s := handOverSplitter{
		whole: HandOverToProto(h),
	}
	s.startPart()
	for _, r := range s.whole.GetRights() {
		s.addRights(r)
	}
	for i, part := range s.parts {
		part.Offer = offer
		part.Part = uint32(i + 1)
		part.Parts = uint32(len(s.parts))
	}
	return s.parts
}

// handOverSplitter distributes the records of a hand-over over parts.
type handOverSplitter struct {
	whole *peerpb.HandOverRequest
	parts []*peerpb.HandOverRequest
	bytes int
}

func (s *handOverSplitter) startPart() {
	s.parts = append(s.parts, &peerpb.HandOverRequest{
		From: s.whole.GetFrom(),
		To:   s.whole.GetTo(),
	})
	s.bytes = 0
}

// addRights adds the rights of one incarnation, starting new parts as needed.
func (s *handOverSplitter) addRights(r *peerpb.Rights) {
	into := s.startRights(r)
	for _, record := range r.GetRecords() {
		if s.bytes >= targetPartBytes {
			s.startPart()
			into = s.startRights(r)
		}
		into.Records = append(into.Records, record)
		s.bytes += proto.Size(record)
	}
}

// startRights adds an entry without records for an incarnation to the current part.
func (s *handOverSplitter) startRights(r *peerpb.Rights) *peerpb.Rights {
	part := s.parts[len(s.parts)-1]
	started := &peerpb.Rights{
		Of:             r.GetOf(),
		Key:            r.GetKey(),
		UntilUnixNano:  r.GetUntilUnixNano(),
		ClosedUnixNano: r.GetClosedUnixNano(),
		SweptUnixNano:  r.GetSweptUnixNano(),
	}
	part.Rights = append(part.Rights, started)
	return started
}

// HandOverAssembler joins the parts of hand-overs, one hand-over at a time for each
// sending VM. It is safe for concurrent use.
type HandOverAssembler struct {
	maxBytes int

	mu      sync.Mutex
	pending map[string]*partialHandOver
}

type partialHandOver struct {
	whole     *peerpb.HandOverRequest
	bytes     int
	expiresAt time.Time
}

// NewHandOverAssembler returns an assembler; maxBytes bounds one hand-over.
func NewHandOverAssembler(maxBytes int) *HandOverAssembler {
	return &HandOverAssembler{
		maxBytes: maxBytes,
		pending:  make(map[string]*partialHandOver),
	}
}

// Add takes one part. It returns the whole hand-over with the last part; ok is false for
// a part that is out of order or exceeds the size limit, and the parts before it are
// discarded.
func (p *HandOverAssembler) Add(in *peerpb.HandOverRequest, now time.Time) (whole *peerpb.HandOverRequest, ok bool) {
	if in.GetParts() <= 1 {
		return in, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	from := in.GetFrom().GetVm()
	partial := p.appendPart(in)
	if partial == nil {
		delete(p.pending, from)
		return nil, false
	}
	if in.GetPart() == in.GetParts() {
		delete(p.pending, from)
		return partial.whole, true
	}
	partial.expiresAt = now.Add(partTimeout)
	p.pending[from] = partial
	return nil, true
}

func (p *HandOverAssembler) expire(now time.Time) {
	for from, partial := range p.pending {
		if now.After(partial.expiresAt) {
			delete(p.pending, from)
		}
	}
}

// appendPart adds a part to those before it. It returns nil if the part does not follow
// or the hand-over gets too large.
func (p *HandOverAssembler) appendPart(in *peerpb.HandOverRequest) *partialHandOver {
	partial := p.pending[in.GetFrom().GetVm()]
	switch {
	case in.GetPart() == 1:
		partial = &partialHandOver{
			whole: in,
		}
	case partial == nil || !partial.isNext(in):
		return nil
	default:
		partial.whole.Part = in.GetPart()
		partial.whole.Rights = mergeRights(partial.whole.GetRights(), in.GetRights())
	}
	partial.bytes += proto.Size(in)
	if partial.bytes > p.maxBytes {
		return nil
	}
	return partial
}

// isNext reports whether in is the next part of the same offer.
func (k *partialHandOver) isNext(in *peerpb.HandOverRequest) bool {
	return proto.Equal(in.GetFrom(), k.whole.GetFrom()) &&
		proto.Equal(in.GetTo(), k.whole.GetTo()) &&
		in.GetOffer() == k.whole.GetOffer() &&
		in.GetParts() == k.whole.GetParts() &&
		in.GetPart() == k.whole.GetPart()+1
}

// mergeRights appends rights, joining the records of an incarnation that was split
// between two parts.
func mergeRights(into, more []*peerpb.Rights) []*peerpb.Rights {
	for _, r := range more {
		last := len(into) - 1
		if last >= 0 && proto.Equal(into[last].GetOf(), r.GetOf()) {
			into[last].Records = append(into[last].Records, r.GetRecords()...)
			continue
		}
		into = append(into, r)
	}
	return into
}
