package discovery

import "time"

// versionRetention is how long the version of a removed endpoint is kept, since an older
// entry may reach the store some seconds after the removal.
const versionRetention = 30 * time.Second

// entryVersion orders the entries of an endpoint, which may restart under the same id.
type entryVersion struct {
	incarnation int64
	seq         uint64
	// expiresAt is set once the endpoint is removed.
	expiresAt time.Time
}

// accepts reports whether an entry is at least as new as the newest known one, by
// incarnation and then by sequence number. Entries without an incarnation are unordered.
func (v entryVersion) accepts(e Endpoint) bool {
	if e.Incarnation != v.incarnation {
		return e.Incarnation > v.incarnation
	}
	return e.Incarnation == 0 || e.Seq >= v.seq
}
