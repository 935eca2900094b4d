package routing

import (
	"slices"
	"time"
)

// prefillQueue tracks the prompts that an engine has not prefilled yet: those of this
// VM's calls in the order sent, and those that other VMs of the region report. A prompt
// is removed at its call's first token, so the queue does not depend on the estimated
// prefill rate. It allocates only to grow.
type prefillQueue struct {
	prompts []queuedPrompt
	lastID  uint64
	// headChangedAt is when a prompt last left the queue.
	headChangedAt time.Time
	peers         []peerQueue
}

// queuedPrompt is the part of a call's prompt that an engine has to prefill.
type queuedPrompt struct {
	id         uint64
	tokens     float64
	queueLevel int
	sentAt     time.Time
}

// peerQueue is the prefill queue of another VM's calls, as reported by that VM.
type peerQueue struct {
	vm            string
	prompts       []queuedPrompt
	headChangedAt time.Time
	reportedAt    time.Time
}

// peerQueueTTL is how long a reported queue is used. VMs repeat the report within a third
// of that while the queue is not empty.
const peerQueueTTL = 600 * time.Millisecond

func (q *peerQueue) fresh(now time.Time) bool {
	return len(q.prompts) > 0 && now.Sub(q.reportedAt) <= peerQueueTTL
}

// add appends a call's prompt and returns its ID.
func (q *prefillQueue) add(tokens float64, queueLevel int, now time.Time) uint64 {
	q.lastID++
	q.prompts = append(q.prompts, queuedPrompt{
		id:         q.lastID,
		tokens:     tokens,
		queueLevel: queueLevel,
		sentAt:     now,
	})
	return q.lastID
}

// remove removes a prompt if it is still queued.
func (q *prefillQueue) remove(id uint64, now time.Time) {
	at := slices.IndexFunc(q.prompts, func(p queuedPrompt) bool { return p.id == id })
	if at < 0 {
		return
	}
	q.prompts = slices.Delete(q.prompts, at, at+1)
	q.headChangedAt = now
}

// setPeer stores another VM's queue unless a newer one is known.
func (q *prefillQueue) setPeer(o peerQueue) {
	at := slices.IndexFunc(q.peers, func(other peerQueue) bool { return other.vm == o.vm })
	if at < 0 {
		q.peers = append(q.peers, o)
		return
	}
	if o.reportedAt.After(q.peers[at].reportedAt) {
		q.peers[at] = o
	}
}

// removePeer drops another VM's queue.
func (q *prefillQueue) removePeer(vm string) {
	q.peers = slices.DeleteFunc(q.peers, func(o peerQueue) bool { return o.vm == vm })
}

// tokensAhead returns how many tokens the engine prefills before a call of a queue level that is
// sent now, at rate tokens per second; own counts only this VM's calls. The earliest
// prompt is taken to be in progress, the others in order of queue level.
func (q *prefillQueue) tokensAhead(queueLevel int, rate float64, now time.Time) (all, own float64) {
	sum := queueSum{
		queueLevel:    queueLevel,
		headChangedAt: q.headChangedAt,
	}
	for i := range q.prompts {
		sum.add(&q.prompts[i])
	}
	own = sum.remaining(rate, now)
	for i := range q.peers {
		peer := &q.peers[i]
		if !peer.fresh(now) {
			continue
		}
		if peer.headChangedAt.After(sum.headChangedAt) {
			sum.headChangedAt = peer.headChangedAt
		}
		for j := range peer.prompts {
			sum.add(&peer.prompts[j])
		}
	}
	return sum.remaining(rate, now), own
}

// peerTokens returns the tokens of other VMs' prompts that are not prefilled yet.
func (q *prefillQueue) peerTokens(now time.Time) float64 {
	tokens := 0.0
	for i := range q.peers {
		if !q.peers[i].fresh(now) {
			continue
		}
		for j := range q.peers[i].prompts {
			tokens += q.peers[i].prompts[j].tokens
		}
	}
	return tokens
}

// callsBehind returns the number of calls of a later queue level that have no first token yet,
// including one whose prefill is in progress.
func (q *prefillQueue) callsBehind(queueLevel int, now time.Time) int {
	n := countBehind(q.prompts, queueLevel)
	for i := range q.peers {
		if q.peers[i].fresh(now) {
			n += countBehind(q.peers[i].prompts, queueLevel)
		}
	}
	return n
}

func countBehind(prompts []queuedPrompt, queueLevel int) int {
	n := 0
	for i := range prompts {
		if prompts[i].queueLevel > queueLevel {
			n++
		}
	}
	return n
}

// queueSum adds up the prompts before a call; the earliest prompt is in progress.
type queueSum struct {
	queueLevel    int
	headChangedAt time.Time
	tokens        float64
	head          *queuedPrompt
}

func (s *queueSum) add(p *queuedPrompt) {
	if s.head == nil || p.sentAt.Before(s.head.sentAt) {
		s.head = p
	}
	if p.queueLevel <= s.queueLevel {
		s.tokens += p.tokens
	}
}

// remaining returns the tokens left to prefill. The prompt in progress counts whatever
// its queue level, less what was prefilled of it.
func (s *queueSum) remaining(rate float64, now time.Time) float64 {
	if s.head == nil {
		return 0
	}
	tokens := s.tokens
	if s.head.queueLevel > s.queueLevel {
		tokens += s.head.tokens
	}
	since := s.headChangedAt
	if s.head.sentAt.After(since) {
		since = s.head.sentAt
	}
	return tokens - min(rate*max(now.Sub(since).Seconds(), 0), s.head.tokens)
}

const (
	// rateDecay is the weight that each sample takes from earlier ones.
	rateDecay = 0.05
	// initialPrefillRate is the assumed rate in tokens per second; it weighs as much as a
	// measurement over initialPrefillTokens. Engines prefill 10,000 to 50,000. If it is far
	// too low, a region that has just started expects late first tokens, and its calls leave
	// it or are refused.
	initialPrefillRate   = 20_000.0
	initialPrefillTokens = 2_000.0
)

// rateEstimate is the prefill rate of an engine in tokens per second. It is a ratio of
// two decaying sums, so that long prompts weigh most.
type rateEstimate struct {
	tokens  float64
	seconds float64
}

func newRateEstimate() rateEstimate {
	return rateEstimate{
		tokens:  initialPrefillTokens,
		seconds: initialPrefillTokens / initialPrefillRate,
	}
}

// add records that tokens were prefilled within the given number of seconds.
func (r *rateEstimate) add(tokens, seconds float64) {
	r.tokens += tokens - rateDecay*r.tokens
	r.seconds += seconds - rateDecay*r.seconds
}

func (r *rateEstimate) perSecond() float64 {
	return r.tokens / r.seconds
}
