package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Peer is a VM in reach with its life.
type Peer struct {
	VM          fleet.VM
	Incarnation uint64
}

// Note is what one VM tells another.
type Note struct {
	Crashes  []Crash
	Verdicts []Verdict
}

func (n Note) isEmpty() bool {
	return len(n.Crashes) == 0 && len(n.Verdicts) == 0
}

// Outgoing is a note that is to be sent.
type Outgoing struct {
	To   Peer
	Note Note
	// crashes are those of the note as they are kept here.
	crashes []*witnessed
}

// witnessed is a crash that this VM saw.
type witnessed struct {
	Crash
	// told are the VMs that know it, each with its life.
	told map[string]uint64
}

// toldVM is what a VM knows of the verdicts.
type toldVM struct {
	incarnation uint64
	versions    map[uint64]uint32
	// sending is set while a note is on its way.
	sending bool
}

// Due returns the notes to send now, one for each VM at the most. vms are those in
// reach with this one, parted says that others are out of reach. What nobody took is
// due again, also for a VM that starts, or comes back from behind a cut: this VM
// keeps what it saw, and those that rank first for a content keep the verdict.
func (l *List) Due(vms []Peer, parted bool, now time.Time) []Outgoing {
	l.parted = parted
	notes := make(map[string]*Outgoing, len(vms))
	noteTo := func(p Peer) *Outgoing {
		if notes[p.VM.ID] == nil {
			notes[p.VM.ID] = &Outgoing{To: p}
		}
		return notes[p.VM.ID]
	}
	ranked := &ranking{vms: vms}
	l.addCrashes(ranked, noteTo, now)
	l.addVerdicts(ranked, noteTo)
	var out []Outgoing
	for id, next := range notes {
		if to := l.told[id]; (to != nil && to.sending) || next.Note.isEmpty() {
			continue
		}
		l.toldOf(next.To).sending = true
		out = append(out, *next)
	}
	return out
}

func (l *List) addCrashes(ranked *ranking, noteTo func(Peer) *Outgoing, now time.Time) {
	for _, w := range l.witnessed {
		for _, owner := range ranked.owners(w.Content) {
			if known, ok := w.told[owner.VM.ID]; ok && known == owner.Incarnation {
				continue
			}
			if owner.VM.ID == l.self {
				w.told[l.self] = owner.Incarnation
				l.count(w.Crash, now)
				continue
			}
			next := noteTo(owner)
			next.Note.Crashes = append(next.Note.Crashes, w.Crash)
			next.crashes = append(next.crashes, w)
		}
	}
}

// addVerdicts has those that rank first for a content, and the one that decided, tell
// all others, and each other one tell those that rank first: they may have started anew.
func (l *List) addVerdicts(ranked *ranking, noteTo func(Peer) *Outgoing) {
	for content, v := range l.verdicts {
		to := ranked.owners(content)
		if v.madeHere || slices.ContainsFunc(to, func(p Peer) bool { return p.VM.ID == l.self }) {
			to = ranked.vms
		}
		for _, p := range to {
			if p.VM.ID == l.self || l.toldOf(p).versions[content] >= v.Version {
				continue
			}
			next := noteTo(p)
			next.Note.Verdicts = append(next.Note.Verdicts, *v)
		}
	}
}

// toldOf returns what a VM knows; a new life of it knows nothing.
func (l *List) toldOf(p Peer) *toldVM {
	known := l.told[p.VM.ID]
	if known == nil || known.incarnation != p.Incarnation {
		known = &toldVM{
			incarnation: p.Incarnation,
			versions:    make(map[uint64]uint32),
		}
		l.told[p.VM.ID] = known
	}
	return known
}

// shards is in how many parts contents are counted. A VM that loses many endpoints at
// once tells twice as many VMs at the most, whatever the size of the fleet.
const (
	shards   = 16
	shardKey = "crashes-"
)

// ranking finds the VMs that count, once for each part of the contents: what a VM saw of
// a large loss is some hundred contents.
type ranking struct {
	vms    []Peer
	ranked [shards][]Peer
}

// owners are the VMs that count the crashes under a content and tell the verdict: the
// one that ranks first, and the first of another region, so that one is left when a
// region is lost. Without a word between them all VMs find the same two.
func (r *ranking) owners(content uint64) []Peer {
	shard := content % shards
	if r.ranked[shard] != nil {
		return r.ranked[shard]
	}
	key := shardKey + strconv.FormatUint(shard, 10)
	first := firstOf(key, r.vms, "")
	if first == nil {
		return nil
	}
	found := []Peer{*first}
	if second := firstOf(key, r.vms, first.VM.Region); second != nil {
		found = append(found, *second)
	}
	r.ranked[shard] = found
	return found
}

// firstOf returns the VM that ranks first, outside of a region; nil where there is none.
func firstOf(key string, vms []Peer, outside string) *Peer {
	h := entry.Hash(key)
	var first *Peer
	var best uint64
	for i := range vms {
		vm := vms[i].VM
		if outside != "" && vm.Region == outside {
			continue
		}
		score := entry.Score(h, entry.Hash(vm.ID))
		if first == nil || score > best || (score == best && vm.ID < first.VM.ID) {
			first, best = &vms[i], score
		}
	}
	return first
}

func contentKey(content uint64) string {
	return strconv.FormatUint(content, 16)
}

// Sent takes whether a note has arrived.
func (l *List) Sent(next Outgoing, arrived bool) {
	to := l.toldOf(next.To)
	to.sending = false
	if !arrived {
		return
	}
	for _, w := range next.crashes {
		w.told[next.To.VM.ID] = next.To.Incarnation
	}
	for _, v := range next.Note.Verdicts {
		to.versions[v.Content] = max(to.versions[v.Content], v.Version)
	}
}

// Take takes another VM's note. Crashes come to a VM that ranks first for them by the
// sender's word, and are counted whatever the own one says.
func (l *List) Take(n Note, now time.Time) {
	for _, c := range n.Crashes {
		l.count(c, now)
	}
	for _, v := range n.Verdicts {
		known, ok := l.verdicts[v.Content]
		if ok && known.Version >= v.Version {
			continue
		}
		v.madeHere = false
		if v.Cleared {
			l.forgive(v.Content)
		}
		l.put(v, now)
	}
}
