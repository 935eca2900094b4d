package call

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/apikey"
)

// PromptPart is one part of a prompt. Prompts that begin with the same parts
// share what an engine keeps of them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Routed is what a call carries whose terms follow from a published route
// and not from a workspace's contract.
type Routed struct {
	// Host is the host that the caller named.
	Host string
	// Route is the route's name, and Version that of the table it is from.
	Route   string
	Version uint64
	// Key is the digest of the caller's key; zero means that none was needed.
	Key apikey.Digest
	// Cost is what the call counts against the limit of its workspace, in the limit's unit.
	Cost float64
	// Rank orders calls at an engine, 0 first.
	Rank int
	// MaxAttempts bounds the endpoints that may run the call.
	MaxAttempts int
	// Resumable says that a broken stream may go on at another endpoint.
	Resumable bool
	// Homes are the regions that may serve the call; none means all.
	Homes []string
	// Parts are the parts of the prompt in order; the last is the call's own.
	Parts []PromptPart
	// ArrivedAt is when the call came to this VM.
	ArrivedAt time.Time
	// CallerBy is when the caller stops waiting; WholeBy may be earlier.
	CallerBy time.Time
	// ResumeAfter is the id of the last event that the caller has of a stream.
	ResumeAfter string
	// AnswerTokens is the caller's estimate of the tokens that will be generated, right
	// in the middle and often far off; zero means that there is none.
	AnswerTokens int
	// EventTokens is how many generated tokens one event of the stream holds.
	EventTokens int
	// Gap is the longest pause between events of a stream that is still on time;
	// zero means that any is.
	Gap time.Duration
	// Late is set when no first token is expected by the objective: the call yields
	// to all that can still be on time.
	Late bool
	// Repeated is set when an attempt of the call was made on another VM.
	Repeated bool
}

// Turns is how many places in the order there are at an endpoint.
const Turns = 10

// lateTurns is how many of them are for calls that can be on time.
const lateTurns = Turns / 2

// Turn is the call's place in the order at an endpoint, 0 first: by rank, and
// after all others if it is late.
func (r *Routed) Turn() int {
	turn := min(max(r.Rank, 0), lateTurns-1)
	if r.Late {
		turn += lateTurns
	}
	return turn
}

// Yields reports whether a place in the order is of calls that make way for those
// that can be on time.
func Yields(turn int) bool {
	return turn >= lateTurns
}

// Allows reports whether the call may be served in a region.
func (r *Routed) Allows(region string) bool {
	if len(r.Homes) == 0 {
		return true
	}
	for _, home := range r.Homes {
		if home == region {
			return true
		}
	}
	return false
}

// SharedPrefix hashes all parts but the call's own, for cache affinity; zero
// means that the prompt shares nothing. Engines keep the prompts of one workspace
// from those of others, so its name counts; it is empty where calls have none.
func SharedPrefix(workspace string, parts []PromptPart) uint64 {
	if len(parts) < 2 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	// A Digest never fails to write.
	_, _ = d.WriteString(workspace)
	for _, p := range parts[:len(parts)-1] {
		var id [8]byte
		for i := range id {
			id[i] = byte(p.ID >> (8 * i))
		}
		_, _ = d.Write(id[:])
	}
	return d.Sum64()
}

// Answer is a whole answer that is held back until it is decided whether
// another attempt follows.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}
