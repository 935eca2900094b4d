package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// suspect counts the crashes of a subject that is not quarantined.
type suspect struct {
	subject call.Subject
	crashes []Crash
	// answeredAt is the last known answer.
	answeredAt time.Time
	// suspectedAt is when all VMs were asked about a part; zero if they were not, or if an
	// answer has cleared it since.
	suspectedAt time.Time
	lastAt      time.Time
}

func (s *suspect) isProven() bool {
	return !s.answeredAt.IsZero()
}

// recordAnswer records an answer. A part that was answered after a crash has not caused it.
func (s *suspect) recordAnswer(at time.Time) {
	if !at.After(s.answeredAt) {
		return
	}
	s.answeredAt = at
	if !s.subject.IsPart() {
		return
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return !c.At.After(at) })
	if len(s.crashes) < crashesToSuspect {
		s.suspectedAt = time.Time{}
	}
}

// dropExpired removes the crashes that no longer count.
func (s *suspect) dropExpired(now time.Time) {
	retention := crashRetention
	if s.isProven() && !s.subject.IsPart() {
		retention = provenCrashWindow
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return now.Sub(c.At) > retention })
}

// suspect returns the entry of a subject, and creates it if necessary.
func (l *List) suspect(subject call.Subject) *suspect {
	if s, ok := l.suspects[subject]; ok {
		return s
	}
	if len(l.suspects) >= maxSuspects {
		l.evictSuspect()
	}
	s := &suspect{
		subject: subject,
	}
	l.suspects[subject] = s
	return s
}

// evictSuspect removes the suspect with the fewest crashes, the oldest of several.
func (l *List) evictSuspect() {
	var least *suspect
	for _, s := range l.suspects {
		if least == nil || s.rankBelow(least) {
			least = s
		}
	}
	delete(l.suspects, least.subject)
}

// rankBelow orders suspects by number of crashes, age and subject.
func (s *suspect) rankBelow(other *suspect) bool {
	return cmp.Or(
		cmp.Compare(len(s.crashes), len(other.crashes)),
		s.lastAt.Compare(other.lastAt),
		cmp.Compare(s.subject, other.subject),
	) < 0
}

func incarnationsOf(crashes []Crash) []uint64 {
	out := make([]uint64, 0, min(len(crashes), maxIncarnations))
	for _, c := range crashes[max(len(crashes)-maxIncarnations, 0):] {
		out = append(out, c.Incarnation)
	}
	return out
}

func callsOf(crashes []Crash) int {
	calls := 0
	for _, c := range crashes {
		calls += c.Calls
	}
	return calls
}

// evidence is what subjects that may explain the same crashes are compared by.
type evidence struct {
	subject      call.Subject
	proven       bool
	incarnations []uint64
	calls        int
}

func (v *Verdict) evidence() evidence {
	return evidence{
		subject:      v.Subject,
		proven:       v.Proven,
		incarnations: v.Incarnations,
		calls:        v.Calls,
	}
}

// outranks reports whether the crashes of e explain those that both subjects have in common:
// a harmful subject is answered nowhere, and is in more crashes than what keeps it company.
// Of several in the same crashes it is the one that fewer calls have, as what most calls
// have is in every crash.
func (e evidence) outranks(other evidence) bool {
	if e.proven != other.proven {
		return !e.proven
	}
	if len(e.incarnations) != len(other.incarnations) {
		return len(e.incarnations) > len(other.incarnations)
	}
	if e.calls != other.calls {
		return e.calls < other.calls
	}
	return !e.subject.IsPart() && other.subject.IsPart()
}

// isExplained reports whether a quarantined subject that outranks e has caused the crash of
// an endpoint.
func (l *List) isExplained(e evidence, incarnation uint64) bool {
	if l.quarantinedBy == nil {
		l.indexQuarantined()
	}
	return slices.ContainsFunc(l.quarantinedBy[incarnation], func(v *Verdict) bool {
		return v.Subject != e.subject && v.evidence().outranks(e)
	})
}

func (l *List) indexQuarantined() {
	l.quarantinedBy = make(map[uint64][]*Verdict)
	for _, v := range l.verdicts {
		if v.State != StateQuarantined {
			continue
		}
		for _, incarnation := range v.Incarnations {
			l.quarantinedBy[incarnation] = append(l.quarantinedBy[incarnation], v)
		}
	}
}

// unexplainedCrashes returns the crashes of a suspect that no quarantined subject explains.
func (l *List) unexplainedCrashes(s *suspect) []Crash {
	e := evidence{
		subject:      s.subject,
		proven:       s.isProven(),
		incarnations: incarnationsOf(s.crashes),
		calls:        callsOf(s.crashes),
	}
	var out []Crash
	for _, c := range s.crashes {
		if !l.isExplained(e, c.Incarnation) {
			out = append(out, c)
		}
	}
	return out
}

// suspectOf returns the suspect for a subject that is no longer quarantined, but whose crashes
// count on.
func suspectOf(v *Verdict, now time.Time) *suspect {
	s := &suspect{
		subject: v.Subject,
		lastAt:  now,
	}
	for _, incarnation := range v.Incarnations {
		s.crashes = append(s.crashes, Crash{
			Subject:     v.Subject,
			Incarnation: incarnation,
			At:          v.CrashedAt,
		})
	}
	if len(s.crashes) > 0 {
		s.crashes[0].Calls = v.Calls
	}
	return s
}

// reconsider ends the quarantine of a subject whose crashes another one explains, and allows
// an early trial if another one may explain them as well.
func (l *List) reconsider(v *Verdict, now time.Time) {
	threshold := crashesToQuarantine
	if !v.Subject.IsPart() {
		threshold = crashesWhilePartitioned
	}
	unexplained := 0
	for _, incarnation := range v.Incarnations {
		if !l.isExplained(v.evidence(), incarnation) {
			unexplained++
		}
	}
	next := *v
	switch {
	case unexplained < threshold:
		next.State = StateSuspected
		l.setVerdict(next, now)
	case v.Trials == 0 && v.NextTrialAt.Sub(now) > shortHold && l.isAmbiguous(v):
		next.NextTrialAt = now.Add(shortHold)
		l.setVerdict(next, now)
	}
}

// isAmbiguous reports whether another quarantined subject is in the same crashes and neither
// outranks the other.
func (l *List) isAmbiguous(v *Verdict) bool {
	if len(v.Incarnations) == 0 {
		return false
	}
	e := v.evidence()
	for _, other := range l.quarantinedBy[v.Incarnations[0]] {
		if other.Subject == v.Subject || e.outranks(other.evidence()) || other.evidence().outranks(e) {
			continue
		}
		if !slices.ContainsFunc(v.Incarnations, func(i uint64) bool { return !slices.Contains(other.Incarnations, i) }) {
			return true
		}
	}
	return false
}
