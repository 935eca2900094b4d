package quarantine

import (
	"cmp"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// State is the state of a subject with a Verdict.
type State uint8

// The states. Of two verdicts with the same version the one with the higher state is valid.
const (
	// StateSuspected means that VMs report answers to calls with a part.
	StateSuspected State = iota + 1
	// StateReleased ends a suspicion or a quarantine.
	StateReleased
	// StateQuarantined means that calls are not sent to endpoints.
	StateQuarantined
)

// Verdict is what the owners of a subject tell all VMs about it.
type Verdict struct {
	Subject call.Subject
	// Version increases with each change; the highest one is valid.
	Version uint32
	State   State
	// Crashes is the number of endpoints that crashed under the subject, Trials the number
	// of trials, which are counted as they start.
	Crashes int
	Trials  int
	// Proven is set if the subject was answered before the crashes.
	Proven bool
	// NextTrialAt is when the next trial is allowed.
	NextTrialAt time.Time
	// Incarnations are the crashed endpoints, and CrashedAt is when the last one crashed.
	Incarnations []uint64
	CrashedAt    time.Time
	// Calls is the number of calls with the subject that the crashes interrupted.
	Calls     int
	expiresAt time.Time
	// decidedLocally is set if this VM made the verdict, and therefore distributes it
	// even if it is not an owner.
	decidedLocally bool
	// receivedFromOwner is set if a present owner sent the verdict. It distributes the verdict,
	// also to the other owner.
	receivedFromOwner bool
}

func (v *Verdict) supersedes(known *Verdict) bool {
	if v.Version != known.Version {
		return v.Version > known.Version
	}
	return v.State > known.State
}

// setVerdict stores a verdict as a new version. Versions begin at the time in seconds, as
// other VMs may remember a subject for longer than this one.
func (l *List) setVerdict(v Verdict, now time.Time) {
	v.Version = uint32(now.Unix())
	if known, ok := l.verdicts[v.Subject]; ok {
		v.Version = max(v.Version, known.Version+1)
	}
	v.decidedLocally = true
	v.receivedFromOwner = false
	l.storeVerdict(v, now)
}

func (l *List) storeVerdict(v Verdict, now time.Time) {
	switch v.State {
	case StateSuspected:
		v.expiresAt = now.Add(suspicionRetention)
	case StateReleased:
		v.expiresAt = now.Add(releasedRetention)
		l.dropEvidence(v.Subject)
	default:
		v.expiresAt = now.Add(maxHold)
	}
	known, ok := l.verdicts[v.Subject]
	if !ok && len(l.verdicts) >= maxVerdicts {
		l.evictVerdict()
	}
	if ok && known.State == StateQuarantined && v.State == StateSuspected {
		l.suspects[v.Subject] = suspectOf(known, now)
	}
	l.verdicts[v.Subject] = &v
	l.undelivered[v.Subject] = struct{}{}
	if !ok {
		l.sortedSubjects = nil
	}
	if v.State == StateQuarantined || ok && known.State == StateQuarantined {
		l.quarantinedBy = nil
		l.unreconsidered = true
	}
}

func (l *List) removeVerdict(v *Verdict) {
	delete(l.verdicts, v.Subject)
	delete(l.undelivered, v.Subject)
	l.sortedSubjects = nil
	l.forgetVersions(v.Subject)
	if v.State == StateQuarantined {
		l.quarantinedBy = nil
	}
}

// evictVerdict removes the verdict that matters least.
func (l *List) evictVerdict() {
	var least *Verdict
	for _, v := range l.verdicts {
		if least == nil || v.rankBelow(least) {
			least = v
		}
	}
	l.removeVerdict(least)
}

// rankBelow orders verdicts by state, number of crashes, age and subject.
func (v *Verdict) rankBelow(other *Verdict) bool {
	isHeld, otherHeld := v.State == StateQuarantined, other.State == StateQuarantined
	if isHeld != otherHeld {
		return otherHeld
	}
	if len(v.Incarnations) != len(other.Incarnations) {
		return len(v.Incarnations) < len(other.Incarnations)
	}
	return cmp.Or(v.expiresAt.Compare(other.expiresAt), cmp.Compare(v.Subject, other.Subject)) < 0
}
