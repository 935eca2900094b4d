// Package quarantine decides which calls endpoints no longer get, because the endpoints
// that ran them crashed. A call is known by its content, as a caller's tries have new
// ids. Each VM tells what it saw to the two VMs that rank first for the content; these
// count, and tell all others of a call that has crashed enough endpoints. It is pure
// control state of one goroutine: time comes in as an argument, and notes go out
// through the caller.
package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToQuarantine is how many endpoints must have crashed under a call: with
	// one or two it may only have been there when they failed of something else.
	crashesToQuarantine = 3
	// crashesWhileParted is the same while a part of the fleet is out of reach, where
	// the call may crash as many that nobody here hears of.
	crashesWhileParted = 2
	// crashKeptFor is how long a crash counts: callers that repeat a call give up or
	// come back within minutes.
	crashKeptFor = 30 * time.Minute
	// provenWithin is the same for a call that has ended well of late, such as one that
	// many callers send alike: it counts only crashes that came at nearly one time, as
	// it ended well between others.
	provenWithin = 5 * time.Second
	// firstTerm is how long a call is held before one try of it may show that it does
	// no harm; each try that crashes one more endpoint makes the next wait termGrowth
	// times longer, so that three tries take over an hour. provenTerm is the first one
	// for a call that has ended well of late: a call that many send must not be held for
	// long as some endpoints failed at once.
	firstTerm  = time.Minute
	provenTerm = time.Second
	termGrowth = 8
	// clearedKeptFor is how long it is told that a call is held no more.
	clearedKeptFor = time.Minute
	// heldFor is how long a call is held that nobody tries again.
	heldFor = 24 * time.Hour
	// suspectsMost, heldMost and witnessedMost bound the state, at some 100 bytes an entry.
	// The oldest make way: a crash on a VM cuts some dozen calls.
	suspectsMost  = 2048
	heldMost      = 256
	witnessedMost = 512
)

// beganWellFor is how long an endpoint must have answered a call for its end to be no
// fault of that: endpoints crash within some 0.1 s of beginning to run what does it.
const beganWellFor = 2 * time.Second

// Suspects reports whether an endpoint may have crashed under a call whose answer began and
// broke off then; a zero time means that it never began.
func Suspects(firstAt, brokeAt time.Time) bool {
	return firstAt.IsZero() || brokeAt.Sub(firstAt) < beganWellFor
}

// Crash is an endpoint that crashed while it had a call.
type Crash struct {
	Content uint64
	// Life is a hash of the endpoint's id and incarnation.
	Life uint64
	At   time.Time
	// Proven says that the call has ended well of late at the VM that saw the crash.
	Proven bool
}

// Verdict says that a call is held, or no more.
type Verdict struct {
	Content uint64
	// Version rises with each change; a higher one replaces what is known.
	Version uint32
	// Crashes is how many endpoints crashed under the call, and Failed how many of them
	// under tries that were let through to see whether it still does.
	Crashes int
	Failed  int
	Proven  bool
	// TryAt is when the next such try may be made.
	TryAt   time.Time
	Cleared bool
	// forgetAt is when the verdict is dropped.
	forgetAt time.Time
	// madeHere says that this VM decided it, and so tells it whatever its rank.
	madeHere bool
}

// List is what one VM knows. It is not safe for concurrent use.
type List struct {
	self string
	// parted reports whether a part of the fleet is out of reach.
	parted    bool
	witnessed []*witnessed
	suspects  map[uint64]*suspect
	verdicts  map[uint64]*Verdict
	// told is what other VMs know of the verdicts, by VM.
	told map[string]*toldVM
}

// suspect is a call under which endpoints crashed, as one that ranks first for it counts.
type suspect struct {
	crashes []Crash
	proven  bool
	lastAt  time.Time
}

// New makes an empty List of a VM.
func New(self string) *List {
	return &List{
		self:     self,
		suspects: make(map[uint64]*suspect),
		verdicts: make(map[uint64]*Verdict),
		told:     make(map[string]*toldVM),
	}
}

// Witness takes a crash that this VM saw, for those that rank first for the content.
func (l *List) Witness(c Crash) {
	if len(l.witnessed) >= witnessedMost {
		l.witnessed = slices.Delete(l.witnessed, 0, 1)
	}
	l.witnessed = append(l.witnessed, &witnessed{
		Crash: c,
		told:  make(map[string]uint64),
	})
}

// IsEmpty says that there is nothing to tell and nothing held.
func (l *List) IsEmpty() bool {
	return len(l.witnessed) == 0 && len(l.suspects) == 0 && len(l.verdicts) == 0
}

// count takes a crash where this VM ranks first for the content.
func (l *List) count(c Crash, now time.Time) {
	if now.Sub(c.At) > crashKeptFor {
		return
	}
	if v, ok := l.verdicts[c.Content]; ok && !v.Cleared {
		l.countHeld(v, c, now)
		return
	}
	s := l.suspect(c.Content)
	if slices.ContainsFunc(s.crashes, func(known Crash) bool { return known.Life == c.Life }) {
		return
	}
	s.crashes = append(s.crashes, c)
	s.proven = s.proven || c.Proven
	s.lastAt = now
	s.forget(now)
	if len(s.crashes) < l.needed() {
		return
	}
	l.decide(Verdict{
		Content: c.Content,
		Crashes: len(s.crashes),
		Proven:  s.proven,
		TryAt:   now.Add(term(s.proven, 0)),
	}, now)
	delete(l.suspects, c.Content)
}

// needed is how many crashes make a call one that is held.
func (l *List) needed() int {
	if l.parted {
		return crashesWhileParted
	}
	return crashesToQuarantine
}

// countHeld takes a crash under a call that is held. Those of tries that were under way
// as the verdict came change nothing.
func (l *List) countHeld(v *Verdict, c Crash, now time.Time) {
	if c.At.Before(v.TryAt) {
		return
	}
	next := *v
	next.Crashes++
	next.Failed++
	next.TryAt = now.Add(term(v.Proven, next.Failed))
	l.decide(next, now)
}

// term is how long a call is held of which so many tries crashed endpoints.
func term(proven bool, failed int) time.Duration {
	held := firstTerm
	if proven {
		held = provenTerm
	}
	for range failed {
		held = min(held*termGrowth, heldFor)
	}
	return held
}

// decide makes a verdict, as a newer version of what is known.
func (l *List) decide(v Verdict, now time.Time) {
	if known, ok := l.verdicts[v.Content]; ok {
		v.Version = known.Version
	}
	v.Version++
	v.madeHere = true
	l.put(v, now)
}

func (l *List) put(v Verdict, now time.Time) {
	v.forgetAt = now.Add(heldFor)
	if v.Cleared {
		v.forgetAt = now.Add(clearedKeptFor)
	}
	if _, known := l.verdicts[v.Content]; !known && len(l.verdicts) >= heldMost {
		l.dropOldestVerdict()
	}
	l.verdicts[v.Content] = &v
}

// EndedWell takes that a call that is held has ended well: it does no harm.
func (l *List) EndedWell(content uint64, now time.Time) {
	l.forgive(content)
	v, ok := l.verdicts[content]
	if !ok || v.Cleared {
		return
	}
	l.decide(Verdict{
		Content: content,
		Cleared: true,
	}, now)
}

// forgive drops what counts against a content. What this VM saw goes too: it would be
// told again to one that ranks first later.
func (l *List) forgive(content uint64) {
	delete(l.suspects, content)
	l.witnessed = slices.DeleteFunc(l.witnessed, func(w *witnessed) bool { return w.Content == content })
}

// suspect returns the entry of a content, and makes room for it.
func (l *List) suspect(content uint64) *suspect {
	if s, ok := l.suspects[content]; ok {
		return s
	}
	if len(l.suspects) >= suspectsMost {
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
		if at.IsZero() || v.forgetAt.Before(at) {
			oldest, at = content, v.forgetAt
		}
	}
	delete(l.verdicts, oldest)
}

// forget drops the crashes that count no more.
func (s *suspect) forget(now time.Time) {
	kept := crashKeptFor
	if s.proven {
		kept = provenWithin
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return now.Sub(c.At) > kept })
}

// Step forgets what is over.
func (l *List) Step(now time.Time) {
	for content, s := range l.suspects {
		s.forget(now)
		if len(s.crashes) == 0 {
			delete(l.suspects, content)
		}
	}
	for content, v := range l.verdicts {
		if !now.Before(v.forgetAt) {
			delete(l.verdicts, content)
		}
	}
	l.witnessed = slices.DeleteFunc(l.witnessed, func(w *witnessed) bool { return now.Sub(w.At) > crashKeptFor })
}
