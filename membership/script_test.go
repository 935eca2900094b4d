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

// script runs the commands of a testdata file against one State and compares their
// output with the text after "->". The heartbeat interval is 100 ms and the lease term
// 300 ms.
type script struct {
	state *State
	now   time.Time
	beats map[string]Beat
	// grantedIDs are the numbers of the leases granted to each VM, in order.
	grantedIDs map[string][]uint64
	stamp      uint64
}

var origin = time.Unix(1e9, 0)

func TestScripts(t *testing.T) {
	datatest.RunScripts(t, "testdata/*.txtar", func() datatest.CommandFunc {
		s := &script{
			state:      newState(parseVM("a")),
			now:        origin,
			beats:      make(map[string]Beat),
			grantedIDs: make(map[string][]uint64),
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

// parseVM parses "id", "id-" for a leaving VM, or "region/id".
func parseVM(name string) fleet.VM {
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
		s.advanceTo(parseTime(words[0]))
	case "wake":
		s.now = parseTime(words[0])
	case "list":
		s.setList(words)
	case "due":
		return joinIDs(s.state.Due(s.now))
	case "next":
		return s.state.Next(s.now).Sub(s.now).String()
	case "beat":
		s.setBeat(words)
	case "request":
		s.state.HandleBeat(s.beats[words[0]], time.Time{}, s.now)
	case "reply":
		s.state.HandleBeat(s.beats[words[0]], s.sentAt(words), s.now)
	case "missed":
		s.state.RecordMiss(words[0], s.now)
	case "refused":
		s.state.RecordRefused(words[0], s.now)
	case "lend":
		l := s.state.GrantLease(words[0], s.state.candidates.hash, s.now)
		s.grantedIDs[words[0]] = append(s.grantedIDs[words[0]], l.ID)
		return fmt.Sprintf("%v %s", l.Term, strings.Join(l.Members, " "))
	case "publish":
		s.state.View(s.now)
	case "acknowledge":
		n, err := strconv.Atoi(words[1])
		assert.NilError(t, err)
		s.state.AcknowledgeLease(words[0], s.grantedIDs[words[0]][n-1])
	case "borrow":
		s.state.AcceptLease(words[0], Lease{Term: 300 * time.Millisecond, Members: words[2:]}, parseTime(words[1]), s.now)
	case "borrow_number":
		id, err := strconv.ParseUint(words[1], 10, 64)
		assert.NilError(t, err)
		l := Lease{
			ID:      id,
			Term:    300 * time.Millisecond,
			Members: words[3:],
		}
		s.state.AcceptLease(words[0], l, parseTime(words[2]), s.now)
	case "held":
		return strconv.FormatUint(s.state.HeldLeaseID(words[0]), 10)
	case "acknowledge_number":
		id, err := strconv.ParseUint(words[1], 10, 64)
		assert.NilError(t, err)
		s.state.AcknowledgeLease(words[0], id)
	case "leave":
		s.state.Leave(s.now)
	default:
		return s.queryView(t, name, words)
	}
	return ""
}

// queryView runs a query against the current View.
func (s *script) queryView(t *testing.T, name string, words []string) string {
	v := s.state.View(s.now)
	switch name {
	case "entries":
		vms := v.OwnersByRank("ws")
		owner, _ := v.Owner("ws")
		assert.Assert(t, len(vms) == 0 || vms[0] == owner)
		return joinIDs(vms)
	case "entries_in":
		return joinIDs(v.VMsByRank(words[0], "ws"))
	case "hold":
		h := v.ShareHistory("ws", s.now)
		if h.Share == 0 {
			return "0"
		}
		return fmt.Sprintf("%.3g since %v", h.Share, h.Since.Sub(origin))
	case "executor":
		incarnation, _ := strconv.ParseUint(words[1], 10, 64)
		found, ok := v.TicketExecutor(words[0], incarnation)
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

// advanceTo advances the time in steps, with a View after each.
func (s *script) advanceTo(until time.Time) {
	for s.now.Before(until) {
		s.now = s.now.Add(min(until.Sub(s.now), 50*time.Millisecond))
		s.state.View(s.now)
	}
}

func (s *script) setList(names []string) {
	list := &fleet.List{Revision: 1}
	if s.state.list != nil {
		list.Revision = s.state.list.Revision + 1
	}
	for _, name := range names {
		list.VMs = append(list.VMs, parseVM(name))
	}
	s.state.SetList(list, s.now)
}

// setBeat parses a VM's ID and key=value pairs into its next beat.
func (s *script) setBeat(words []string) {
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

// sentAt parses the time after a VM's name. It defaults to now.
func (s *script) sentAt(words []string) time.Time {
	if len(words) > 1 {
		return parseTime(words[1])
	}
	return s.now
}

func parseTime(text string) time.Time {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return origin.Add(d)
}

func joinIDs(vms []fleet.VM) string {
	var out []string
	for _, v := range vms {
		out = append(out, v.ID)
	}
	return strings.Join(out, " ")
}
