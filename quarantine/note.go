package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Peer is a reachable VM with its incarnation.
type Peer struct {
	VM          fleet.VM
	Incarnation uint64
}

func (p Peer) isSame(other Peer) bool {
	return p.VM.ID == other.VM.ID && p.Incarnation == other.Incarnation
}

// Note is a message from one VM to another.
type Note struct {
	Crashes  []Crash
	Verdicts []Verdict
	Answers  []Answer
}

func (n Note) isEmpty() bool {
	return len(n.Crashes) == 0 && len(n.Verdicts) == 0 && len(n.Answers) == 0
}

// Outgoing is a note to be sent.
type Outgoing struct {
	To   Peer
	Note Note
	// crashes are the local crashes that the note reports.
	crashes []*localCrash
}

// localCrash is a crash observed by this VM.
type localCrash struct {
	Crash
	// acknowledgedBy holds the incarnation of each VM that received the crash.
	acknowledgedBy map[string]uint64
	// isDelivered is set once the present owners have all received it.
	isDelivered bool
}

// peerState is what another VM is known to have received.
type peerState struct {
	incarnation   uint64
	knownVersions map[call.Subject]uint32
	// knownAnswers holds the last answer to each part that the VM received as an owner.
	knownAnswers map[call.Subject]time.Time
	// sending is set while a note is in flight.
	sending bool
}

// DueNotes returns the notes to send now, at most one per VM. vms are the reachable VMs,
// including this one; partitioned is set if others are unreachable. What a VM did not
// acknowledge is due again, also after it restarted or a partition ended.
func (l *List) DueNotes(vms []Peer, partitioned bool, now time.Time) []Outgoing {
	l.partitioned = partitioned
	l.setVMs(vms)
	l.forgetPeers(vms)
	notes := make(map[string]*Outgoing)
	noteTo := func(p Peer) *Outgoing {
		if notes[p.VM.ID] == nil {
			notes[p.VM.ID] = &Outgoing{To: p}
		}
		return notes[p.VM.ID]
	}
	l.addCrashes(noteTo, now)
	l.addAnswers(noteTo, now)
	l.reconsiderOwned(now)
	l.addVerdicts(noteTo)
	if len(notes) == 0 {
		return nil
	}
	var out []Outgoing
	for _, p := range vms {
		next := notes[p.VM.ID]
		if next == nil || next.Note.isEmpty() {
			continue
		}
		state := l.stateOf(p)
		if state.sending {
			continue
		}
		state.sending = true
		out = append(out, *next)
	}
	return out
}

// setVMs sets the reachable VMs. If they have changed, VMs may lack what others have received,
// and the owners of some subjects may be new.
func (l *List) setVMs(vms []Peer) {
	if slices.EqualFunc(l.owners.vms, vms, Peer.isSame) {
		return
	}
	before := l.owners
	l.owners = &ownerIndex{vms: slices.Clone(vms)}
	for _, w := range l.localCrashes {
		w.isDelivered = false
	}
	for subject, v := range l.verdicts {
		l.undelivered[subject] = struct{}{}
		if v.receivedFromOwner && !slices.EqualFunc(before.owners(subject), l.owners.owners(subject), Peer.isSame) {
			v.receivedFromOwner = false
		}
	}
}

// verdictSubjects returns the subjects with a verdict in order, so that equal lists decide alike.
func (l *List) verdictSubjects() []call.Subject {
	if l.sortedSubjects == nil {
		l.sortedSubjects = slices.Sorted(maps.Keys(l.verdicts))
	}
	return l.sortedSubjects
}

// forgetPeers forgets what was sent to VMs that are gone, once they are more than the others.
func (l *List) forgetPeers(vms []Peer) {
	if len(l.peers) <= 2*len(vms) {
		return
	}
	known := l.peers
	l.peers = make(map[string]*peerState, len(vms))
	for _, p := range vms {
		if state := known[p.VM.ID]; state != nil {
			l.peers[p.VM.ID] = state
		}
	}
}

func (l *List) addCrashes(noteTo func(Peer) *Outgoing, now time.Time) {
	for _, w := range l.localCrashes {
		if w.isDelivered {
			continue
		}
		w.isDelivered = true
		for _, owner := range l.owners.owners(w.Subject) {
			if known, ok := w.acknowledgedBy[owner.VM.ID]; ok && known == owner.Incarnation {
				continue
			}
			if owner.VM.ID == l.self {
				w.acknowledgedBy[l.self] = owner.Incarnation
				l.recordCrash(w.Crash, now)
				continue
			}
			w.isDelivered = false
			next := noteTo(owner)
			next.Note.Crashes = append(next.Note.Crashes, w.Crash)
			next.crashes = append(next.crashes, w)
		}
	}
}

// addAnswers reports answers to parts with a verdict: once what was known before the last
// crash, and once the first answer after it.
func (l *List) addAnswers(noteTo func(Peer) *Outgoing, now time.Time) {
	for _, subject := range l.verdictSubjects() {
		v := l.verdicts[subject]
		at := l.answers.At(subject)
		if !subject.IsPart() || v.State == StateReleased || at.IsZero() {
			continue
		}
		answer := Answer{
			Subject: subject,
			At:      at,
		}
		for _, owner := range l.owners.owners(subject) {
			if owner.VM.ID == l.self {
				l.recordAnswer(answer, now)
				continue
			}
			known := l.stateOf(owner).knownAnswers[subject]
			if known.After(v.CrashedAt) || !at.After(known) {
				continue
			}
			next := noteTo(owner)
			next.Note.Answers = append(next.Note.Answers, answer)
		}
	}
}

// reconsiderOwned reconsiders the quarantined subjects that this VM owns.
func (l *List) reconsiderOwned(now time.Time) {
	if !l.unreconsidered {
		return
	}
	l.unreconsidered = false
	for _, subject := range l.verdictSubjects() {
		v := l.verdicts[subject]
		if v.State == StateQuarantined && l.isOwner(subject) {
			l.reconsider(v, now)
		}
	}
}

// addVerdicts sends the verdicts decided here or owned by this VM to all others, and
// the remaining ones to their owners, which may have restarted.
func (l *List) addVerdicts(noteTo func(Peer) *Outgoing) {
	if len(l.undelivered) == 0 {
		return
	}
	for _, subject := range slices.Sorted(maps.Keys(l.undelivered)) {
		v := l.verdicts[subject]
		isDelivered := true
		for _, p := range l.recipients(v) {
			if p.VM.ID == l.self || l.stateOf(p).knownVersions[subject] >= v.Version {
				continue
			}
			isDelivered = false
			next := noteTo(p)
			next.Note.Verdicts = append(next.Note.Verdicts, *v)
		}
		if isDelivered {
			delete(l.undelivered, subject)
		}
	}
}

// recipients returns the VMs that this one tells a verdict, which may include itself.
func (l *List) recipients(v *Verdict) []Peer {
	switch {
	case v.decidedLocally || l.isOwner(v.Subject):
		return l.owners.vms
	case v.receivedFromOwner:
		return nil
	default:
		return l.owners.owners(v.Subject)
	}
}

// isOwner reports whether this VM is an owner of a subject.
func (l *List) isOwner(subject call.Subject) bool {
	return slices.ContainsFunc(l.owners.owners(subject), func(p Peer) bool { return p.VM.ID == l.self })
}

// stateOf returns the state of a peer, which is empty for a new incarnation.
func (l *List) stateOf(p Peer) *peerState {
	state := l.peers[p.VM.ID]
	if state == nil || state.incarnation != p.Incarnation {
		state = &peerState{
			incarnation:   p.Incarnation,
			knownVersions: make(map[call.Subject]uint32),
			knownAnswers:  make(map[call.Subject]time.Time),
		}
		l.peers[p.VM.ID] = state
	}
	return state
}

// forgetVersions forgets what other VMs know about a subject.
func (l *List) forgetVersions(subject call.Subject) {
	for _, state := range l.peers {
		delete(state.knownVersions, subject)
		delete(state.knownAnswers, subject)
	}
}

// shardCount is the number of shards of subjects. It bounds how many VMs are notified
// by a VM that loses many endpoints at once: two per shard, whatever the size of the
// fleet.
const (
	shardCount     = 16
	shardKeyPrefix = "crashes-"
)

// ownerIndex caches the owners of each shard, since a VM may report crashes of hundreds
// of subjects at once.
type ownerIndex struct {
	vms     []Peer
	byShard [shardCount][]Peer
}

// owners returns the VMs that count the crashes of a subject and distribute its
// verdict: the highest-ranked VM, and the highest-ranked one of another region, which
// survives the loss of the first region.
func (r *ownerIndex) owners(subject call.Subject) []Peer {
	shard := subject % shardCount
	if r.byShard[shard] != nil {
		return r.byShard[shard]
	}
	key := shardKeyPrefix + strconv.FormatUint(uint64(shard), 10)
	first := highestRanked(key, r.vms, "")
	if first == nil {
		return nil
	}
	found := []Peer{*first}
	if second := highestRanked(key, r.vms, first.VM.Region); second != nil {
		found = append(found, *second)
	}
	r.byShard[shard] = found
	return found
}

// highestRanked returns the VM with the highest rendezvous score outside of
// excludedRegion, or nil if there is none.
func highestRanked(key string, vms []Peer, excludedRegion string) *Peer {
	h := entry.Hash(key)
	var first *Peer
	var best uint64
	for i := range vms {
		vm := vms[i].VM
		if excludedRegion != "" && vm.Region == excludedRegion {
			continue
		}
		score := entry.Score(h, entry.Hash(vm.ID))
		if first == nil || score > best || (score == best && vm.ID < first.VM.ID) {
			first, best = &vms[i], score
		}
	}
	return first
}

// Delivered records whether a note was received.
func (l *List) Delivered(next Outgoing, arrived bool) {
	state := l.stateOf(next.To)
	state.sending = false
	if !arrived {
		return
	}
	for _, w := range next.crashes {
		w.acknowledgedBy[next.To.VM.ID] = next.To.Incarnation
	}
	for _, v := range next.Note.Verdicts {
		state.knownVersions[v.Subject] = max(state.knownVersions[v.Subject], v.Version)
	}
	for _, a := range next.Note.Answers {
		state.knownAnswers[a.Subject] = a.At
	}
}

// recordKnown records that the VM which sent a verdict has it.
func (l *List) recordKnown(from string, v Verdict) {
	if state := l.peers[from]; state != nil {
		state.knownVersions[v.Subject] = max(state.knownVersions[v.Subject], v.Version)
	}
}

// Receive processes a note of the VM with the id from. Crashes are counted even if this VM does not
// consider itself an owner of their subject, as the sender may know other VMs.
func (l *List) Receive(from string, n Note, now time.Time) {
	for _, c := range n.Crashes {
		l.recordCrash(c, now)
	}
	for _, v := range n.Verdicts {
		known, ok := l.verdicts[v.Subject]
		if ok && known.supersedes(&v) {
			continue
		}
		l.recordKnown(from, v)
		if ok && !v.supersedes(known) {
			continue
		}
		v.decidedLocally = false
		v.receivedFromOwner = slices.ContainsFunc(l.owners.owners(v.Subject), func(p Peer) bool { return p.VM.ID == from })
		l.storeVerdict(v, now)
	}
	for _, a := range n.Answers {
		l.recordAnswer(a, now)
	}
}
