package peer

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

const (
	// partBytes is about the size of one part of a hand-over, well below
	// MaxMessageBytes with one more record of the largest size.
	partBytes = 2 << 20
	// keepPartsFor is how long a receiver waits for the next part.
	keepPartsFor = 30 * time.Second
)

// HandOverParts writes a hand-over as messages that each fit the protocol, at
// least one. offer must differ between offers.
func HandOverParts(h ticket.HandOver, offer uint64) []*peerpb.HandOverRequest {
	s := splitter{
		whole: HandOverMessage(h),
	}
	s.begin()
	for _, r := range s.whole.GetRights() {
		s.add(r)
	}
	for i, part := range s.parts {
		part.Offer = offer
		part.Part = uint32(i + 1)
		part.Parts = uint32(len(s.parts))
	}
	return s.parts
}

// splitter fills one part after the other.
type splitter struct {
	whole *peerpb.HandOverRequest
	parts []*peerpb.HandOverRequest
	bytes int
}

func (s *splitter) begin() {
	s.parts = append(s.parts, &peerpb.HandOverRequest{
		From: s.whole.GetFrom(),
		To:   s.whole.GetTo(),
	})
	s.bytes = 0
}

// add puts the rights of one incarnation into as many parts as it takes.
func (s *splitter) add(r *peerpb.Rights) {
	into := s.open(r)
	for _, record := range r.GetRecords() {
		if s.bytes >= partBytes {
			s.begin()
			into = s.open(r)
		}
		into.Records = append(into.Records, record)
		s.bytes += proto.Size(record)
	}
}

// open begins the rights of one incarnation in the present part.
func (s *splitter) open(r *peerpb.Rights) *peerpb.Rights {
	part := s.parts[len(s.parts)-1]
	opened := &peerpb.Rights{
		Of:             r.GetOf(),
		Key:            r.GetKey(),
		UntilUnixNano:  r.GetUntilUnixNano(),
		ClosedUnixNano: r.GetClosedUnixNano(),
		SweptUnixNano:  r.GetSweptUnixNano(),
	}
	part.Rights = append(part.Rights, opened)
	return opened
}

// Parts keeps the parts of hand-overs until they are whole, one hand-over for
// each sending VM. Its methods may be called from any goroutine.
type Parts struct {
	maxBytes int

	mu      sync.Mutex
	pending map[string]*pendingParts
}

type pendingParts struct {
	whole *peerpb.HandOverRequest
	bytes int
	until time.Time
}

// NewParts makes an empty keeper; maxBytes bounds one hand-over.
func NewParts(maxBytes int) *Parts {
	return &Parts{
		maxBytes: maxBytes,
		pending:  make(map[string]*pendingParts),
	}
}

// Add takes one part. whole is set with the last one; ok is false for a part
// that is out of order or too much, which ends its hand-over.
func (p *Parts) Add(in *peerpb.HandOverRequest, now time.Time) (whole *peerpb.HandOverRequest, ok bool) {
	if in.GetParts() <= 1 {
		return in, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	from := in.GetFrom().GetVm()
	kept := p.join(in)
	if kept == nil {
		delete(p.pending, from)
		return nil, false
	}
	if in.GetPart() == in.GetParts() {
		delete(p.pending, from)
		return kept.whole, true
	}
	kept.until = now.Add(keepPartsFor)
	p.pending[from] = kept
	return nil, true
}

func (p *Parts) expire(now time.Time) {
	for from, kept := range p.pending {
		if now.After(kept.until) {
			delete(p.pending, from)
		}
	}
}

// join adds a part to those before it, or gives nil.
func (p *Parts) join(in *peerpb.HandOverRequest) *pendingParts {
	kept := p.pending[in.GetFrom().GetVm()]
	switch {
	case in.GetPart() == 1:
		kept = &pendingParts{
			whole: in,
		}
	case kept == nil || !kept.goesOn(in):
		return nil
	default:
		kept.whole.Part = in.GetPart()
		kept.whole.Rights = joinRights(kept.whole.GetRights(), in.GetRights())
	}
	kept.bytes += proto.Size(in)
	if kept.bytes > p.maxBytes {
		return nil
	}
	return kept
}

// goesOn says that the part is the next one of the same offer.
func (k *pendingParts) goesOn(in *peerpb.HandOverRequest) bool {
	return proto.Equal(in.GetFrom(), k.whole.GetFrom()) &&
		proto.Equal(in.GetTo(), k.whole.GetTo()) &&
		in.GetOffer() == k.whole.GetOffer() &&
		in.GetParts() == k.whole.GetParts() &&
		in.GetPart() == k.whole.GetPart()+1
}

// joinRights adds the records of an incarnation that is known already to its others.
func joinRights(into, more []*peerpb.Rights) []*peerpb.Rights {
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
