// Package quarantine decides which calls are no longer sent to endpoints because
// endpoints that ran them crashed. A call is identified by a hash of its content, as
// retries by the caller have new ids. Each VM reports the crashes it observes to the
// two VMs that own the content. These count them and, when enough endpoints have
// crashed, send a verdict to all VMs.
//
// The package is a state machine for one goroutine: time is passed in, and the caller
// sends the notes.
package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToQuarantine is the number of endpoints that must have crashed while they
	// ran a call. With fewer, the crashes may have other causes.
	crashesToQuarantine = 3
	// crashesWhilePartitioned is the same while other VMs are unreachable, which may
	// have seen further crashes.
	crashesWhilePartitioned = 2
	// crashRetention is how long a crash counts. Callers that repeat a call do so
	// within minutes.
	crashRetention = 30 * time.Minute
	// provenCrashWindow is the same for a call that recently succeeded, such as one
	// that many callers send. Only crashes at nearly the same time count, since it
	// succeeded between others.
	provenCrashWindow = 5 * time.Second
	// initialHold is how long a call is quarantined before its first trial. Each trial
	// that crashes another endpoint multiplies the time by holdGrowthFactor, so that three
	// trials take over an hour.
	// provenInitialHold applies to a call that recently succeeded, which must not be
	// blocked for long when several endpoints fail at once for another reason.
	initialHold       = time.Minute
	provenInitialHold = time.Second
	holdGrowthFactor  = 8
	// clearedRetention is how long the end of a quarantine is distributed.
	clearedRetention = time.Minute
	// maxHold bounds the time to the next trial. A verdict expires when it has not
	// changed for that long.
	maxHold = 24 * time.Hour
	// maxSuspects, maxVerdicts and maxLocalCrashes bound the memory in use, at about
	// 100 bytes an entry. The oldest entries are evicted.
	maxSuspects     = 2048
	maxVerdicts     = 256
	maxLocalCrashes = 512
)

// healthyAnswerDuration is how long an endpoint must have been answering a call for a
// later crash not to be attributed to it. A harmful call crashes its endpoint within some
// 0.1 s of starting to run.
const healthyAnswerDuration = 2 * time.Second

// MayHaveCrashed reports whether a call whose answer began at firstAt and broke off at
// brokeAt may have crashed its endpoint. A zero firstAt means that the answer never
// began.
func MayHaveCrashed(firstAt, brokeAt time.Time) bool {
	return firstAt.IsZero() || brokeAt.Sub(firstAt) < healthyAnswerDuration
}

// Crash is the crash of an endpoint that was running a call.
type Crash struct {
	Content uint64
	// Incarnation is a hash of the endpoint's id and incarnation.
	Incarnation uint64
	At          time.Time
	// RecentlySucceeded is set if the call recently succeeded on the VM that observed the crash.
	RecentlySucceeded bool
}

// Verdict starts or ends the quarantine of a call.
type Verdict struct {
	Content uint64
	// Version increases with each change; the highest one is valid.
	Version uint32
	// Crashes is the number of endpoints that crashed while they ran the call, and
	// Failed the number of them that crashed during trials.
	Crashes      int
	FailedTrials int
	Proven       bool
	// NextTrialAt is when the next trial is allowed.
	NextTrialAt time.Time
	Cleared     bool
	expiresAt   time.Time
	// decidedLocally is set if this VM made the verdict, and therefore distributes it
	// even if it is not an owner.
	decidedLocally bool
}

// List is the quarantine state of one VM. It is not safe for concurrent use.
type List struct {
	self string
	// partitioned is set while other VMs are unreachable.
	partitioned  bool
	localCrashes []*localCrash
	suspects     map[uint64]*suspect
	verdicts     map[uint64]*Verdict
	// peers holds what other VMs have received, by VM id.
	peers map[string]*peerState
}

// suspect counts the crashes of a call that is not quarantined.
type suspect struct {
	crashes []Crash
	proven  bool
	lastAt  time.Time
}

// New creates an empty List for the VM with the id self.
func New(self string) *List {
	return &List{
		self:     self,
		suspects: make(map[uint64]*suspect),
		verdicts: make(map[uint64]*Verdict),
		peers:    make(map[string]*peerState),
	}
}

// AddCrash adds a crash that this VM observed, to be reported to the owners of the
// content.
func (l *List) AddCrash(c Crash) {
	if len(l.localCrashes) >= maxLocalCrashes {
		l.localCrashes = slices.Delete(l.localCrashes, 0, 1)
	}
	l.localCrashes = append(l.localCrashes, &localCrash{
		Crash:          c,
		acknowledgedBy: make(map[string]uint64),
	})
}

// IsEmpty reports whether there is nothing to send and no call in quarantine.
func (l *List) IsEmpty() bool {
	return len(l.localCrashes) == 0 && len(l.suspects) == 0 && len(l.verdicts) == 0
}

// recordCrash counts a crash as an owner of its content.
func (l *List) recordCrash(c Crash, now time.Time) {
	if now.Sub(c.At) > crashRetention {
		return
	}
	if v, ok := l.verdicts[c.Content]; ok && !v.Cleared {
		l.recordTrialCrash(v, c, now)
		return
	}
	s := l.suspect(c.Content)
	if slices.ContainsFunc(s.crashes, func(known Crash) bool { return known.Incarnation == c.Incarnation }) {
		return
	}
	s.crashes = append(s.crashes, c)
	s.proven = s.proven || c.RecentlySucceeded
	s.lastAt = now
	s.dropExpired(now)
	if len(s.crashes) < l.crashThreshold() {
		return
	}
	l.setVerdict(Verdict{
		Content:     c.Content,
		Crashes:     len(s.crashes),
		Proven:      s.proven,
		NextTrialAt: now.Add(holdDuration(s.proven, 0)),
	}, now)
	delete(l.suspects, c.Content)
}

// crashThreshold is the number of crashes at which a call is quarantined.
func (l *List) crashThreshold() int {
	if l.partitioned {
		return crashesWhilePartitioned
	}
	return crashesToQuarantine
}

// recordTrialCrash counts a crash under a quarantined call. Crashes before the next
// trial is due come from calls that were already running and change nothing.
func (l *List) recordTrialCrash(v *Verdict, c Crash, now time.Time) {
	if c.At.Before(v.NextTrialAt) {
		return
	}
	next := *v
	next.Crashes++
	next.FailedTrials++
	next.NextTrialAt = now.Add(holdDuration(v.Proven, next.FailedTrials))
	l.setVerdict(next, now)
}

// holdDuration is the time to the next trial after the given number of failed ones.
func holdDuration(proven bool, failedTrials int) time.Duration {
	hold := initialHold
	if proven {
		hold = provenInitialHold
	}
	for range failedTrials {
		hold = min(hold*holdGrowthFactor, maxHold)
	}
	return hold
}

// setVerdict stores a verdict as a new version.
func (l *List) setVerdict(v Verdict, now time.Time) {
	if known, ok := l.verdicts[v.Content]; ok {
		v.Version = known.Version
	}
	v.Version++
	v.decidedLocally = true
	l.storeVerdict(v, now)
}

func (l *List) storeVerdict(v Verdict, now time.Time) {
	v.expiresAt = now.Add(maxHold)
	if v.Cleared {
		v.expiresAt = now.Add(clearedRetention)
	}
	if _, known := l.verdicts[v.Content]; !known && len(l.verdicts) >= maxVerdicts {
		l.dropOldestVerdict()
	}
	l.verdicts[v.Content] = &v
}

// Succeeded ends the quarantine of a call that has succeeded.
func (l *List) Succeeded(content uint64, now time.Time) {
	l.dropEvidence(content)
	v, ok := l.verdicts[content]
	if !ok || v.Cleared {
		return
	}
	l.setVerdict(Verdict{
		Content: content,
		Cleared: true,
	}, now)
}

// dropEvidence removes the crashes of a content, including those observed here, which
// would otherwise be reported again to a new owner.
func (l *List) dropEvidence(content uint64) {
	delete(l.suspects, content)
	l.localCrashes = slices.DeleteFunc(l.localCrashes, func(w *localCrash) bool { return w.Content == content })
}

// suspect returns the entry of a content, and creates it if necessary.
func (l *List) suspect(content uint64) *suspect {
	if s, ok := l.suspects[content]; ok {
		return s
	}
	if len(l.suspects) >= maxSuspects {
		l.dropOldestSuspect()
	}
	s := &suspect{}
	l.suspects[content] = s
	return s
}

func (l *List) dropOldestSuspect() {
	var oldest uint64
	var at time.Time
	for content, s := range l.suspects {
		if at.IsZero() || s.lastAt.Before(at) {
			oldest, at = content, s.lastAt
		}
	}
	delete(l.suspects, oldest)
}

func (l *List) dropOldestVerdict() {
	var oldest uint64
	var at time.Time
	for content, v := range l.verdicts {
		if at.IsZero() || v.expiresAt.Before(at) {
			oldest, at = content, v.expiresAt
		}
	}
	delete(l.verdicts, oldest)
}

// dropExpired removes the crashes that no longer count.
func (s *suspect) dropExpired(now time.Time) {
	retention := crashRetention
	if s.proven {
		retention = provenCrashWindow
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return now.Sub(c.At) > retention })
}

// Step removes expired entries.
func (l *List) Step(now time.Time) {
	for content, s := range l.suspects {
		s.dropExpired(now)
		if len(s.crashes) == 0 {
			delete(l.suspects, content)
		}
	}
	for content, v := range l.verdicts {
		if !now.Before(v.expiresAt) {
			delete(l.verdicts, content)
		}
	}
	l.localCrashes = slices.DeleteFunc(l.localCrashes, func(w *localCrash) bool { return now.Sub(w.At) > crashRetention })
}
