package placement

import (
	"sync"
	"time"
)

const (
	// sentKept is how many calls that were sent to one region are remembered: the
	// word of a region about its load is a second or two old, in which a VM under
	// load sends some ten.
	sentKept = 64
	// alikeSent is how far other VMs of the own region are taken to have sent as
	// much as this one has.
	alikeSent = 0.8
)

// Sent remembers the prompts that this VM sent to other regions, so that what a
// region said of itself before they came is corrected by them: else all VMs
// send to the region that looked empty a second ago, until it says otherwise.
// It is safe for concurrent use.
type Sent struct {
	mu   sync.Mutex
	byTo map[sentTo]*sentRing
}

type sentTo struct {
	region  string
	service string
}

// sentRing holds the latest calls.
type sentRing struct {
	at     [sentKept]time.Time
	tokens [sentKept]float64
	next   int
}

// NewSent makes a Sent without calls.
func NewSent() *Sent {
	return &Sent{
		byTo: make(map[sentTo]*sentRing),
	}
}

// Add notes that a prompt with so many tokens to read is sent now.
func (s *Sent) Add(region, service string, tokens float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := sentTo{
		region:  region,
		service: service,
	}
	ring := s.byTo[to]
	if ring == nil {
		ring = &sentRing{}
		s.byTo[to] = ring
	}
	ring.at[ring.next] = now
	ring.tokens[ring.next] = tokens
	ring.next = (ring.next + 1) % sentKept
}

// Since returns the tokens that the VMs of the own region, so many, are taken to
// have sent after a moment.
func (s *Sent) Since(region, service string, moment time.Time, vms int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	ring := s.byTo[sentTo{
		region:  region,
		service: service,
	}]
	if ring == nil {
		return 0
	}
	tokens := 0.0
	for i, at := range ring.at {
		if at.After(moment) {
			tokens += ring.tokens[i]
		}
	}
	return tokens * (1 + alikeSent*float64(max(vms-1, 0)))
}

// Queued is how many tokens each endpoint of a region has yet to read of those that
// were sent there since the region's word, by what they read in the time that has
// passed. Where all that was sent counted, 90 VMs sent calls elsewhere that the
// nearest region would have served: one heavy day's worth was 0.685 in place of 0.736.
func Queued(sent float64, endpoints int, readsPerSecond float64, passed time.Duration) float64 {
	return max(sent/float64(max(endpoints, 1))-readsPerSecond*passed.Seconds(), 0)
}
