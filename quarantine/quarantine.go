// Package quarantine decides which calls are no longer sent to endpoints because
// endpoints that ran such calls crashed. A crash is attributed to subjects: the content
// of each call that the endpoint ran, as retries by callers have new ids, and the parts of
// its prompt, which calls of other contents share. Each VM reports the crashes it observes to
// the two VMs that own a subject. These count them, ask all VMs whether calls with a
// suspected part are answered, and when enough endpoints have crashed, send a verdict to
// all VMs.
//
// The package is a state machine for one goroutine: time is passed in, and the caller
// sends the notes.
package quarantine

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

const (
	// crashesToQuarantine is the number of endpoints that must have crashed under a subject.
	// With fewer, the crashes may have other causes.
	crashesToQuarantine = 3
	// crashesWhilePartitioned is the same for a content while other VMs are unreachable,
	// which may have seen further crashes.
	crashesWhilePartitioned = 2
	// crashesToSuspect is the number of crashes at which all VMs are asked whether calls
	// with a part are answered.
	crashesToSuspect = 2
	// crashRetention is how long a crash counts. Callers that repeat a call do so
	// within minutes.
	crashRetention = 30 * time.Minute
	// provenCrashWindow is the same for a content that recently succeeded, such as one
	// that many callers send. Only crashes at nearly the same time count, since it
	// succeeded between others.
	provenCrashWindow = 5 * time.Second
	// answerWait is how long VMs have to report answers before a part is quarantined: a
	// step of theirs, and the ways there and back between the most distant regions.
	answerWait = 500 * time.Millisecond
	// silenceOfProven is how long no VM must have known an answer to a part that had been
	// answered before. Crashes at nearly the same time have other causes.
	silenceOfProven = 3 * time.Second
	// initialHold is how long a subject is quarantined before its first trial. Each trial
	// multiplies the time by holdGrowthFactor, so that maxTrials take over an hour.
	// shortHold applies to a subject that recently succeeded, and to one of several that
	// explain the same crashes: sound calls must not be blocked for long.
	initialHold      = time.Minute
	shortHold        = time.Second
	holdGrowthFactor = 8
	// maxTrials is the number of trials before maxHold applies.
	maxTrials = 3
	// suspicionRetention is how long VMs report answers to a suspected part, and
	// releasedRetention how long the end of a quarantine is distributed.
	suspicionRetention = time.Minute
	releasedRetention  = time.Minute
	// maxHold bounds the time to the next trial. A quarantine expires when it has not
	// changed for that long.
	maxHold = 24 * time.Hour
	// maxSuspects, maxVerdicts and maxLocalCrashes bound the memory in use, at about
	// 100 bytes an entry. Entries with the fewest crashes are evicted first, so that many new
	// subjects do not displace a harmful one.
	maxSuspects     = 2048
	maxVerdicts     = 256
	maxLocalCrashes = 2048
	// expiryInterval is how often suspects are checked for crashes that no longer count,
	// which do so for seconds at least.
	expiryInterval = time.Second
	// maxIncarnations bounds the crashed endpoints that a verdict lists.
	maxIncarnations = 16
)

// Crash is the crash of an endpoint that was running a call.
type Crash struct {
	Subject call.Subject
	// Incarnation is a hash of the endpoint's id and incarnation.
	Incarnation uint64
	At          time.Time
	// Calls is the number of calls with the subject that the VM saw interrupted.
	Calls int
	// AnsweredAt is when the VM that observed the crash last knew an answer to a call with
	// the subject; zero if it knows none.
	AnsweredAt time.Time
}

// Answer is a sound answer to a call with a suspected or quarantined part.
type Answer struct {
	Subject call.Subject
	At      time.Time
}

// List is the quarantine state of one VM. It is not safe for concurrent use.
type List struct {
	self    string
	answers *Answers
	// partitioned is set while other VMs are unreachable.
	partitioned  bool
	localCrashes []*localCrash
	suspects     map[call.Subject]*suspect
	verdicts     map[call.Subject]*Verdict
	// quarantinedBy indexes the quarantined subjects by the endpoints that crashed under them;
	// nil if it is outdated. unreconsidered is set until they were compared with each other.
	quarantinedBy  map[uint64][]*Verdict
	unreconsidered bool
	// sortedSubjects are those of verdicts in order; nil if it is outdated.
	sortedSubjects []call.Subject
	// undelivered are the subjects of verdicts that some VM may not have received.
	undelivered map[call.Subject]struct{}
	// expireAt is when suspects are next checked for crashes that no longer count.
	expireAt time.Time
	owners   *ownerIndex
	// peers holds what other VMs have received, by VM id.
	peers map[string]*peerState
}

// New creates an empty List for the VM with the id self, which knows of the given answers.
func New(self string, answers *Answers) *List {
	return &List{
		self:        self,
		answers:     answers,
		suspects:    make(map[call.Subject]*suspect),
		verdicts:    make(map[call.Subject]*Verdict),
		undelivered: make(map[call.Subject]struct{}),
		owners:      &ownerIndex{},
		peers:       make(map[string]*peerState),
	}
}

// AddCrash adds a crash that this VM observed, to be reported to the owners of the
// subject.
func (l *List) AddCrash(c Crash) {
	if len(l.localCrashes) >= maxLocalCrashes {
		l.localCrashes = slices.Delete(l.localCrashes, 0, 1)
	}
	l.localCrashes = append(l.localCrashes, &localCrash{
		Crash:          c,
		acknowledgedBy: make(map[string]uint64),
	})
}

// IsEmpty reports whether there is nothing to send and no subject with a verdict.
func (l *List) IsEmpty() bool {
	return len(l.localCrashes) == 0 && len(l.suspects) == 0 && len(l.verdicts) == 0
}

// recordCrash counts a crash as an owner of its subject.
func (l *List) recordCrash(c Crash, now time.Time) {
	if now.Sub(c.At) > crashRetention {
		return
	}
	if v, ok := l.verdicts[c.Subject]; ok && v.State == StateQuarantined {
		l.recordCrashInQuarantine(v, c, now)
		return
	}
	s := l.suspect(c.Subject)
	if i := slices.IndexFunc(s.crashes, func(known Crash) bool { return known.Incarnation == c.Incarnation }); i >= 0 {
		s.crashes[i].Calls += c.Calls
		return
	}
	s.crashes = append(s.crashes, c)
	s.lastAt = now
	s.recordAnswer(c.AnsweredAt)
	s.recordAnswer(l.answers.At(c.Subject))
	l.decide(s, now)
}

// recordCrashInQuarantine counts a crash under a quarantined subject. Crashes before the
// next trial is due come from calls that were already running: they only show which
// endpoints the subject has crashed.
func (l *List) recordCrashInQuarantine(v *Verdict, c Crash, now time.Time) {
	next := *v
	isTrial := !c.At.Before(v.NextTrialAt)
	isNew := !slices.Contains(v.Incarnations, c.Incarnation) && len(v.Incarnations) < maxIncarnations
	if !isTrial && !isNew {
		return
	}
	if isNew {
		next.Incarnations = append(slices.Clone(v.Incarnations), c.Incarnation)
		next.Calls += c.Calls
	}
	if isTrial {
		next.Crashes++
		next.Trials++
		next.NextTrialAt = now.Add(holdDuration(v.Proven, next.Trials))
	}
	if c.At.After(v.CrashedAt) {
		next.CrashedAt = c.At
	}
	l.setVerdict(next, now)
}

// decide quarantines a suspect, or asks the other VMs about it.
func (l *List) decide(s *suspect, now time.Time) {
	s.dropExpired(now)
	counted := l.unexplainedCrashes(s)
	switch {
	case l.shouldQuarantine(s, counted, now):
		l.setVerdict(Verdict{
			Subject:      s.subject,
			State:        StateQuarantined,
			Crashes:      len(counted),
			Proven:       s.isProven(),
			NextTrialAt:  now.Add(holdDuration(s.isProven(), 0)),
			Incarnations: incarnationsOf(counted),
			CrashedAt:    counted[len(counted)-1].At,
			Calls:        callsOf(counted),
		}, now)
		delete(l.suspects, s.subject)
	case s.subject.IsPart() && s.suspectedAt.IsZero() && len(counted) >= crashesToSuspect:
		s.suspectedAt = now
		l.setVerdict(Verdict{
			Subject:      s.subject,
			State:        StateSuspected,
			Crashes:      len(counted),
			Incarnations: incarnationsOf(counted),
			CrashedAt:    counted[len(counted)-1].At,
			Calls:        callsOf(counted),
		}, now)
	}
}

// shouldQuarantine reports whether the crashes under a suspect suffice for its quarantine. A part
// is shared by many calls, so the VMs that may know answers to it are heard first.
func (l *List) shouldQuarantine(s *suspect, counted []Crash, now time.Time) bool {
	if !s.subject.IsPart() {
		return len(counted) >= l.contentThreshold()
	}
	if len(counted) < crashesToQuarantine || s.suspectedAt.IsZero() || now.Sub(s.suspectedAt) < answerWait {
		return false
	}
	return !s.isProven() || now.Sub(counted[0].At) >= silenceOfProven
}

// contentThreshold is the number of crashes at which a content is quarantined.
func (l *List) contentThreshold() int {
	if l.partitioned {
		return crashesWhilePartitioned
	}
	return crashesToQuarantine
}

// holdDuration is the time to the next trial after the given number of trials.
func holdDuration(short bool, trials int) time.Duration {
	if trials >= maxTrials {
		return maxHold
	}
	hold := initialHold
	if short {
		hold = shortHold
	}
	for range trials {
		hold *= holdGrowthFactor
	}
	return hold
}

// Succeeded ends the quarantine of a content that has succeeded. Answers to parts are
// reported to their owners in notes.
func (l *List) Succeeded(content call.Subject, now time.Time) {
	l.dropEvidence(content)
	if v, ok := l.verdicts[content]; ok && v.State == StateQuarantined {
		l.release(content, now)
	}
}

func (l *List) release(subject call.Subject, now time.Time) {
	l.setVerdict(Verdict{
		Subject: subject,
		State:   StateReleased,
	}, now)
}

// recordAnswer applies an answer to a part as an owner.
func (l *List) recordAnswer(a Answer, now time.Time) {
	if s, ok := l.suspects[a.Subject]; ok {
		s.recordAnswer(a.At)
	}
	if v, ok := l.verdicts[a.Subject]; ok && v.State == StateQuarantined && a.At.After(v.CrashedAt) {
		l.release(a.Subject, now)
	}
}

// TrialStarted counts a trial as it starts, so that no other follows while its result is
// unknown, wherever it was lost.
func (l *List) TrialStarted(subject call.Subject, now time.Time) {
	v, ok := l.verdicts[subject]
	if !ok || v.State != StateQuarantined {
		return
	}
	next := *v
	next.Trials++
	next.NextTrialAt = now.Add(holdDuration(v.Proven, next.Trials))
	l.setVerdict(next, now)
}

// TrialUnsent takes a trial back that reached no endpoint.
func (l *List) TrialUnsent(subject call.Subject, now time.Time) {
	v, ok := l.verdicts[subject]
	if !ok || v.State != StateQuarantined || v.Trials == 0 {
		return
	}
	next := *v
	next.Trials--
	next.NextTrialAt = now.Add(holdDuration(v.Proven, next.Trials))
	l.setVerdict(next, now)
}

// dropEvidence removes the crashes of a subject, including those observed here, which
// would otherwise be reported again to a new owner.
func (l *List) dropEvidence(subject call.Subject) {
	delete(l.suspects, subject)
	l.localCrashes = slices.DeleteFunc(l.localCrashes, func(w *localCrash) bool { return w.Subject == subject })
}

// Step removes what has expired or was answered, and decides on suspects that VMs were asked
// about.
func (l *List) Step(now time.Time) {
	expire := !now.Before(l.expireAt)
	if expire {
		l.expireAt = now.Add(expiryInterval)
	}
	var asked []call.Subject
	for subject, s := range l.suspects {
		if expire {
			s.dropExpired(now)
		}
		switch {
		case len(s.crashes) == 0:
			delete(l.suspects, subject)
		case !s.suspectedAt.IsZero():
			asked = append(asked, subject)
		}
	}
	slices.Sort(asked)
	for _, subject := range asked {
		if s := l.suspects[subject]; s != nil {
			l.decide(s, now)
		}
	}
	for _, v := range l.verdicts {
		if !now.Before(v.expiresAt) {
			l.removeVerdict(v)
		}
	}
	l.localCrashes = slices.DeleteFunc(l.localCrashes, func(w *localCrash) bool {
		return now.Sub(w.At) > crashRetention || w.Subject.IsPart() && l.answers.At(w.Subject).After(w.At)
	})
}
