package routing

import (
	"math"
	"time"
)

// engineMemory is what this VM knows of an engine's KV cache, in tokens. An engine that
// runs out of it preempts runs and prefills them again.
type engineMemory struct {
	// own is the expected need of this VM's calls in flight, ownInReport what it was at the
	// time of the last load report.
	own         float64
	ownInReport float64
	history     inFlightHistory
	// averagePeers is the moving average of other VMs' part.
	averagePeers float64
}

// change adds the need of a call that starts, or takes away that of one that ended.
func (m *engineMemory) change(tokens float64, now time.Time) {
	m.history.record(int(m.own), now)
	m.own = max(m.own+tokens, 0)
}

// applyReport splits the reported use into this VM's part and that of others.
func (m *engineMemory) applyReport(used float64, reportedAt time.Time) {
	m.ownInReport = float64(m.history.at(reportedAt, int(m.own)))
	m.averagePeers += peerLoadWeight * (m.reportedPeers(used) - m.averagePeers)
}

func (m *engineMemory) reportedPeers(used float64) float64 {
	return max(used-m.ownInReport, 0)
}

// reportsMemory reports whether the size of the engine's memory is known.
func (e *endpoint) reportsMemory() bool {
	return e.load.CacheTokens > 0
}

// memoryInUse estimates the tokens in use now. Other VMs' part is the reported one, which
// decays to its average as the runs of that time end, with the rest of their responses, and
// what they sent since: the prompts that they report as not prefilled, or an extrapolation
// of what this VM sent less what has ended, whichever is more.
func (p *Pool) memoryInUse(e *endpoint, now time.Time) float64 {
	share := p.estimates.loadShare
	slotTime := p.slotSeconds(e)
	m := &e.memory
	weight := math.Exp(-now.Sub(e.reportedAt).Seconds() / max(slotTime, reportDecaySeconds))
	peers := weight*m.reportedPeers(float64(e.load.CacheUsed)) + (1-weight)*m.averagePeers
	peers += e.reportedPeerLoad() * p.estimates.answerTokens.value / 2
	sent := extrapolationWeight(share) * min(1/share-1, maxExtrapolationRatio) * (m.own - m.ownInReport)
	return m.own + max(peers+max(sent, e.prefillQueue.peerTokens(now)), 0)
}

// memoryForecast is what a call does to the memory of one engine.
type memoryForecast struct {
	// need is the call's own need, lacking the part of it for which runs have to end or
	// are preempted, both in tokens.
	need    float64
	lacking float64
	// wait is the time until enough runs have ended, in seconds.
	wait float64
	// ratio is the part of the memory that is in use with this call; zero if unknown.
	ratio float64
}

// forecastMemory estimates what a call that needs so many tokens does to an engine.
// Memory is released at the rate at which runs of a full engine end.
func (p *Pool) forecastMemory(e *endpoint, need float64, now time.Time) memoryForecast {
	f := memoryForecast{need: need}
	if p.without.Memory || !e.reportsMemory() {
		return f
	}
	total := float64(e.load.CacheTokens)
	wanted := p.memoryInUse(e, now) + need
	excess := max(wanted-total, 0)
	f.lacking = min(excess, need)
	f.wait = excess * p.slotSeconds(e) / total
	f.ratio = wanted / total
	return f
}

// startMemory counts a call that is sent to an endpoint.
func (p *Pool) startMemory(c candidate, r Request, now time.Time) {
	c.endpoint.memory.change(c.memory.need, now)
	p.estimates.memoryNeed.add(c.memory.need, sampleWeight)
	p.estimates.answerTokens.add(p.expectedAnswer(r), sampleWeight)
}

// memoryNeed is the number of tokens that a call is expected to hold at an engine that has
// the given number cached. Cached parts are shared with other runs.
func (p *Pool) memoryNeed(r Request, cached int, affine bool) float64 {
	prompt := p.estimatePrefill(r, affine)
	if len(r.Prefixes) > 0 {
		prompt = float64(max(r.PromptTokens-cached, 0))
	}
	return prompt + p.expectedAnswer(r)
}

// freeSlots limits an endpoint's free slots to the calls of average need that its memory
// can still hold.
func (p *Pool) freeSlots(e *endpoint, free float64, now time.Time) float64 {
	need := p.estimates.memoryNeed.value
	if p.without.Memory || !e.reportsMemory() || need <= 0 {
		return free
	}
	left := max(float64(e.load.CacheTokens)-p.memoryInUse(e, now), 0)
	return min(free, math.Floor(left/need))
}

// exceeds reports whether the call cannot run at an endpoint, whose memory is smaller than
// the prompt and the response that the caller announced. Estimates of responses do not
// count, as a call is refused for good if it exceeds all engines.
func (r Request) exceeds(e *endpoint) bool {
	return e.reportsMemory() && r.wholeTokens() > e.load.CacheTokens
}

func (r Request) wholeTokens() int {
	return r.PromptTokens + min(r.AnswerTokens, r.MaxTokens)
}

// Oversized reports whether a call exceeds the whole memory of each endpoint. It is false
// if any endpoint has not reported its memory.
func (p *Pool) Oversized(r Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.without.Memory {
		return false
	}
	for _, e := range p.endpoints {
		if !r.exceeds(e) {
			return false
		}
	}
	return len(p.endpoints) > 0
}

// MemoryUse is the memory in use at endpoints that report it, as ratios of their sizes.
type MemoryUse struct {
	Endpoints int
	// Sum is the sum of the ratios.
	Sum     float64
	Highest float64
}

// Add returns the sum over two sets of endpoints.
func (u MemoryUse) Add(o MemoryUse) MemoryUse {
	return MemoryUse{
		Endpoints: u.Endpoints + o.Endpoints,
		Sum:       u.Sum + o.Sum,
		Highest:   max(u.Highest, o.Highest),
	}
}

// Mean returns the mean ratio, or zero without endpoints.
func (u MemoryUse) Mean() float64 {
	if u.Endpoints == 0 {
		return 0
	}
	return u.Sum / float64(u.Endpoints)
}

// MemoryUse estimates the memory in use at the eligible endpoints.
func (p *Pool) MemoryUse(now time.Time) MemoryUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	var u MemoryUse
	for _, e := range p.eligible {
		if !e.reportsMemory() {
			continue
		}
		ratio := p.memoryInUse(e, now) / float64(e.load.CacheTokens)
		u = u.Add(MemoryUse{
			Endpoints: 1,
			Sum:       ratio,
			Highest:   ratio,
		})
	}
	return u
}
