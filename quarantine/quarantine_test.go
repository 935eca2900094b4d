package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// lists is a fleet of lists with virtual time. A VM's region is its name without digits.
type lists struct {
	now   time.Time
	order []string
	vms   map[string]*List
	lives map[string]uint64
	// down are VMs that are not there, apart those that only reach one another.
	down  map[string]bool
	apart map[string]bool
}

func newLists(names ...string) *lists {
	l := &lists{
		now:   time.Unix(1e9, 0),
		order: names,
		vms:   make(map[string]*List),
		lives: make(map[string]uint64),
		down:  make(map[string]bool),
		apart: make(map[string]bool),
	}
	for _, name := range names {
		l.start(name)
	}
	return l
}

func (l *lists) start(name string) {
	l.vms[name] = New(name)
	l.lives[name]++
	l.down[name] = false
}

// inReach returns the VMs that one reaches, with itself.
func (l *lists) inReach(name string) (vms []Peer, parted bool) {
	for _, other := range l.order {
		if l.down[other] || l.apart[other] != l.apart[name] {
			parted = true
			continue
		}
		vms = append(vms, Peer{
			VM:          fleet.VM{ID: other, Region: strings.TrimRight(other, "0123456789")},
			Incarnation: l.lives[other],
		})
	}
	return vms, parted
}

// deliver sends all notes that are due until there are none, and counts them.
func (l *lists) deliver() int {
	count := 0
	for sent := true; sent; {
		sent = false
		for _, name := range l.order {
			if l.down[name] {
				continue
			}
			vms, parted := l.inReach(name)
			for _, note := range l.vms[name].Due(vms, parted, l.now) {
				l.vms[note.To.VM.ID].Take(note.Note, l.now)
				l.vms[name].Sent(note, true)
				count++
				sent = true
			}
		}
	}
	return count
}

func (l *lists) held(name string) string {
	vms, _ := l.inReach(name)
	var out []string
	for _, h := range l.vms[name].Held(vms) {
		out = append(out, fmt.Sprintf("%d:%d", h.Content, h.Crashes))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// tries tells which VMs may let a try through, and when.
func (l *lists) tries(content uint64) string {
	var out []string
	for _, name := range l.order {
		vms, _ := l.inReach(name)
		for _, h := range l.vms[name].Held(vms) {
			if h.Content == content && !h.TryAt.IsZero() && !l.down[name] {
				out = append(out, fmt.Sprintf("%s:%s", name, h.TryAt.Sub(l.now).Round(time.Second)))
			}
		}
	}
	return strings.Join(out, " ")
}

func (l *lists) do(t *testing.T, name string, words []string) string {
	t.Helper()
	switch name {
	case "vms":
		*l = *newLists(words...)
	case "crash":
		l.vms[words[0]].Witness(Crash{
			Content: number(t, words[1]),
			Life:    number(t, words[2]),
			At:      l.now,
			Proven:  len(words) > 3,
		})
	case "ended_well":
		l.vms[words[0]].EndedWell(number(t, words[1]), l.now)
	case "deliver":
		l.deliver()
	case "notes":
		return strconv.Itoa(l.deliver())
	case "after":
		d, err := time.ParseDuration(words[0])
		assert.NilError(t, err)
		l.now = l.now.Add(d)
		for _, list := range l.vms {
			list.Step(l.now)
		}
	case "stop":
		l.down[words[0]] = true
	case "start":
		l.start(words[0])
	case "cut":
		for _, vm := range words {
			l.apart[vm] = true
		}
	case "heal":
		clear(l.apart)
	case "held":
		return l.held(words[0])
	case "tries":
		return l.tries(number(t, words[0]))
	case "owners":
		vms, _ := l.inReach(l.order[0])
		var out []string
		ranked := &ranking{vms: vms}
		for _, p := range ranked.owners(number(t, words[0])) {
			out = append(out, p.VM.ID)
		}
		return strings.Join(out, " ")
	default:
		t.Fatalf("no command %q", name)
	}
	return ""
}

func number(t *testing.T, text string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// TestScripts plays crashes among VMs that start, stop and are cut off.
func TestScripts(t *testing.T) {
	datatest.Scripts(t, "testdata/*.txtar", func() datatest.Do {
		l := newLists()
		return l.do
	})
}

// TestAllAgree holds that VMs in reach of one another hold the same calls once all
// notes have arrived, however crashes, cuts and starts fall, and that nothing is held
// under which fewer endpoints crashed than it takes.
func TestAllAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLists("a1", "a2", "b1", "b2", "c1")
		lives := make(map[uint64]map[uint64]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			vm := rapid.SampledFrom(l.order).Draw(t, "vm")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				l.start(vm)
			case 1:
				l.apart[vm] = true
			case 2:
				clear(l.apart)
			case 3:
				l.deliver()
			case 4:
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			default:
				content := rapid.Uint64Range(1, 3).Draw(t, "content")
				life := rapid.Uint64Range(1, 8).Draw(t, "life")
				l.vms[vm].Witness(Crash{Content: content, Life: life, At: l.now})
				if lives[content] == nil {
					lives[content] = make(map[uint64]bool)
				}
				lives[content][life] = true
			}
		}
		clear(l.apart)
		l.deliver()
		for _, name := range l.order {
			assert.Equal(t, contents(l, name), contents(l, l.order[0]))
		}
		for _, h := range l.vms[l.order[0]].Held(nil) {
			assert.Assert(t, len(lives[h.Content]) >= crashesWhileParted)
		}
	})
}

func contents(l *lists, name string) string {
	var out []string
	for _, h := range l.vms[name].Held(nil) {
		out = append(out, strconv.FormatUint(h.Content, 10))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestBounded holds that the state does not grow with the calls that were cut.
func TestBounded(t *testing.T) {
	l := newLists("a1")
	for content := range uint64(4 * suspectsMost) {
		for life := range 1 + content%4 {
			l.vms["a1"].Witness(Crash{Content: content, Life: content*10 + life, At: l.now})
		}
		l.deliver()
		l.now = l.now.Add(time.Millisecond)
	}
	list := l.vms["a1"]
	assert.Assert(t, len(list.witnessed) <= witnessedMost)
	assert.Assert(t, len(list.suspects) <= suspectsMost)
	assert.Assert(t, len(list.verdicts) <= heldMost)
	l.now = l.now.Add(heldFor)
	list.Step(l.now)
	assert.Equal(t, len(list.witnessed)+len(list.suspects)+len(list.verdicts), 0)
}

// TestSuspects holds which ends of an answer may be the fault of its call.
func TestSuspects(t *testing.T) {
	now := time.Unix(1e9, 0)
	assert.Assert(t, Suspects(time.Time{}, now))
	assert.Assert(t, Suspects(now.Add(-beganWellFor/2), now))
	assert.Assert(t, !Suspects(now.Add(-2*beganWellFor), now))
}

// TestNotesOfManyCrashes loses many endpoints of a fleet of 300 VMs at once: each VM
// that had 60 calls there writes to 32 others at the most, where it would be over 100
// if each content were counted elsewhere, and no call is held.
func TestNotesOfManyCrashes(t *testing.T) {
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("%c%d", 'a'+i%3, i))
	}
	l := newLists(names...)
	for i := range uint64(60) {
		l.vms["a0"].Witness(Crash{Content: i * 0x9e3779b97f4a7c15, Life: i % 24, At: l.now})
	}
	vms, parted := l.inReach("a0")
	notes := l.vms["a0"].Due(vms, parted, l.now)
	assert.Assert(t, len(notes) <= 2*shards, len(notes))
	l.deliver()
	assert.Equal(t, l.held("b1"), "")
}

// BenchmarkDue is one look for what is to be told in a fleet of 300 VMs while two calls
// are held and all know it: 28 µs, once a second.
func BenchmarkDue(b *testing.B) {
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("%c%d", 'a'+i%3, i))
	}
	l := newLists(names...)
	for i := range uint64(6) {
		l.vms["a0"].Witness(Crash{Content: i % 2, Life: i, At: l.now})
	}
	l.deliver()
	vms, parted := l.inReach("a0")
	b.ReportAllocs()
	for b.Loop() {
		l.vms["a0"].Due(vms, parted, l.now)
	}
}
