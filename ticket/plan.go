package ticket

import "slices"

// OfferOutcome is the result of an offer as seen by its sender.
type OfferOutcome int

// The outcomes of an offer.
const (
	// OfferAccepted: the receiver confirmed the adoption.
	OfferAccepted OfferOutcome = iota + 1
	// OfferRefused: the receiver refused.
	OfferRefused
	// OfferNotSent: the receiver certainly got nothing, for example because the connection
	// failed.
	OfferNotSent
	// OfferLost: the result is unknown; the receiver may have adopted, or may yet.
	OfferLost
)

// Offer is the next hand-over to send.
type Offer struct {
	To IncarnationID
	// Rights selects the full hand-over; otherwise HandOver.WithoutKeys is sent.
	Rights bool
}

// HandOverPlan chooses the successor of a stopping incarnation. It is an immutable
// value whose zero value is the initial plan. Only one incarnation gets the rights:
// once an offer may have arrived, they are offered to no other.
type HandOverPlan struct {
	// Successor is the only incarnation that may still be offered the rights; zero while any
	// may be.
	Successor IncarnationID
	// Accepted is set once Successor has the rights.
	Accepted bool
	// Declined are incarnations that certainly did not take the rights.
	Declined []IncarnationID
	// Copied are incarnations that were sent copies.
	Copied []IncarnationID
}

// Next returns the next offer to the candidates, which are ordered best first; ok is
// false if there is none. A lost offer is repeated to the same incarnation while it is
// a candidate; after that the others get copies.
func (p HandOverPlan) Next(candidates []IncarnationID) (offer Offer, ok bool) {
	if p.Accepted {
		return Offer{}, false
	}
	if p.Successor != (IncarnationID{}) {
		return p.nextBound(candidates)
	}
	for _, c := range candidates {
		if !slices.Contains(p.Declined, c) {
			return Offer{
				To:     c,
				Rights: true,
			}, true
		}
	}
	return p.nextCopy(candidates)
}

func (p HandOverPlan) nextBound(candidates []IncarnationID) (Offer, bool) {
	if slices.Contains(candidates, p.Successor) {
		return Offer{
			To:     p.Successor,
			Rights: true,
		}, true
	}
	return p.nextCopy(candidates)
}

func (p HandOverPlan) nextCopy(candidates []IncarnationID) (Offer, bool) {
	for _, c := range candidates {
		if c != p.Successor && !slices.Contains(p.Copied, c) {
			return Offer{
				To: c,
			}, true
		}
	}
	return Offer{}, false
}

// After returns the plan after an offer. A refusal that follows a lost offer does not
// allow another successor, as the lost offer may still arrive.
func (p HandOverPlan) After(o Offer, outcome OfferOutcome) HandOverPlan {
	if !o.Rights {
		p.Copied = append(slices.Clone(p.Copied), o.To)
		return p
	}
	switch outcome {
	case OfferAccepted:
		p.Successor = o.To
		p.Accepted = true
	case OfferLost:
		p.Successor = o.To
	case OfferRefused, OfferNotSent:
		if p.Successor == (IncarnationID{}) {
			p.Declined = append(slices.Clone(p.Declined), o.To)
		}
	}
	return p
}
