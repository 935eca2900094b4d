package placement

import (
	"sync"
	"time"
)

const (
	// sentHistorySize is the number of calls remembered per destination. It covers what
	// a busy VM sends between two load reports of a region.
	sentHistorySize = 64
	// peerSendRatio estimates the tokens that each other VM of the region sent,
	// relative to this VM.
	peerSendRatio = 0.8
)

// SentTokens records the prompts that this VM recently sent to other regions. Adding them to
// a region's load report, which predates them, keeps all VMs from sending to the same
// idle region until its next report. It is safe for concurrent use.
type SentTokens struct {
	mu            sync.Mutex
	byDestination map[destination]*sentHistory
}

type destination struct {
	region  string
	service string
}

// sentHistory is a ring buffer of the latest calls.
type sentHistory struct {
	sentAt [sentHistorySize]time.Time
	tokens [sentHistorySize]float64
	next   int
}

// NewSentTokens creates an empty SentTokens.
func NewSentTokens() *SentTokens {
	return &SentTokens{
		byDestination: make(map[destination]*sentHistory),
	}
}

// Add records that a prompt with this many uncached tokens is being sent.
func (s *SentTokens) Add(region, service string, tokens float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dest := destination{
		region:  region,
		service: service,
	}
	history := s.byDestination[dest]
	if history == nil {
		history = &sentHistory{}
		s.byDestination[dest] = history
	}
	history.sentAt[history.next] = now
	history.tokens[history.next] = tokens
	history.next = (history.next + 1) % sentHistorySize
}

// Since estimates how many tokens all VMs of the local region have sent to a
// destination after a time.
func (s *SentTokens) Since(region, service string, after time.Time, regionVMs int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.byDestination[destination{
		region:  region,
		service: service,
	}]
	if history == nil {
		return 0
	}
	tokens := 0.0
	for i, sentAt := range history.sentAt {
		if sentAt.After(after) {
			tokens += history.tokens[i]
		}
	}
	return tokens * (1 + peerSendRatio*float64(max(regionVMs-1, 0)))
}

// BacklogPerEndpoint estimates how many of the sent tokens each endpoint of a region still has to
// prefill. It subtracts what the endpoints prefilled in the elapsed time, since
// otherwise calls leave the nearest region too early.
func BacklogPerEndpoint(sentTokens float64, endpoints int, prefillPerSecond float64, elapsed time.Duration) float64 {
	return max(sentTokens/float64(max(endpoints, 1))-prefillPerSecond*elapsed.Seconds(), 0)
}
