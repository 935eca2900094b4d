package call

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/callerwait"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// PromptPart is one segment of a prompt. Prompts with the same leading segments share
// an engine's prefix cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Routed holds the fields of a call whose terms follow from a published route
// rather than from a workspace's contract.
type Routed struct {
	// Host is the host in the caller's request.
	Host string
	// Route is the route's name, Version the version of its route table.
	Route   string
	Version uint64
	// Key is the digest of the caller's API key, also if the route requires none; zero if there is
	// none.
	Key apikey.Digest
	// Cost is charged against the workspace's limit, in the limit's unit.
	Cost float64
	// Rank orders calls in an endpoint's queue, 0 first.
	Rank int
	// MaxAttempts limits the endpoints that may run the call.
	MaxAttempts int
	// Resumable allows a broken stream to continue at another endpoint.
	Resumable bool
	// Homes are the regions that may serve the call; empty means all.
	Homes []string
	// PromptParts are the segments of the prompt in order. The last one is not shared with
	// other calls.
	PromptParts []PromptPart
	// ArrivedAt is when the call arrived at the VM that took it from its caller, ObjectiveFrom is
	// from when its objective counts; zero if they are not known.
	ArrivedAt     time.Time
	ObjectiveFrom time.Time
	// CallerDeadline is when the caller stops waiting; Deadline may be earlier.
	CallerDeadline time.Time
	// CallerWait is how long the caller has waited before this attempt. FirstTokenDeadline is
	// counted from the first attempt.
	CallerWait callerwait.Wait
	// ResumeAfter is the id of the last stream event that the caller received.
	ResumeAfter string
	// Resumes is the id of the caller's request that brought the first event of the stream
	// to resume; empty if the caller resumes none or does not say.
	Resumes string
	// Pin restricts the endpoints to the software version that began the stream to resume.
	Pin fleet.VersionPin
	// AnswerTokens is the caller's estimate of the generated tokens. It is
	// accurate in the median but often far off; zero means that there is none.
	AnswerTokens int
	// TokensPerEvent is the number of generated tokens in one stream event.
	TokensPerEvent int
	// MaxEventGap is the maximum time between events of a stream that meets its objective; zero
	// means no maximum.
	MaxEventGap time.Duration
	// MissesObjective is set when the first token is expected to miss its objective. Such a call
	// yields to calls that can still meet theirs.
	MissesObjective bool
	// FairShare says whether the call is within the fair share of its workspace, and Demand is
	// what it counts in the division, in tokens for models and in requests else.
	FairShare FairShare
	Demand    float64
	// RunGrant identifies the call on the VM that sent it here; zero if it did not. RequestRun
	// asks that VM for a run beyond the first; nil means that none need be asked for.
	RunGrant   uint64
	RequestRun func(ctx context.Context) bool
	// RequestOnce asks that VM to send the call to no other VM once it may have run; nil if no VM
	// sent it here.
	RequestOnce func(ctx context.Context) bool
	// Retry is set when another VM already attempted the call.
	Retry bool
	// RetryGranted is set if the VM that sent the call here has taken its first attempt from its
	// own retry budget.
	RetryGranted bool
	// CutOff is set when the stop of another VM has cut the call off and every VM that was
	// tried since then was stopping or gone.
	CutOff bool
}

// FairShare says whether a call is within the fair share of its workspace.
type FairShare string

// Values of FairShare. NoShare is that of calls of services that are not short of capacity, and
// of callers without a workspace.
const (
	NoShare     FairShare = ""
	WithinShare FairShare = "within"
	AboveShare  FairShare = "above"
)

// QueueLevels is the number of levels in an endpoint's queue.
const QueueLevels = 10

// lateLevels is the number of levels for late calls, and the first of them.
const lateLevels = QueueLevels / 2

// QueueLevel returns the call's level in an endpoint's queue, 0 first: ordered by rank, with
// late calls after all others.
func (r *Routed) QueueLevel() int {
	level := min(max(r.Rank, 0), lateLevels-1)
	if r.MissesObjective {
		level += lateLevels
	}
	return level
}

// IsLateLevel reports whether a queue level is for late calls.
func IsLateLevel(level int) bool {
	return level >= lateLevels
}

// SharedParts returns the parts of the prompt that other calls may share: all but the last.
func (r *Routed) SharedParts() []PromptPart {
	if len(r.PromptParts) == 0 {
		return nil
	}
	return r.PromptParts[:len(r.PromptParts)-1]
}

// Allows reports whether a region may serve the call.
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

// SharedPrefix hashes the workspace and all parts but the last, for cache affinity; zero
// means that there is no shared prefix. The workspace, which may be empty, is included
// because engines do not share caches between workspaces.
func SharedPrefix(workspace string, parts []PromptPart) uint64 {
	if len(parts) < 2 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	// Writing to a Digest never fails.
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

// BufferedResponse is a complete response that is buffered until it is known whether another
// attempt follows.
type BufferedResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Free gives back the memory that counts for the response; nil if there is none.
	Free func()
}

// Release gives the memory of a response back. A nil response holds none.
func (r *BufferedResponse) Release() {
	if r != nil && r.Free != nil {
		r.Free()
	}
}
