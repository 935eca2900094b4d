package discovery

import "time"

// lifeKept is how long the newest word of a removed endpoint is kept: an entry that
// it wrote before its end may reach the store some seconds after the removal.
const lifeKept = 30 * time.Second

// life orders the entries of one endpoint, which may start again under its id.
type life struct {
	incarnation int64
	seq         uint64
	// forgetAt is set once the endpoint is gone.
	forgetAt time.Time
}

// allows reports whether an entry is not older than the newest one known: neither of
// an earlier life nor, within one that says when it began, of an earlier count.
func (l life) allows(e Endpoint) bool {
	if e.Incarnation != l.incarnation {
		return e.Incarnation > l.incarnation
	}
	return e.Incarnation == 0 || e.Seq >= l.seq
}
