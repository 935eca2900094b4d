package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

const (
	lastEventHeader = "Last-Event-Id"
	// resumesHeader names the attempt that brought a stream's first event.
	resumesHeader = "Resumes"
	resumePath    = replica.ResumablePath
	// maxResumes is how often a client resumes one stream, after resumeDelay each.
	maxResumes  = 3
	resumeDelay = 30 * time.Millisecond
	// resumableTime is how long after a request with the stream's events VMs know its origin:
	// until its deadline and resumeMargin of package site.
	resumableTime = clientDeadline + 2*time.Second
	// maxMixedStreams is how many streams of a run may hold events of two versions.
	maxMixedStreams = 2
	// minResumedStreams resumed streams must go on at least at minResumedShare of the rate at
	// which new streams begin.
	minResumedStreams = 12
	minResumedShare   = 0.5
	// breakInterval is the time between two ends of engines or VMs.
	breakInterval = 700 * time.Millisecond
	breakTime     = 14 * time.Second
)

// brokenStream is a stream that ended early at a client.
type brokenStream struct {
	held      credential
	prompt    prompt
	first     string
	version   string
	lastEvent int
	serves    bool
	// resumableUntil is when VMs may forget the stream's origin.
	resumableUntil time.Time
}

func (b *brokenStream) describe(a *attempt) {
	if b == nil {
		return
	}
	a.held = b.held
	a.prompt = b.prompt
	a.resumes = b.first
	a.lastEvent = b.lastEvent
	a.enginesServe = b.serves
}

// resumeStream resumes a stream that broke off after its first event, at any VM.
func (c *client) resumeStream(ctx context.Context, a attempt) {
	broken := &brokenStream{
		held:   a.held,
		prompt: a.prompt,
		first:  a.id,
	}
	for range maxResumes {
		if !strings.HasPrefix(a.path, resumePath) || a.complete || a.failure != "" || ctx.Err() != nil {
			return
		}
		if len(a.versions) > 0 {
			broken.lastEvent += len(a.versions)
			broken.resumableUntil = a.sentAt.Add(resumableTime)
			if broken.version == "" {
				broken.version = a.versions[0]
			}
		}
		if broken.lastEvent == 0 {
			return
		}
		sleep(ctx, resumeDelay)
		c.resolve(ctx)
		v := c.pickVMBut(a.vm)
		if v == nil {
			return
		}
		broken.serves = c.world.enginesServe(broken.version) && time.Now().Before(broken.resumableUntil)
		a = c.send(ctx, v, a.path, a.service, http.MethodPost, broken)
	}
}

// enginesServe reports whether two engines of a version take requests, and at least half of as
// many as it started with. An empty version stands for all.
func (tb *testbed) enginesServe(version string) bool {
	started := tb.Regions * tb.Engines
	if version != "" {
		started /= max(tb.Versions, 1)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	serving := 0
	for _, r := range tb.replicas {
		if !r.retired && r.Service == serviceEngine && (version == "" || r.Version == version) && r.ColdFor() == 0 {
			serving++
		}
	}
	return serving >= 2 && 2*serving >= started
}

func (a *attempt) setResumeHeaders(h http.Header) {
	if a.resumes == "" {
		return
	}
	h.Set(lastEventHeader, strconv.Itoa(a.lastEvent))
	h.Set(resumesHeader, a.resumes)
}

// checkStream checks that a stream has every event after lastEvent, in order and once.
func (a *attempt) checkStream(data []byte, err error) {
	text := string(data)
	number := a.lastEvent
	for {
		text = trimComments(text)
		prefix := fmt.Sprintf("id: %d\ndata: %s.%d ", number+1, a.id, number+1)
		rest, found := strings.CutPrefix(text, prefix)
		if !found {
			if !strings.HasPrefix(prefix, text) {
				a.failure = fmt.Sprintf("after event %d: %.60q", number, text)
				return
			}
			break
		}
		version, next, complete := strings.Cut(rest, "\n\n")
		if !complete {
			break
		}
		a.versions = append(a.versions, version)
		text = next
		number++
	}
	switch {
	case err != nil:
		a.connectionLost = true
	case number != streamEvents:
		a.failure = fmt.Sprintf("a stream ended as whole after event %d", number)
	default:
		a.complete = true
	}
}

// trimComments removes the comments before an event.
func trimComments(text string) string {
	for strings.HasPrefix(text, ":") {
		_, text, _ = strings.Cut(text, "\n")
		text = strings.TrimPrefix(text, "\n")
	}
	return text
}

// checkStreamVersions checks that streams, over all tries of their clients, hold events of one
// version only.
func (l *ledger) checkStreamVersions() (out []string) {
	versions := make(map[string][]string)
	var mixed []string
	for _, a := range l.attempts {
		stream := a.id
		if a.resumes != "" {
			stream = a.resumes
		}
		for _, v := range a.versions {
			if !slices.Contains(versions[stream], v) {
				versions[stream] = append(versions[stream], v)
			}
		}
	}
	for stream, list := range versions {
		if len(list) > 1 {
			mixed = append(mixed, fmt.Sprintf("%s of %v", stream, list))
		}
	}
	if len(mixed) > maxMixedStreams {
		slices.Sort(mixed)
		out = append(out, fmt.Sprintf("%d streams hold events of two versions, such as %s", len(mixed), mixed[0]))
	}
	return out
}

// streamCounts counts requests for streams, new ones and those to resume one, each with those
// that got an event.
type streamCounts struct {
	began, beganOn, resumed, resumedOn int
}

// countStreams counts requests at VMs that are not disturbed, sent while enough engines serve.
// It leaves out the workspaces with a limit and the harmful prompts, which are refused.
func (l *ledger) countStreams() (n streamCounts) {
	for _, a := range l.attempts {
		if !strings.HasPrefix(a.path, resumePath) || !a.held.expectServed || !a.enginesServe || a.prompt.isHarmful() ||
			l.vmDisturbed(a.vm, a.sentAt) || !l.isUndisturbed(a.sentAt) {
			continue
		}
		on := 0
		if len(a.versions) > 0 || a.complete {
			on = 1
		}
		if a.resumes == "" {
			n.began++
			n.beganOn += on
			continue
		}
		n.resumed++
		n.resumedOn += on
	}
	return n
}

// checkResumedStreams checks that streams that clients resume go on.
func (l *ledger) checkResumedStreams() (out []string) {
	n := l.countStreams()
	if n.resumed < minResumedStreams || n.began == 0 {
		return nil
	}
	share, newShare := float64(n.resumedOn)/float64(n.resumed), float64(n.beganOn)/float64(n.began)
	if share < minResumedShare*newShare {
		out = append(out, fmt.Sprintf("%d of %d resumed streams went on, %.2f of new ones began", n.resumedOn, n.resumed, newShare))
	}
	return out
}

// recordVMDown records that a VM is stopped, killed or suspended now.
func (l *ledger) recordVMDown(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vmDown[name] = append(l.vmDown[name], interval{from: time.Now()})
}

// vmDisturbed reports whether a VM was down at a time, or has run for less than settleTime.
func (l *ledger) vmDisturbed(name string, at time.Time) bool {
	return slices.ContainsFunc(l.vmDown[name], func(down interval) bool {
		if !down.to.IsZero() {
			down.to = down.to.Add(settleTime)
		}
		return down.contains(at)
	})
}

// runStreamVersions ends engines and VMs in turn while streams of several versions are under
// way, and then injects random faults.
func runStreamVersions(ctx context.Context, tb *testbed, _ *loadGenerator) (out []Violation) {
	sleep(ctx, settleTime)
	end := time.Now().Add(breakTime)
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		d := faultParams{
			vm:      tb.rand.IntN(len(tb.vms)),
			replica: tb.rand.IntN(1 << 16),
			variant: 1,
		}
		tb.breakStreams(ctx, number, d)
		sleep(ctx, breakInterval)
	}
	tb.setFaultRate(0)
	tb.inject(ctx)
	return out
}

// breakStreams crashes or drains an engine, or kills a VM, in turn; answers break off meanwhile.
func (tb *testbed) breakStreams(ctx context.Context, number int, d faultParams) {
	tb.setFaultRate(0.2)
	switch number % 4 {
	case 0:
		tb.logSchedule("crash %+v", d)
		go func() { _ = tb.crashReplica(ctx, d) }()
	case 1:
		tb.logSchedule("drain %+v", d)
		go func() { _ = tb.drainReplica(ctx, d) }()
	case 2:
		tb.logSchedule("kill %+v", d)
		go func() { _ = tb.kill(ctx, d) }()
	}
}
