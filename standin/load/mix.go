package load

import (
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// Mix is what a user's callers ask for.
type Mix struct {
	Name  string
	Kinds []Kind
}

// Kind is one kind of call.
type Kind struct {
	Name string
	// Weight is this kind's part of all calls, relative to the others'.
	Weight   float64
	Priority call.Priority
	// Service is set for a call to the deployment's plain service; the rest
	// are chats with its model.
	Service bool
	Method  string
	// Path of a service call; the call's number is appended.
	Path string
	// Ticket asks for a ticket before the call.
	Ticket bool
	// Prefixes is the number of shared prompt prefixes, each of SharedTokens.
	Prefixes     int
	SharedTokens int
	OwnTokens    int
	// MaxTokens is the mean of the generated tokens, drawn from half to one and a half.
	MaxTokens int
	// FirstWithin bounds a good call's first token, Within its whole answer,
	// both from the scheduled arrival. Zero FirstWithin means no bound.
	FirstWithin time.Duration
	Within      time.Duration
}

func (k *Kind) firstWithin() time.Duration {
	if k.FirstWithin > 0 {
		return k.FirstWithin
	}
	return k.Within
}

// The mixes by name.
var mixes = []Mix{tesfaye(), planhigion()}

// FindMix returns the mix of a user.
func FindMix(name string) (Mix, bool) {
	for _, m := range mixes {
		if m.Name == name {
			return m, true
		}
	}
	return Mix{}, false
}

// MixNames lists the mixes.
func MixNames() []string {
	var names []string
	for _, m := range mixes {
		names = append(names, m.Name)
	}
	return names
}

// tesfaye is the mix of Tesfaye Fairway Bookings. Its sizes are assumptions.
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

// planhigion is the mix of Planhigion Balconi. Its sizes are assumptions.
func planhigion() Mix {
	return Mix{
		Name: "planhigion",
		Kinds: []Kind{
			booking("acknowledge", "/acknowledge", 0.10),
			lookup("readings", "/readings", 0.35),
			flag(0.10),
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
			Report(0.15),
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

// flag is a triage flag: a short urgent chat.
func flag(weight float64) Kind {
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

// Report is a long seasonal care report, which tolerates delay.
func Report(weight float64) Kind {
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

// Flag is a triage flag alone, for measurements of one priority.
func Flag(weight float64) Kind {
	return flag(weight)
}

// Lookup is a plain read of a service, for measurements of one kind.
func Lookup(path string, weight float64) Kind {
	return lookup("lookup", path, weight)
}

// Booking is a non-idempotent call with a ticket, for measurements of one kind.
func Booking(path string, weight float64) Kind {
	return booking("booking", path, weight)
}
