package replica

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// SetCold lets its health check tell that it is cold.
func (r *Replica) SetCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = until
}

// SetLimit lets its answers name a limit in requests a second; an empty one names none.
func (r *Replica) SetLimit(perSecond string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = perSecond
}

// nameLimit puts the limit into an answer.
func (r *Replica) nameLimit(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit != "" {
		w.Header().Set(headerLimit, r.limit)
	}
}

// ColdFor is how long it is cold yet.
func (r *Replica) ColdFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Until(r.coldUntil), 0)
}

func (r *Replica) health(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(headerSelf, r.ID)
	if left := time.Until(r.coldUntil); left > 0 {
		w.Header().Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// report tells its load.
func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"Stage":"hybrid","Queued":0,"Active":%d,"KvUsed":%d,"KvTotal":300000,"born":%d}`, r.active, 1000*r.active, r.Born)
}
