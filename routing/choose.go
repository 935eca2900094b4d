package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// candidate is one endpoint with its estimates in seconds.
type candidate struct {
	state     *endpoint
	wait      float64
	predicted float64
	first     float64
	score     float64
	// tokens are those of the prompt that the endpoint has to read, unread those
	// that it reads before.
	tokens float64
	unread float64
	warm   bool
	// cached are the tokens of the prompt that need not be read, of which fetched
	// come from another engine.
	cached  int
	fetched int
	// occupied are the calls at the endpoint with this one.
	occupied float64
}

// Choose picks an endpoint and counts the call in flight there. It returns
// false when no endpoint takes work. It does not allocate.
func (p *Pool) Choose(r Request, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.locate(&r, now)
	if e := p.probe(r, now); e != nil {
		e.probing = true
		choice := p.take(p.weigh(e, r, now), r, now)
		choice.Probe = true
		return choice, true
	}
	c, ok := p.pick(r, now)
	if !ok && r.Again {
		r.Exclude = [2]string{}
		c, ok = p.pick(r, now)
	}
	if !ok {
		return Choice{}, false
	}
	return p.take(c, r, now), true
}

// Estimate says how long a call would wait and then be served if it were sent now.
func (p *Pool) Estimate(r Request, now time.Time) (wait, service time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.locate(&r, now)
	c, ok := p.pick(r, now)
	if !ok {
		return 0, 0
	}
	choice := p.choice(c, r, now)
	return choice.Wait, choice.Service
}

// Expectation is what a call that is sent now may expect.
type Expectation struct {
	// First is the time to the first token.
	First time.Duration
	// Token is the time for each generated token; zero while it is not known.
	Token time.Duration
	// Answer is how many tokens are expected to be generated, and Long how many by
	// a call that is longer than nine in ten.
	Answer float64
	Long   float64
	// ToRead is how many tokens of the prompt the endpoint has to read.
	ToRead float64
}

// Whole is the time to the end of the answer.
func (e Expectation) Whole() time.Duration {
	return e.First + time.Duration(e.Answer*float64(e.Token))
}

// Expect says what a call that is sent now may expect; ok is false when no
// endpoint takes work.
func (p *Pool) Expect(r Request, now time.Time) (e Expectation, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.locate(&r, now)
	c, ok := p.pick(r, now)
	if !ok {
		return Expectation{}, false
	}
	each, _ := p.knownPace(c, now)
	return Expectation{
		First:  p.choice(c, r, now).First,
		Token:  seconds(each),
		Answer: p.answerTokens(r),
		Long:   p.longAnswer(r),
		ToRead: c.tokens,
	}, true
}

// locate finds what the choice needs to know of the prompt.
func (p *Pool) locate(r *Request, now time.Time) {
	r.home, r.second = p.ring.pair(r.PrefixHash)
	r.source = p.source(r.home, *r, now)
}

// take counts the call at the candidate.
func (p *Pool) take(c candidate, r Request, now time.Time) Choice {
	choice := p.choice(c, r, now)
	c.state.enter(now)
	choice.prompt = c.state.reading.enter(c.tokens, r.turn(), now)
	p.readingChanges++
	if !r.Tentative {
		p.hold(c.state, r.Prefixes, now)
	}
	p.learnt.learnLong(r.MaxTokens)
	p.refresh(c.state, now)
	return choice
}

// probe returns an endpoint whose back-off is over and that no call tests yet.
// Urgent calls do not test unless nothing else has done so for as long again.
func (p *Pool) probe(r Request, now time.Time) *endpoint {
	for _, e := range p.ejected {
		due := e.retryAt
		if r.Priority == call.PriorityUrgent && len(p.eligible) > 0 {
			due = due.Add(e.backoff)
		}
		if !e.probing && !now.Before(due) && !e.leaves() && !e.closed(now) && !r.excludes(e) {
			return e
		}
	}
	return nil
}

func (p *Pool) pick(r Request, now time.Time) (candidate, bool) {
	switch {
	case len(p.eligible) == 0:
		return candidate{}, false
	case p.policy == PolicyRoundRobin:
		return p.pickRoundRobin(r, now)
	case p.policy == PolicyLeastInFlight:
		return p.pickLeastInFlight(r, now)
	default:
		return p.pickAffinity(r, now)
	}
}

func (p *Pool) pickRoundRobin(r Request, now time.Time) (candidate, bool) {
	for range p.eligible {
		p.next++
		e := p.eligible[p.next%len(p.eligible)]
		if !e.closed(now) && !r.excludes(e) {
			return p.weigh(e, r, now), true
		}
	}
	return candidate{}, false
}

func (p *Pool) pickLeastInFlight(r Request, now time.Time) (candidate, bool) {
	var best *endpoint
	offset := p.draw()
	for i := range p.eligible {
		e := p.eligible[(offset+i)%len(p.eligible)]
		if !e.closed(now) && !r.excludes(e) && (best == nil || e.inFlight < best.inFlight) {
			best = e
		}
	}
	if best == nil {
		return candidate{}, false
	}
	return p.weigh(best, r, now), true
}

// pickAffinity weighs the two endpoints of the prefix and some others.
func (p *Pool) pickAffinity(r Request, now time.Time) (candidate, bool) {
	var best candidate
	if len(p.eligible) <= scanAll {
		p.scan(&best, r, now)
		return best, best.state != nil
	}
	p.better(&best, r.source.endpoint, r, now)
	p.better(&best, r.home, r, now)
	p.better(&best, r.second, r, now)
	for i := range randomDraws + extraDraws {
		if i >= randomDraws && best.state != nil && best.wait == 0 {
			break
		}
		p.better(&best, p.eligible[p.draw()], r, now)
	}
	if best.state == nil {
		p.scan(&best, r, now)
	}
	return best, best.state != nil
}

// scan weighs all eligible endpoints from a random one on.
func (p *Pool) scan(best *candidate, r Request, now time.Time) {
	offset := p.draw()
	for i := range p.eligible {
		p.better(best, p.eligible[(offset+i)%len(p.eligible)], r, now)
	}
}

// better replaces best by e if e scores less.
func (p *Pool) better(best *candidate, e *endpoint, r Request, now time.Time) {
	if e == nil || e.place < 0 || e.closed(now) || r.excludes(e) {
		return
	}
	c := p.weigh(e, r, now)
	if best.state == nil || c.score < best.score {
		*best = c
	}
}

func (p *Pool) draw() int {
	return int(p.rand() % uint64(len(p.eligible)))
}

// weigh estimates one endpoint for a request.
func (p *Pool) weigh(e *endpoint, r Request, now time.Time) candidate {
	slots := e.slots()
	occupied := e.occupancy(p.learnt.share, now)
	hold := e.hold.or(p.learnt.hold.or(defaultHold))
	// Calls that yield to this one hold up none of its way to a slot.
	behind := float64(e.reading.behind(r.turn(), now))
	queued := max(max(occupied+1-slots, e.queued(now))-behind, 0)
	wait := queued * hold / slots
	warm := e == r.home
	cached, fetched := e.cached(r, now)
	rate := p.learnt.read.perSecond()
	tokens := p.toRead(r, warm)
	if len(r.Prefixes) > 0 {
		tokens = float64(max(r.PromptTokens-cached, 0)) + fetchedPart*float64(fetched)
	}
	unread := e.unread(r.turn(), p.learnt.share, p.untold(now), rate, now)
	prefill := p.learnt.base.value + tokens/rate
	predicted := wait + unread/rate + prefill
	late := max(e.correction(now)-lateSlack*p.learnt.late.or(0), e.stall(hold, now), 0)
	if p.without.Corrections {
		late = 0
	}
	weight := coldWeight
	if p.without.Affinity {
		weight = 1
	}
	return candidate{
		state:     e,
		wait:      wait,
		predicted: predicted,
		first:     predicted + late,
		score:     predicted + late + (weight-1)*prefill + loadWeight*hold*occupied/slots,
		tokens:    tokens,
		unread:    unread,
		warm:      warm,
		cached:    cached,
		fetched:   fetched,
		occupied:  occupied + 1,
	}
}

// cached returns how many tokens of the prompt the endpoint need not read, and how
// many of them it has to fetch.
func (e *endpoint) cached(r Request, now time.Time) (cached, fetched int) {
	own := e.cache.warm(r.Prefixes, now)
	cached = own
	if e == r.home && len(r.Prefixes) > 0 {
		// Other VMs send such prompts there too.
		cached = r.Prefixes[len(r.Prefixes)-1].Tokens
	}
	if r.source.endpoint == e || r.source.tokens < own+fetchLeast {
		return cached, 0
	}
	return max(cached, r.source.tokens), r.source.tokens - own
}

// toRead is how many tokens of a prompt an endpoint has to read, where nothing
// is known of the prompt's parts.
func (p *Pool) toRead(r Request, warm bool) float64 {
	cold := float64(r.PromptTokens)
	if warm {
		cold *= 1 - p.learnt.cached.or(defaultCached)
	}
	return cold
}

// choice makes the caller's view of a candidate.
func (p *Pool) choice(c candidate, r Request, now time.Time) Choice {
	service := c.predicted - c.wait + p.answerTokens(r)*p.pace(c, now)
	var reportAge time.Duration
	if !c.state.loadAt.IsZero() {
		reportAge = now.Sub(c.state.loadAt)
	}
	fetchFrom := ""
	if c.fetched > 0 {
		fetchFrom = r.source.addr
	}
	return Choice{
		FetchFrom: fetchFrom,
		Cached:    c.cached,
		ReportAge: reportAge,
		Endpoint:  c.state.Endpoint,
		At:        now,
		Wait:      seconds(c.first - c.predicted + c.wait),
		First:     seconds(c.first),
		Service:   seconds(service),
		Affine:    c.warm,
		state:     c.state,
		predicted: c.predicted,
		unread:    c.unread,
		queued:    c.wait > 0,
		tokens:    c.tokens,
		known:     len(r.Prefixes) > 0,
		occupied:  c.occupied,
		prefix:    r.PrefixHash != 0,
		maxTokens: r.MaxTokens,
		yields:    call.Yields(r.turn()),
	}
}

// pace is the expected time for one generated token, in seconds.
func (p *Pool) pace(c candidate, now time.Time) float64 {
	if each, ok := p.knownPace(c, now); ok {
		return each
	}
	return 1 / c.state.speed.or(p.learnt.speed.or(defaultSpeed))
}

// knownPace is false while nothing was learnt, as after a start.
func (p *Pool) knownPace(c candidate, now time.Time) (each float64, ok bool) {
	if !p.without.LivePace && c.state.livePaced >= livePaceLeast && now.Sub(c.state.livePaceAt) <= livePaceFor {
		return c.state.livePace.value, true
	}
	return p.learnt.pace.at(c.occupied)
}

// answerTokens is the expected number of generated tokens, of which the bound
// is often far too high.
func (p *Pool) answerTokens(r Request) float64 {
	if r.AnswerTokens > 0 {
		return float64(min(r.AnswerTokens, r.MaxTokens))
	}
	return float64(r.MaxTokens) * p.learnt.length.or(defaultLength)
}

// longAnswer is how many tokens are generated by a call that is longer than nine in ten.
func (p *Pool) longAnswer(r Request) float64 {
	if r.AnswerTokens > 0 {
		return float64(min(int(longerThanSaid*float64(r.AnswerTokens)), r.MaxTokens))
	}
	return p.learnt.long * p.learnt.length.or(defaultLength)
}

// longerThanSaid is by how much one answer in ten is longer than its caller estimated.
const longerThanSaid = 1.9

// turn is the call's place in the order, within the known ones.
func (r Request) turn() int {
	return min(max(r.Turn, 0), call.Turns-1)
}

func (r Request) excludes(e *endpoint) bool {
	return e.ID == r.Exclude[0] || e.ID == r.Exclude[1]
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
