package settings

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Platform holds the settings of a process that gets its identity and limits from the
// platform's own settings file.
type Platform struct {
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`
	// LogSampleEvery logs one of this many successful requests; zero logs none.
	LogSampleEvery int `json:"log_sample_every"`
	// LogLines is the capacity of the ring buffer of log lines.
	LogLines int `json:"log_lines"`
	// MetricsPort is the port of /metrics on the VM's address; zero disables it.
	MetricsPort int `json:"metrics_port"`
	// Disabled lists mechanisms to disable, for ablation experiments only.
	Disabled []string `json:"without"`
}

// Mechanisms that Disabled can list.
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

	VMRefusal       = "vm_refusal"
	EntryWeights    = "entry_weights"
	DeadlineRefusal = "deadline_refusal"
	PaceGuard       = "pace_guard"
	EngineMemory    = "engine_memory"
	SlowStart       = "slow_start"
	FairShares      = "fair_shares"
	EnginePace      = "engine_pace"
	CallerWait      = "caller_wait"
)

// Mechanisms lists all mechanisms that Disabled can list.
var Mechanisms = []string{
	Borrowing, SentAway, Affinity, Fetches, FarFetches, Reports, UnreadNotes,
	Yielding, LateRefusal, EndRefusal, RankOrder, LivePace, BackOff, Corrections,
	VMRefusal, EntryWeights, EngineMemory, PaceGuard, DeadlineRefusal, SlowStart,
	FairShares, EnginePace, CallerWait,
}

// Enabled reports whether a mechanism is enabled.
func (s *Platform) Enabled(mechanism string) bool {
	return !slices.Contains(s.Disabled, mechanism)
}

// Maximum values of settings.
const (
	maxLogLines = 1 << 20
	maxPort     = 65_535
)

// DefaultPlatform returns the default settings.
func DefaultPlatform() Platform {
	return Platform{
		LogLevel:       "info",
		LogSampleEvery: 100,
		LogLines:       4096,
	}
}

// LoadPlatform reads and validates a file; an empty path gives the defaults. Refusals
// have codes 5001 to 5004.
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

// ParsePlatform decodes and validates settings; name is used in messages.
func ParsePlatform(name string, data []byte) (*Platform, *result.Refusal) {
	s := DefaultPlatform()
	if refusal := decode(name, data, &s, (*verifier).platform); refusal != nil {
		return nil, refusal
	}
	return &s, nil
}
