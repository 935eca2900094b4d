package membership

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// script drives one State by the lines of a file in testdata: a command, and
// what it must give after "->". The heartbeat interval is 100 ms, the lease term 300 ms.
type script struct {
	state *State
	now   time.Time
	beats map[string]Beat
	// lent are the numbers of the loans given to each VM, in order.
	lent  map[string][]uint64
	stamp uint64
}

var origin = time.Unix(1e9, 0)

func TestScripts(t *testing.T) {
	datatest.Scripts(t, "testdata/*.txtar", func() datatest.Do {
		s := &script{
			state: newState(vm("a")),
			now:   origin,
			beats: make(map[string]Beat),
			lent:  make(map[string][]uint64),
		}
		return s.do
	})
}

func newState(self fleet.VM) *State {
	return New(Options{
		Self:           self,
		Incarnation:    1,
		HeartbeatEvery: func(int) time.Duration { return 100 * time.Millisecond },
		LeaseTerm:      func(int) time.Duration { return 300 * time.Millisecond },
	})
}

// vm reads "id", "id-" for one that is leaving, or "region/id".
func vm(name string) fleet.VM {
	v := fleet.VM{
		ID:     strings.TrimSuffix(name, "-"),
		Region: "home",
		State:  fleet.StateLive,
	}
	if v.ID != name {
		v.State = fleet.StateLeaving
	}
	if region, id, ok := strings.Cut(v.ID, "/"); ok {
		v.Region = region
		v.ID = id
	}
	v.PeerAddr = v.ID
	return v
}

func (s *script) do(t *testing.T, name string, words []string) string {
	switch name {
	case "at":
		s.pass(at(words[0]))
	case "wake":
		s.now = at(words[0])
	case "list":
		s.list(words)
	case "due":
		return ids(s.state.Due(s.now))
	case "next":
		return s.state.Next(s.now).Sub(s.now).String()
	case "beat":
		s.beat(words)
	case "request":
		s.state.Heard(s.beats[words[0]], time.Time{}, s.now)
	case "reply":
		s.state.Heard(s.beats[words[0]], s.sentAt(words), s.now)
	case "missed":
		s.state.Missed(words[0], s.now)
	case "refused":
		s.state.Refused(words[0], s.now)
	case "lend":
		l := s.state.Lend(words[0], s.state.reach.hash, s.now)
		s.lent[words[0]] = append(s.lent[words[0]], l.ID)
		return fmt.Sprintf("%v %s", l.Term, strings.Join(l.Members, " "))
	case "publish":
		s.state.View(s.now)
	case "acknowledge":
		n, err := strconv.Atoi(words[1])
		assert.NilError(t, err)
		s.state.Acknowledge(words[0], s.lent[words[0]][n-1])
	case "borrow":
		s.state.Borrowed(words[0], Loan{Term: 300 * time.Millisecond, Members: words[2:]}, at(words[1]), s.now)
	case "borrow_number":
		id, err := strconv.ParseUint(words[1], 10, 64)
		assert.NilError(t, err)
		l := Loan{
			ID:      id,
			Term:    300 * time.Millisecond,
			Members: words[3:],
		}
		s.state.Borrowed(words[0], l, at(words[2]), s.now)
	case "held":
		return strconv.FormatUint(s.state.HeldLoan(words[0]), 10)
	case "acknowledge_number":
		id, err := strconv.ParseUint(words[1], 10, 64)
		assert.NilError(t, err)
		s.state.Acknowledge(words[0], id)
	case "leave":
		s.state.Leave(s.now)
	default:
		return s.look(t, name, words)
	}
	return ""
}

// look reads the view of now.
func (s *script) look(t *testing.T, name string, words []string) string {
	v := s.state.View(s.now)
	switch name {
	case "entries":
		vms := v.Entries("ws")
		owner, _ := v.Owner("ws")
		assert.Assert(t, len(vms) == 0 || vms[0] == owner)
		return ids(vms)
	case "entries_in":
		return ids(v.EntriesIn(words[0], "ws"))
	case "hold":
		h := v.Hold("ws", s.now)
		if h.Share == 0 {
			return "0"
		}
		return fmt.Sprintf("%.3g since %v", h.Share, h.Since.Sub(origin))
	case "executor":
		incarnation, _ := strconv.ParseUint(words[1], 10, 64)
		found, ok := v.Executor(words[0], incarnation)
		return fmt.Sprint(found.ID, " ", ok)
	case "surplus":
		out := ""
		for _, o := range v.Surplus(words[0], s.now) {
			out += fmt.Sprintf("%s/%s %v ", o.Region, o.VM, o.TokensPerSecond)
		}
		return out
	}
	t.Fatalf("unknown command %q", name)
	return ""
}

// pass lets time go by with the state at work.
func (s *script) pass(until time.Time) {
	for s.now.Before(until) {
		s.now = s.now.Add(min(until.Sub(s.now), 50*time.Millisecond))
		s.state.View(s.now)
	}
}

func (s *script) list(names []string) {
	list := &fleet.List{Revision: 1}
	if s.state.list != nil {
		list.Revision = s.state.list.Revision + 1
	}
	for _, name := range names {
		list.VMs = append(list.VMs, vm(name))
	}
	s.state.SetList(list, s.now)
}

// beat sets what a VM says: its id, then key=value.
func (s *script) beat(words []string) {
	s.stamp++
	b := Beat{
		VM:          words[0],
		Incarnation: 1,
		Stamp:       s.stamp,
		Ready:       true,
	}
	for _, w := range words[1:] {
		key, value, _ := strings.Cut(w, "=")
		number, _ := strconv.ParseUint(value, 10, 64)
		until := s.now.Add(time.Second)
		switch key {
		case "incarnation":
			b.Incarnation = number
		case "leaving":
			b.Leaving = true
		case "unready":
			b.Ready = false
		case "list":
			b.ListRevision = number
		case "adopted":
			b.Adopted = []Adoption{{VM: value, Incarnation: 1, Until: until}}
		case "surplus":
			b.Surplus = []Surplus{{Target: value, TokensPerSecond: 50, Until: until}}
		}
	}
	s.beats[b.VM] = b
}

// sentAt reads the time after a VM's name; without one the request was sent now.
func (s *script) sentAt(words []string) time.Time {
	if len(words) > 1 {
		return at(words[1])
	}
	return s.now
}

func at(text string) time.Time {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return origin.Add(d)
}

func ids(vms []fleet.VM) string {
	var out []string
	for _, v := range vms {
		out = append(out, v.ID)
	}
	return strings.Join(out, " ")
}
