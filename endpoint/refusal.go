package endpoint

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// RefusalProof is what ties a response that says that the request did not run to an attempt.
type RefusalProof string

// Proofs, strongest first.
const (
	// RefusalProofID is the attempt's id in the response.
	RefusalProofID RefusalProof = "id"
	// RefusalProofConnection means that the connection carried no request before, so that the
	// response cannot be a late copy of another one.
	RefusalProofConnection RefusalProof = "new_connection"
	// RefusalProofNone means that the response may belong to an earlier request of the
	// connection.
	RefusalProofNone RefusalProof = "none"
)

// refusalProof returns what ties a refusal to the attempt.
func (x *exchange) refusalProof(head ResponseHead) RefusalProof {
	switch {
	case head.ID != "":
		return RefusalProofID
	case x.conn.isFirstExchange():
		return RefusalProofConnection
	default:
		return RefusalProofNone
	}
}

// handleRefusal ends an attempt with a response that says that the request did not run. Its
// connection is not reused, as an endpoint may send the response once more and all attempts of
// a call have the same id.
func (x *exchange) handleRefusal(resp *http.Response, head ResponseHead) *result.Refusal {
	proof := x.refusalProof(head)
	x.outcome.RefusalProof = proof
	x.conn.discard()
	if proof != RefusalProofID {
		x.client.anonymous.add(x.attempt.Endpoint.Addr, x.client.now())
	}
	if proof == RefusalProofNone {
		return result.Refuse(result.RefusalUnproven, "the refusal with status %d may be of another attempt", resp.StatusCode)
	}
	x.outcome.RetryAt = head.RetryAt
	x.outcome.InstanceMismatch = head.InstanceMismatch
	return result.Refuse(result.EndpointRefused, "the endpoint refused with status %d", resp.StatusCode)
}

// anonymousRefusalMemory is how long non-idempotent calls use new connections to an endpoint
// after it refused without an id. At some calls a second these connections cost about as much as
// one call that ends as unknown.
const anonymousRefusalMemory = 10 * time.Second

// anonymousRefusals holds when endpoints last refused without an id, by address. It is safe for
// concurrent use.
type anonymousRefusals struct {
	mu    sync.Mutex
	until map[string]time.Time
	// sweepAt is when expired entries are next removed.
	sweepAt time.Time
}

func newAnonymousRefusals() *anonymousRefusals {
	return &anonymousRefusals{
		until: make(map[string]time.Time),
	}
}

func (r *anonymousRefusals) add(addr string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.sweepAt) {
		maps.DeleteFunc(r.until, func(_ string, until time.Time) bool { return !now.Before(until) })
		r.sweepAt = now.Add(anonymousRefusalMemory)
	}
	r.until[addr] = now.Add(anonymousRefusalMemory)
}

// recent reports whether the endpoint refused without an id within anonymousRefusalMemory.
func (r *anonymousRefusals) recent(addr string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until[addr])
}
