package load

import (
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// Mix is the distribution of calls that a user's callers make.
type Mix struct {
	Name  string
	Kinds []Kind
}

// Kind describes one kind of call in a mix.
type Kind struct {
	Name string
	// Weight is the frequency of this kind, relative to the other kinds.
	Weight   float64
	Priority call.Priority
	// Service selects a call to the plain service; otherwise the call is a
	// chat completion.
	Service bool
	Method  string
	// Path is the prefix of a service call's path; the call's number is appended.
	Path string
	// Ticket requests a ticket before the call, which is not idempotent.
	Ticket bool
	// Prefixes is the number of shared prompt prefixes, of SharedTokens each.
	// OwnTokens follow that no other call has.
	Prefixes     int
	SharedTokens int
	OwnTokens    int
	// MaxTokens is the mean token limit; each call's is drawn uniformly from
	// 50% to 150% of it.
	MaxTokens int
	// FirstWithin is the latency limit for the first token, Within that for the
	// complete answer. Zero FirstWithin means no separate limit.
	FirstWithin time.Duration
	Within      time.Duration
}

func (k *Kind) firstWithin() time.Duration {
	if k.FirstWithin > 0 {
		return k.FirstWithin
	}
	return k.Within
}

var mixes = []Mix{tesfaye(), planhigion()}

// FindMix returns the mix with the given name.
func FindMix(name string) (Mix, bool) {
	for _, m := range mixes {
		if m.Name == name {
			return m, true
		}
	}
	return Mix{}, false
}

// MixNames returns the names of all mixes.
func MixNames() []string {
	var names []string
	for _, m := range mixes {
		names = append(names, m.Name)
	}
	return names
}

// tesfaye is the mix of Tesfaye Fairway Bookings.
func tesfaye() Mix {
	return Mix{
		Name: "tesfaye",
		Kinds: []Kind{
			booking("confirm", "/confirm", 0.10),
			booking("release", "/release", 0.05),
			lookup("slots", "/slots", 0.30),
			{
				Name:         "chat",
				Weight:       0.45,
				Priority:     call.PriorityChat,
				Prefixes:     24,
				SharedTokens: 256,
				OwnTokens:    32,
				MaxTokens:    24,
				FirstWithin:  2 * time.Second,
				Within:       20 * time.Second,
			},
			{
				Name:         "tournament_reply",
				Weight:       0.10,
				Priority:     call.PriorityReport,
				Prefixes:     6,
				SharedTokens: 512,
				OwnTokens:    128,
				MaxTokens:    96,
				Within:       60 * time.Second,
			},
		},
	}
}

// planhigion is the mix of Planhigion Balconi.
func planhigion() Mix {
	return Mix{
		Name: "planhigion",
		Kinds: []Kind{
			booking("acknowledge", "/acknowledge", 0.10),
			lookup("readings", "/readings", 0.35),
			triageFlag(0.10),
			{
				Name:         "quick_answer",
				Weight:       0.30,
				Priority:     call.PriorityChat,
				Prefixes:     24,
				SharedTokens: 256,
				OwnTokens:    32,
				MaxTokens:    24,
				FirstWithin:  3 * time.Second,
				Within:       30 * time.Second,
			},
			ReportKind(0.15),
		},
	}
}

func booking(name, path string, weight float64) Kind {
	return Kind{
		Name:     name,
		Weight:   weight,
		Priority: call.PriorityUrgent,
		Service:  true,
		Method:   http.MethodPost,
		Path:     path,
		Ticket:   true,
		Within:   2 * time.Second,
	}
}

func lookup(name, path string, weight float64) Kind {
	return Kind{
		Name:     name,
		Weight:   weight,
		Priority: call.PriorityChat,
		Service:  true,
		Method:   http.MethodGet,
		Path:     path,
		Within:   2 * time.Second,
	}
}

// triageFlag returns the kind of a short, urgent chat completion.
func triageFlag(weight float64) Kind {
	return Kind{
		Name:         "triage_flag",
		Weight:       weight,
		Priority:     call.PriorityUrgent,
		Prefixes:     2,
		SharedTokens: 128,
		OwnTokens:    32,
		MaxTokens:    8,
		FirstWithin:  time.Second,
		Within:       5 * time.Second,
	}
}

// ReportKind returns the kind of a long chat completion that tolerates delay.
func ReportKind(weight float64) Kind {
	return Kind{
		Name:         "report",
		Weight:       weight,
		Priority:     call.PriorityReport,
		Prefixes:     8,
		SharedTokens: 512,
		OwnTokens:    256,
		MaxTokens:    160,
		Within:       60 * time.Second,
	}
}

// TriageFlagKind returns the kind of a short, urgent chat completion.
func TriageFlagKind(weight float64) Kind {
	return triageFlag(weight)
}

// LookupKind returns the kind of an idempotent service call.
func LookupKind(path string, weight float64) Kind {
	return lookup("lookup", path, weight)
}

// BookingKind returns the kind of a non-idempotent service call with a ticket.
func BookingKind(path string, weight float64) Kind {
	return booking("booking", path, weight)
}
