package site

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/logs"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/serving"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// minAnswerRatio is the least part of MaxTokens that an answer is expected to use while
// the region has no statistics.
const minAnswerRatio = 0.25

// serve runs a call, received from a caller or from another VM.
func (n *Node) serve(ctx context.Context, c *call.Call, sink call.Sink) call.Outcome {
	if c.Log == nil {
		c.Log = n.newCallLog(c)
	}
	if !n.settings.Enabled(settings.RankOrder) {
		c.Routed.Rank = 0
	}
	countFromFirstAttempt(c)
	n.streams.observe(c)
	startedAt := n.now()
	refusal := n.awaitFreshState(ctx)
	if refusal == nil {
		refusal = n.updateTerms(ctx, c)
	}
	if refusal == nil {
		refusal = n.refuseIfStopping(c)
	}
	if refusal != nil {
		n.countReturned(c, call.Refused(refusal))
		c.Log.Fail("request_refused", slog.Int("code", int(refusal.Code)), slog.String("reason", refusal.Error()))
		return call.Refused(refusal)
	}
	out := n.serving.Serve(ctx, c, serving.Placement{
		Kind: serving.PlaceHere,
	}, sink)
	if out.Code.Class() == result.ClassNotRun && n.stopState.callsCtx.Err() != nil {
		// Waits that the stop has cut short end with the codes of what they waited for.
		out.Refusal = n.stoppingRefusal()
		out.Code = out.Refusal.Code
	}
	n.recordDuration(ctx, c, out, startedAt)
	n.recordServed(c, out)
	n.countReturned(c, out)
	if c.Routed.MissesObjective && !c.Forwarded && out.Code != result.DeadlineUnmeetable {
		n.lateOutcomes.Record(lateGroup(c), out.Code.Class() == result.ClassDone, n.now())
	}
	return out
}

// newCallLog returns the log of a call.
func (n *Node) newCallLog(c *call.Call) *logs.RequestLog {
	log := logs.NewRequestLog(n.log, c.ID, n.sampleLog())
	log.LimitRefusals(n.saturation.mayLogRefusal)
	return log
}

func lateGroup(c *call.Call) placement.CallGroup {
	return placement.CallGroup{
		Service:    c.Target(),
		Rank:       c.Routed.Rank,
		AboveShare: c.Routed.FairShare == call.AboveShare,
	}
}

// sampleLog reports whether a successful call is logged, at the configured rate.
func (n *Node) sampleLog() bool {
	every := n.settings.LogSampleEvery
	return every > 0 && rand.IntN(every) == 0
}

// place decides whether a call is served locally, on a VM of another region, or refused. A
// stopping VM sends a call that did not run at one VM to another only if it could still begin.
func (n *Node) place(ctx context.Context, c *call.Call, tried []fleet.VM) (vm fleet.VM, away bool, refusal *result.Refusal) {
	if len(tried) == 0 {
		n.classifyShare(c, n.now())
	} else if !c.Idempotent || !c.Routed.Retry {
		if refusal := n.refuseIfStopping(c); refusal != nil {
			return vm, false, refusal
		}
	}
	waitUntil := n.restartDeadline(c)
	res := n.evaluatePlacement(c, tried)
	for res.decision.Refusal == placement.ReasonNoRegion && (n.waitForMembers(ctx, c) || n.waitForRestart(ctx, waitUntil)) {
		res = n.evaluatePlacement(c, tried)
	}
	res = n.evaluateYielding(c, tried, res)
	n.recordPlacement(c, res.decision, len(tried) == 0)
	c.Routed.MissesObjective = res.decision.Late || n.yieldsShare(c)
	region := res.decision.Region
	if res.decision.Refusal != "" {
		res.logPlacement(c)
		if oversized := n.oversizedRefusal(c); oversized != nil && res.decision.Refusal == placement.ReasonNoRegion {
			return vm, false, oversized
		}
		n.metrics.CountPlacementRefusal(refusalLabel(res.decision.Refusal))
		return vm, false, n.withReopenTime(c, placementRefusal(res.decision))
	}
	if region == n.deployment.Region {
		return vm, false, nil
	}
	res.logPlacement(c)
	n.sentAway.Add(region, c.Target(), res.local.PrefillTokens, n.now())
	return res.vm, true, nil
}

// placementResult is a placement decision and the loads that led to it.
type placementResult struct {
	local    placement.Load
	remotes  []placement.Load
	request  placement.Request
	decision placement.Decision
	// vm is the target if the call goes to another region.
	vm fleet.VM
}

func (n *Node) evaluatePlacement(c *call.Call, tried []fleet.VM) placementResult {
	n.saturation.acquire()
	defer n.saturation.release()
	now := n.now()
	snap := n.control.snapshot()
	request := n.placementRequest(c, snap, tried, n.localLoad(c, now), now)
	request.DeadlineDraw = rand.Float64()
	request.ObjectiveDraw = rand.Float64()
	request.RetryDraw = rand.Float64()
	decision := placement.Decide(request, now)
	vm, _ := pickVM(snap.members.AcceptingVMs(decision.Region), tried)
	return placementResult{
		local:    request.Local,
		remotes:  request.Remote,
		request:  request,
		decision: decision,
		vm:       vm,
	}
}

// placementRequest returns the request for a call, without the random numbers.
func (n *Node) placementRequest(c *call.Call, snap *snapshot, tried []fleet.VM, local placement.Load, now time.Time) placement.Request {
	if c.Routed.AnswerTokens == 0 {
		local.AnswerTokens = max(local.AnswerTokens, minAnswerRatio*float64(c.MaxTokens))
	}
	return placement.Request{
		Local:              local,
		LocalAllowed:       c.Routed.Allows(n.deployment.Region) && !slices.ContainsFunc(tried, n.isSelf),
		Remote:             n.remoteLoads(c, snap, tried, local),
		Forwarded:          len(tried) > 0,
		Resumed:            c.Routed.ResumeAfter != "",
		FirstTokenDeadline: c.FirstTokenDeadline,
		Deadline:           c.Deadline,
		CallerWait:         c.Routed.CallerWait,
		Rank:               snap.rankPosition(c.Routed.Rank),
		MissRate:           n.lateOutcomes.MissRate(lateGroup(c), now),
		Disabled:           n.disabledPlacement(),
	}
}

// rankPosition returns the position of a rank among those in the current table.
func (snap *snapshot) rankPosition(rank int) int {
	if snap.table == nil {
		return rank
	}
	return int(snap.table.Standing(rank))
}

// isSelf reports whether a VM is this one.
func (n *Node) isSelf(vm fleet.VM) bool {
	return vm.ID == n.deployment.VM
}

// pickVM returns a random VM that was not tried yet, or false if there is none. One that has
// restarted since then was not.
func pickVM(vms []fleet.VM, tried []fleet.VM) (fleet.VM, bool) {
	if len(vms) == 0 {
		return fleet.VM{}, false
	}
	start := rand.IntN(len(vms))
	for i := range vms {
		if vm := vms[(start+i)%len(vms)]; !slices.ContainsFunc(tried, vm.IsSameProcess) {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

const (
	// startupWindow is how long after its start a VM may lack members: two store reads from
	// the most distant region, or an exchange with a VM that starts as well.
	startupWindow = 3 * time.Second
	// startupWait bounds the time a call waits for members.
	startupWait         = 500 * time.Millisecond
	startupPollInterval = 10 * time.Millisecond
)

// waitForMembers waits briefly for members after the start of this VM. It returns false
// if waiting is pointless and the call has to be refused.
func (n *Node) waitForMembers(ctx context.Context, c *call.Call) bool {
	now := n.now()
	deadline := c.FirstTokenDeadline
	if arrivedAt := c.Routed.ArrivedAt; deadline.IsZero() || c.Routed.CallerWait.Time > 0 || arrivedAt.Add(startupWait).Before(deadline) {
		deadline = arrivedAt.Add(startupWait)
	}
	if c.Forwarded || ctx.Err() != nil || now.Sub(n.startedAt) > startupWindow || !now.Before(deadline) {
		return false
	}
	worker.SleepUntil(ctx, now, now.Add(startupPollInterval))
	return true
}

func placementRefusal(d placement.Decision) *result.Refusal {
	code := result.DeadlineUnmeetable
	if d.Refusal == placement.ReasonNoRegion {
		code = result.NoEndpoint
	}
	return result.Refuse(code, "%s", d.Refusal).WithRetryAt(d.RetryAt)
}

// withReopenTime adds to a refusal when a rate-limited endpoint of the local region
// accepts the next call.
func (n *Node) withReopenTime(c *call.Call, refusal *result.Refusal) *result.Refusal {
	pool, ok := n.pools.find(c.Target())
	if !ok || !c.Routed.Allows(n.deployment.Region) {
		return refusal
	}
	return n.serving.RateLimitRefusal(c, pool, refusal)
}

// disabledPlacement returns the placement mechanisms that the settings disable.
func (n *Node) disabledPlacement() placement.DisabledFeatures {
	return placement.DisabledFeatures{
		Yielding:    !n.settings.Enabled(settings.Yielding),
		LateRefusal: !n.settings.Enabled(settings.LateRefusal),
		EndRefusal:  !n.settings.Enabled(settings.EndRefusal),

		DeadlineRefusal: !n.settings.Enabled(settings.DeadlineRefusal),
	}
}

// logPlacement logs the loads behind a forwarded or refused call.
func (res placementResult) logPlacement(c *call.Call) {
	local, region := res.local, res.decision.Region
	var chosen placement.Load
	for _, o := range res.remotes {
		if o.Region == region {
			chosen = o
		}
	}
	c.Log.Add("region_chosen",
		slog.String("region", region),
		slog.String("fair_share", string(c.Routed.FairShare)),
		slog.Int("own_endpoints", local.Endpoints),
		slog.Int64("own_first_ms", local.TTFT.Milliseconds()),
		slog.Bool("own_endangers", local.Endangers),
		slog.Int64("own_whole_ms", local.TotalTime.Milliseconds()),
		slog.Int64("other_whole_ms", (chosen.TotalTime+chosen.RoundTrip).Milliseconds()),
		slog.Int64("other_first_ms", (chosen.TTFT+chosen.RoundTrip).Milliseconds()),
	)
}

// localLoad estimates how this region would serve the call.
func (n *Node) localLoad(c *call.Call, now time.Time) placement.Load {
	load := placement.Load{
		Region: n.deployment.Region,
	}
	load.PrefillTokens = float64(c.PromptTokens)
	pool, ok := n.pools.find(c.Target())
	if !ok {
		return load
	}
	expected, ok := pool.Endpoints.Expect(routingRequest(c), now)
	if !ok {
		return load
	}
	load.Endpoints = pool.Endpoints.Capacity(now).Endpoints
	setExpectation(&load, expected)
	return load
}

// routingRequest returns the request for a call to the endpoints of this region.
func routingRequest(c *call.Call) routing.Request {
	return routing.Request{
		PrefixHash:   c.PrefixHash,
		Prefixes:     routing.Prefixes(c.Workspace, c.Routed.PromptParts),
		Homes:        c.Routed.Homes,
		Pin:          c.Routed.Pin,
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		AnswerTokens: c.Routed.AnswerTokens,
		Priority:     c.Priority,
		QueueLevel:   c.Routed.QueueLevel(),
		Deadline:     c.Deadline,
	}
}

// setExpectation sets what a load says of one call.
func setExpectation(load *placement.Load, expected routing.Expectation) {
	load.TTFT = expected.TTFT
	load.TotalTime = expected.TotalTime()
	load.AnswerTokens = expected.AnswerTokens
	load.PrefillTokens = expected.PrefillTokens
	load.Endangers = expected.Endangers
	load.AnswerTokensP90 = expected.AnswerTokensP90
	load.TotalTimeP90 = expected.TTFT + time.Duration(expected.AnswerTokensP90*float64(expected.TokenTime))
}

// remoteLoads estimates how other regions would serve the call, for those that are
// allowed and have a reachable VM. local supplies the expected answer length.
func (n *Node) remoteLoads(c *call.Call, snap *snapshot, tried []fleet.VM, local placement.Load) []placement.Load {
	if !n.settings.Enabled(settings.Borrowing) && local.Endpoints > 0 && c.Routed.Allows(n.deployment.Region) {
		return nil
	}
	var out []placement.Load
	for _, reported := range snap.regionLoads[c.Target()] {
		if !c.Routed.Allows(reported.Region) {
			continue
		}
		if _, ok := pickVM(snap.members.AcceptingVMs(reported.Region), tried); !ok {
			continue
		}
		// Last, as it goes through the endpoints of all regions.
		if c.Routed.Pin.Set && !n.pools.index.regionServes(reported.Region, c.Target(), c.Routed.Pin) {
			continue
		}
		load := reported.Load
		load.TTFT += n.remoteDelay(c, reported, local, len(snap.members.AcceptingVMs(n.deployment.Region)))
		load.TotalTime = load.TTFT + time.Duration(local.AnswerTokens*float64(reported.timePerToken))
		load.TotalTimeP90 = load.TTFT + time.Duration(local.AnswerTokensP90*float64(reported.timePerToken))
		out = append(out, load)
	}
	return out
}

// remoteDelay returns how much later the first token of a call arrives than the region
// reported. It corrects for the length of the prompt and for calls sent there since the
// report.
func (n *Node) remoteDelay(c *call.Call, reported regionLoad, local placement.Load, vms int) time.Duration {
	if reported.prefillTokensPerSecond <= 0 || c.PromptTokens == 0 {
		return 0
	}
	sentTokens := 0.0
	if n.settings.Enabled(settings.SentAway) {
		sentTokens = n.sentAway.Since(reported.Region, c.Target(), reported.reportedAt.Add(-reported.RoundTrip/2), vms)
	}
	queued := placement.BacklogPerEndpoint(sentTokens, reported.Endpoints, reported.prefillTokensPerSecond, n.now().Sub(reported.reportedAt))
	tokens := local.PrefillTokens - referencePromptTokens + queued
	return time.Duration(tokens / reported.prefillTokensPerSecond * float64(time.Second))
}
