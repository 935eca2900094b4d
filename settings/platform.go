package settings

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Platform is what an operator may set for a process whose place and bounds
// the platform's own settings file gives.
type Platform struct {
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`
	// LogSampleEvery is of how many requests that go well one is logged; zero means none.
	LogSampleEvery int `json:"log_sample_every"`
	// LogLines is the length of the ring between the requests and the log.
	LogLines int `json:"log_lines"`
	// MetricsPort is where /metrics is served, at the VM's address; zero means nowhere.
	MetricsPort int `json:"metrics_port"`
	// Without names mechanisms that are switched off, to measure what each is
	// worth; for experiments only.
	Without []string `json:"without"`
}

// The mechanisms that Without may name.
const (
	Borrowing   = "borrowing"
	SentAway    = "sent_away"
	Affinity    = "affinity"
	Fetches     = "fetches"
	FarFetches  = "far_fetches"
	Reports     = "reports"
	UnreadNotes = "unread_notes"
	Yielding    = "yielding"
	LateRefusal = "late_refusal"
	EndRefusal  = "end_refusal"
	RankOrder   = "rank_order"
	LivePace    = "live_pace"
	BackOff     = "back_off"
	Corrections = "corrections"
)

// Mechanisms are all of them.
var Mechanisms = []string{
	Borrowing, SentAway, Affinity, Fetches, FarFetches, Reports, UnreadNotes,
	Yielding, LateRefusal, EndRefusal, RankOrder, LivePace, BackOff, Corrections,
}

// Has reports whether a mechanism is on.
func (s *Platform) Has(mechanism string) bool {
	return !slices.Contains(s.Without, mechanism)
}

// Bounds of these settings.
const (
	maxLogLines = 1 << 20
	maxPort     = 65_535
)

// DefaultPlatform returns the settings with every default.
func DefaultPlatform() Platform {
	return Platform{
		LogLevel:       "info",
		LogSampleEvery: 100,
		LogLines:       4096,
	}
}

// LoadPlatform reads and checks a file; an empty path gives the defaults. The
// codes are 5001 to 5004.
func LoadPlatform(path string) (*Platform, *result.Refusal) {
	if path == "" {
		s := DefaultPlatform()
		return &s, nil
	}
	data, refusal := read(path)
	if refusal != nil {
		return nil, refusal
	}
	return ParsePlatform(path, data)
}

// ParsePlatform checks settings that are in memory; the name is used in messages.
func ParsePlatform(name string, data []byte) (*Platform, *result.Refusal) {
	s := DefaultPlatform()
	if refusal := decode(name, data, &s, (*verifier).platform); refusal != nil {
		return nil, refusal
	}
	return &s, nil
}
