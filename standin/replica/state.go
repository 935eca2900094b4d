package replica

import (
	"net/http"
	"strconv"
	"time"
)

// SetCold makes health probes report the replica as cold until a time.
func (r *Replica) SetCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = until
}

// SetLimit makes responses announce a limit in requests per second; an empty
// string removes it.
func (r *Replica) SetLimit(perSecond string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = perSecond
}

// SetLeaving makes all responses say from now on that the replica leaves.
func (r *Replica) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// SetRefusing makes the replica refuse all requests and name a rest; zero ends it.
func (r *Replica) SetRefusing(restFor time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restFor = restFor
}

// setNoticeHeaders adds to a response what the replica says about itself.
func (r *Replica) setNoticeHeaders(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit != "" {
		w.Header().Set(headerLimit, r.limit)
	}
	if r.leaving {
		w.Header().Set(headerLeaving, "1")
	}
}

// ColdFor returns the time until the replica is warm.
func (r *Replica) ColdFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Until(r.coldUntil), 0)
}

func (r *Replica) serveHealth(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(headerSelf, r.ID)
	if r.restFor > 0 {
		refuse(w, r.restFor)
		return
	}
	if r.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if left := time.Until(r.coldUntil); left > 0 {
		w.Header().Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
	}
}
