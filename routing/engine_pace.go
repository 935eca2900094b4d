package routing

import (
	"math"
	"time"
)

const (
	// reportedPaceWeight is the weight of a report in the expected time per token. A slow
	// window lasts 0.6 s and a response some seconds.
	reportedPaceWeight = 0.5
	// moveExponent weakens the part of the prefixes that leave a slower endpoint, as their
	// first calls at the other one are not cached.
	moveExponent = 0.7
	// maxQueueForMoves is the mean number of waiting prompts up to which an endpoint gets
	// prefixes of slower ones. With more, its own calls would be late.
	maxQueueForMoves = 2.0
	// minSilentPeers is the part of the other VMs that do not tell their queues from which
	// engines' reports are used: in regions of more than nine VMs none do.
	minSilentPeers = 0.5
	// meanPaceWeight is the weight of a report in an engine's mean time per token and mean
	// queue, by which prefixes move: some ten seconds, so that they do not move back and forth
	// with the slow windows of 0.6 s.
	meanPaceWeight = 0.1
	// reportedPaceTTL is the age up to which a report's time per token is used in full; it then
	// decays to what this VM measured at all engines.
	reportedPaceTTL = 3 * time.Second
	// reportedPaceDecay is the time constant of that decay, and reportedPaceEnd the age from
	// which the report is not used at all.
	reportedPaceDecay = time.Second
	reportedPaceEnd   = 6 * time.Second
)

// reportedPace is what the reports of an engine say of the streams of all VMs there.
type reportedPace struct {
	// token is the time per generated token in seconds by the last report that states it, at
	// that report's time.
	token float64
	at    time.Time
	// meanToken and meanQueue are the averages of the time per token and of the prompt tokens
	// that wait for prefill.
	meanToken average
	meanQueue average
}

// learnReportedPace applies the endpoint's last report, unless it states no time per token: the
// mean queue is compared only between endpoints whose pace is known.
func (p *Pool) learnReportedPace(e *endpoint) {
	if e.load.TokenTime <= 0 {
		return
	}
	e.reported.token = e.load.TokenTime.Seconds()
	e.reported.at = e.reportedAt
	e.reported.meanToken.add(e.reported.token, meanPaceWeight)
	waiting := float64(e.load.NextTokens) + float64(max(e.load.Waiting-1, 0))*p.estimates.prefillTokens.value
	e.reported.meanQueue.add(waiting, meanPaceWeight)
}

// usesReportedPace reports whether the engines' own times per token are used. Where VMs tell
// each other their queues, each knows what slows an engine down before its next report.
func (p *Pool) usesReportedPace(now time.Time) bool {
	return !p.without.EnginePace && p.vms > 1 && p.silentPeerFraction(now) > minSilentPeers
}

// reportedTokenSeconds returns the expected time per token of a call by the endpoint's report
// and what this VM measured on its own open streams there, or else at all endpoints with so many
// calls; ok is false without a report. Slow moments end before most responses do, so that a
// report alone says too much.
func (p *Pool) reportedTokenSeconds(e *endpoint, occupancy float64, now time.Time) (each float64, ok bool) {
	age := now.Sub(e.reported.at)
	if e.reported.at.IsZero() || age > reportedPaceEnd || !p.usesReportedPace(now) {
		return 0, false
	}
	measured, ok := p.ownTokenSeconds(e, occupancy, now)
	if !ok {
		return e.reported.token, true
	}
	weight := reportedPaceWeight
	weight *= math.Exp(-max(age-reportedPaceTTL, 0).Seconds() / reportedPaceDecay.Seconds())
	return weight*e.reported.token + (1-weight)*measured, true
}

// moveFromSlow swaps the prefix's endpoints on the ring if the first one is slower and the
// prefix is among those that leave it for the second one. The same prefixes leave on all VMs,
// as these see the same reports, so that each is cached in one place.
func (p *Pool) moveFromSlow(r *Request, now time.Time) {
	first, second := r.ringPrimary, r.ringSecondary
	if first == nil || second == nil || !p.usesReportedPace(now) || !first.reported.fresh(now) || !second.reported.fresh(now) {
		return
	}
	if !p.estimates.prefillTokens.known || second.reported.meanQueue.value > maxQueueForMoves*p.estimates.prefillTokens.value {
		return
	}
	pace := second.reported.meanToken.value / first.reported.meanToken.value
	half := p.estimates.prefillTokens.value / 2
	queue := (second.reported.meanQueue.value + half) / (first.reported.meanQueue.value + half)
	if prefixDraw(r.PrefixHash) >= math.Pow(max(pace, queue), moveExponent) {
		r.ringPrimary, r.ringSecondary = second, first
	}
}

// fresh reports whether the averages are recent enough to move prefixes.
func (r *reportedPace) fresh(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= reportedPaceTTL
}

// prefixDraw returns a number in [0, 1) that depends on the prefix alone, and not on its place
// on the ring.
func prefixDraw(hash uint64) float64 {
	const (
		multiplier   = 0x9E3779B97F4A7C15
		mantissaBits = 53
		hashBits     = 64
	)
	return float64(hash*multiplier>>(hashBits-mantissaBits)) / (1 << mantissaBits)
}

// TokenTimes is the time per generated token at endpoints whose reports state it.
type TokenTimes struct {
	Endpoints int
	Sum       time.Duration
	Highest   time.Duration
}

// Add returns the sum over two sets of endpoints.
func (t TokenTimes) Add(o TokenTimes) TokenTimes {
	return TokenTimes{
		Endpoints: t.Endpoints + o.Endpoints,
		Sum:       t.Sum + o.Sum,
		Highest:   max(t.Highest, o.Highest),
	}
}

// Mean returns the mean over the endpoints, or zero without any.
func (t TokenTimes) Mean() time.Duration {
	if t.Endpoints == 0 {
		return 0
	}
	return t.Sum / time.Duration(t.Endpoints)
}

// TokenTimes returns the time per token at the eligible endpoints by their recent reports.
func (p *Pool) TokenTimes(now time.Time) TokenTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	var t TokenTimes
	for _, e := range p.eligible {
		if !e.reported.fresh(now) {
			continue
		}
		t = t.Add(TokenTimes{
			Endpoints: 1,
			Sum:       seconds(e.reported.token),
			Highest:   seconds(e.reported.token),
		})
	}
	return t
}

// reportedTokenTime returns the time per token of the endpoint's last report; zero if it is not
// known any more.
func (e *endpoint) reportedTokenTime(now time.Time) time.Duration {
	if !e.reported.fresh(now) {
		return 0
	}
	return seconds(e.reported.token)
}
