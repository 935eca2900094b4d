package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

const (
	promptHeader = "X-Fuchsianotch-Prompt-Prefix"
	// firstPart begins all prompts. harmfulPart crashes the replicas that begin to answer it.
	firstPart   = "a1"
	harmfulPart = "dead"
	// otherParts is the number of parts that harmless and harmful prompts share beside the first.
	otherParts = 4
	// soundClients is the number of clients that send harmless prompts.
	soundClients = 6
	// partCrashes is the number of crashed replicas after which a part must be quarantined on
	// all VMs within propagationTime. maxPartCallsAfter calls with it may reach replicas then.
	partCrashes       = 5
	maxPartCallsAfter = 3
	// minSoundCalls harmless prompts must begin at least at minSoundShare of their usual rate
	// from soundRecoveryTime after that number of crashes.
	minSoundCalls     = 20
	minSoundShare     = 0.5
	soundRecoveryTime = 2 * propagationTime
	// partCallInterval is the mean interval between two calls with the harmful part.
	partCallInterval = 300 * time.Millisecond
)

// partPaths are the paths of calls with prompts: to be run once, and to be resumed.
var partPaths = []string{"/stream/once/prompt", "/stream/resume/prompt"}

// prompt is the value of the prompt header of an attempt; empty for none.
type prompt string

func (p prompt) isHarmful() bool {
	return strings.Contains(string(p), harmfulPart+":")
}

// body returns a body that only calls with the same prompt have.
func (p prompt) body() string {
	return string(p) + strings.Repeat("b", 600)
}

// newPrompt returns a prompt whose last part no other prompt has.
func newPrompt(harmful bool) prompt {
	shared := fmt.Sprintf("%s:200,b%d:400", firstPart, rand.IntN(otherParts))
	if harmful {
		shared += "," + harmfulPart + ":90"
	}
	return prompt(fmt.Sprintf("%s,%x:28", shared, rand.Uint64()))
}

// crashPoint returns how far a replica gets with its answer to a request before the request
// crashes it.
func crashPoint(req *http.Request) replica.CrashPoint {
	if isCrashingPath(req.URL.Path) {
		return replica.CrashUnread
	}
	if !prompt(req.Header.Get(promptHeader)).isHarmful() {
		return replica.CrashNever
	}
	points := []replica.CrashPoint{replica.CrashBeforeHead, replica.CrashAfterHead, replica.CrashWithinEvent, replica.CrashAfterEvent, replica.CrashAfterAnswer}
	return points[hashOf(req.Header.Get(attemptHeader))%uint64(len(points))]
}

// endsWithConnection reports whether the answer to a request has neither a length nor chunks.
func endsWithConnection(req *http.Request) bool {
	return req.Header.Get(promptHeader) != "" && hashOf("framing "+req.Header.Get(attemptHeader))%2 == 0
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	// Write on a hash never returns an error.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// runCrashingParts sends calls that have a harmful part in common beside harmless ones that
// have their other parts.
func runCrashingParts(ctx context.Context, tb *testbed, load *loadGenerator) []Violation {
	var senders sync.WaitGroup
	soundCtx, stop := context.WithCancel(load.ctx)
	for i := range soundClients {
		c := tb.newClient(regionName(i%tb.Regions), &load.lastID)
		c.newPrompt = func() prompt { return newPrompt(false) }
		senders.Go(func() { c.run(soundCtx) })
	}
	sleep(ctx, settleTime)
	tb.sendHarmfulPart(load)
	stop()
	senders.Wait()
	return nil
}

// sendHarmfulPart sends calls with the harmful part to random VMs for FaultDuration. Some of
// them repeat the one before.
func (tb *testbed) sendHarmfulPart(load *loadGenerator) {
	var tries sync.WaitGroup
	defer tries.Wait()
	ctx := load.ctx
	c := tb.newClient(regionName(0), &load.lastID)
	var next prompt
	end := time.Now().Add(tb.FaultDuration)
	for time.Now().Before(end) && ctx.Err() == nil {
		if next == "" || rand.IntN(3) > 0 {
			next = newPrompt(true)
		}
		sent, p := *c, next
		sent.newPrompt = func() prompt { return p }
		v, path := tb.vms[rand.IntN(len(tb.vms))], partPaths[rand.IntN(len(partPaths))]
		tries.Go(func() { sent.resumeStream(ctx, sent.send(ctx, v, path, serviceEngine, http.MethodPost, nil)) })
		sleep(ctx, time.Duration(rand.Int64N(int64(2*partCallInterval))))
	}
}

// harmfulRuns returns the runs of calls with the harmful part, in order of time.
func (l *ledger) harmfulRuns() (out []replica.Run) {
	for _, r := range l.runs {
		if r.Harmful && !r.Refused {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b replica.Run) int { return a.At.Compare(b.At) })
	return out
}

// partQuarantinedAt returns when enough replicas have crashed under the harmful part, zero if
// too few have, and when the last one has.
func partQuarantinedAt(runs []replica.Run) (quarantined, last time.Time) {
	crashed := make(map[string]bool)
	for _, r := range runs {
		if crashed[r.Replica] {
			continue
		}
		crashed[r.Replica] = true
		last = r.At
		if len(crashed) == partCrashes {
			quarantined = r.At
		}
	}
	return quarantined, last
}

// checkCrashingParts checks that calls with a part that has crashed partCrashes replicas no
// longer reach replicas.
func (l *ledger) checkCrashingParts() []string {
	runs := l.harmfulRuns()
	quarantined, _ := partQuarantinedAt(runs)
	if quarantined.IsZero() {
		return nil
	}
	after := make(map[string]bool)
	for _, r := range runs {
		if r.At.Sub(quarantined) > propagationTime && l.isUndisturbed(r.At) {
			after[r.Attempt+" "+r.Replica] = true
		}
	}
	if len(after) <= maxPartCallsAfter {
		return nil
	}
	return []string{fmt.Sprintf("%d calls with a part reached replicas after it had crashed %d", len(after), partCrashes)}
}

// checkSoundParts checks that harmless calls with the same first part go on to be served.
func (l *ledger) checkSoundParts() []string {
	runs := l.harmfulRuns()
	if len(runs) == 0 {
		return nil
	}
	quarantined, last := partQuarantinedAt(runs)
	if quarantined.IsZero() {
		quarantined = last
	}
	var before, after soundCalls
	for _, a := range l.attempts {
		if a.prompt == "" || a.prompt.isHarmful() || a.resumes != "" || l.vmDisturbed(a.vm, a.sentAt) || !l.isUndisturbed(a.sentAt) {
			continue
		}
		switch {
		case a.sentAt.Before(runs[0].At.Add(-time.Second)):
			before.add(a)
		case a.sentAt.Sub(quarantined) > soundRecoveryTime:
			after.add(a)
		}
	}
	if min(before.sent, after.sent) < minSoundCalls || after.share() >= minSoundShare*before.share() {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d harmless calls with the first part began, %d of %d before", after.began, after.sent, before.began, before.sent)}
}

// soundCalls counts harmless calls, and those that got an event at their first attempt.
type soundCalls struct {
	sent, began int
}

func (s *soundCalls) add(a attempt) {
	s.sent++
	if len(a.versions) > 0 || a.complete {
		s.began++
	}
}

func (s *soundCalls) share() float64 {
	return float64(s.began) / float64(max(s.sent, 1))
}
