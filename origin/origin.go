// Package origin remembers the software version of the endpoint that began each stream, so
// that a stream that breaks off goes on at that version only.
//
// The VM that passes a stream's first event on to its caller keeps a record and sends copies
// to the VMs that Keepers names. Any VM that is asked to resume the stream looks in its own
// records and asks those VMs. Where nobody has a record, a service of which only one version
// was published for longer than a stream lives leaves no doubt either. Otherwise the version
// follows from Evidence: from what endpoints have read, and from the History of the store.
//
// The package imports no network and no clock. The methods of a Register are safe for
// concurrent use.
package origin

import (
	"sync"
	"time"
)

const (
	// maxRecords bounds the records that a Register keeps, at about 200 bytes each.
	maxRecords = 1 << 16
	// minSweep is the number of records below which expired ones are not looked for.
	minSweep = 256
	// sweepInterval is the least time between two searches for them.
	sweepInterval = time.Second
)

// Origin is the service, and the version of its software, that began a stream.
type Origin struct {
	// Request is the id of the caller's request that brought the first event.
	Request   string
	Service   string
	Version   string
	KeepUntil time.Time
}

// RecordQuestion asks for the origin of the stream that a request began.
type RecordQuestion struct {
	Request string
	// Service, Host and Target are those of the request that resumes it. The only version that
	// the service has had of late counts if the route has led to no other one.
	Service string
	Host    string
	Target  string
	// Since is when the stream began at the earliest; zero means unknown.
	Since time.Time
}

// Register holds the origins that one VM knows.
type Register struct {
	mu      sync.Mutex
	records map[string]Origin
	// sweepAt is the number of records at which expired ones are removed next, not before
	// sweepAfter.
	sweepAt    int
	sweepAfter time.Time
	dropped    int
	services   map[string]*census
	// hasGap is set once changes of versions may have gone unseen.
	hasGap bool
}

// NewRegister returns an empty Register.
func NewRegister() *Register {
	return &Register{
		records:  make(map[string]Origin),
		sweepAt:  minSweep,
		services: make(map[string]*census),
	}
}

// Add records the origin of a stream. The first one recorded for a stream stays.
func (r *Register) Add(o Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, known := r.records[o.Request]; known && now.Before(old.KeepUntil) {
		if o.KeepUntil.After(old.KeepUntil) {
			old.KeepUntil = o.KeepUntil
			r.records[o.Request] = old
		}
		return
	}
	r.sweep(now)
	if len(r.records) >= maxRecords {
		r.dropped++
		return
	}
	r.records[o.Request] = o
}

// sweep removes the expired records once there are twice as many as were left before.
func (r *Register) sweep(now time.Time) {
	if len(r.records) < r.sweepAt || now.Before(r.sweepAfter) {
		return
	}
	for request, o := range r.records {
		if !now.Before(o.KeepUntil) {
			delete(r.records, request)
		}
	}
	r.sweepAt = min(max(2*len(r.records), minSweep), maxRecords)
	r.sweepAfter = now.Add(sweepInterval)
}

// Find returns the origin of the stream that a request began; ok is false if it is not known.
func (r *Register) Find(request string, now time.Time) (o Origin, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok = r.records[request]
	if !ok || !now.Before(o.KeepUntil) {
		return Origin{}, false
	}
	return o, true
}

// Stats returns the number of records, and of those dropped for lack of room.
func (r *Register) Stats() (records, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records), r.dropped
}
