package ticket

import "slices"

// Outcome is what the sender of a hand-over knows of one offer.
type Outcome int

// The outcomes of an offer.
const (
	// OfferAccepted: the receiver answered that it adopted.
	OfferAccepted Outcome = iota + 1
	// OfferRefused: the receiver answered that it did not.
	OfferRefused
	// OfferNotSent: certainly nothing reached the receiver, as when no
	// connection came about.
	OfferNotSent
	// OfferLost: anything else; the receiver may have adopted, or may yet.
	OfferLost
)

// Offer is one hand-over to make.
type Offer struct {
	To Holder
	// Rights says that the keys go along; else it is HandOver.Copy.
	Rights bool
}

// HandOverPlan decides to whom a stopping incarnation offers its rights. It is
// a plain value; its zero value is the plan before the first offer. Rights go
// to one incarnation only: once an offer may have arrived, no other gets them.
type HandOverPlan struct {
	// Bound is the only incarnation that may still be offered the rights; zero
	// while none may have them.
	Bound Holder
	// Accepted says that Bound has the rights.
	Accepted bool
	// Declined are incarnations that certainly do not have the rights.
	Declined []Holder
	// Copied are incarnations that were sent copies.
	Copied []Holder
}

// Next returns the next offer among the candidates, best first; ok is false
// when there is none. A lost offer is made again to the same incarnation for
// as long as it is a candidate; the others get copies then.
func (p HandOverPlan) Next(candidates []Holder) (offer Offer, ok bool) {
	if p.Accepted {
		return Offer{}, false
	}
	if p.Bound != (Holder{}) {
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

func (p HandOverPlan) nextBound(candidates []Holder) (Offer, bool) {
	if slices.Contains(candidates, p.Bound) {
		return Offer{
			To:     p.Bound,
			Rights: true,
		}, true
	}
	return p.nextCopy(candidates)
}

func (p HandOverPlan) nextCopy(candidates []Holder) (Offer, bool) {
	for _, c := range candidates {
		if c != p.Bound && !slices.Contains(p.Copied, c) {
			return Offer{
				To: c,
			}, true
		}
	}
	return Offer{}, false
}

// After returns the plan once the offer's outcome is known. A refusal that
// follows a lost offer does not free the rights: the lost one may yet arrive.
func (p HandOverPlan) After(o Offer, outcome Outcome) HandOverPlan {
	if !o.Rights {
		p.Copied = append(slices.Clone(p.Copied), o.To)
		return p
	}
	switch outcome {
	case OfferAccepted:
		p.Bound = o.To
		p.Accepted = true
	case OfferLost:
		p.Bound = o.To
	case OfferRefused, OfferNotSent:
		if p.Bound == (Holder{}) {
			p.Declined = append(slices.Clone(p.Declined), o.To)
		}
	}
	return p
}
