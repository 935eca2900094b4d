package ticket

import (
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/result"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// scriptRunner runs the steps "command words -> want" of testdata/desk.json.
type scriptRunner struct {
	now        time.Time
	registries map[string]*Registry
	tickets    map[string]string
	entries    map[string]*Entry
	handOvers  map[*Registry]HandOver
}

func TestRegistry(t *testing.T) {
	type scripted struct {
		Name  string   `json:"name"`
		Steps []string `json:"steps"`
	}
	for _, c := range readCase[[]scripted](t, "testdata/desk.json") {
		t.Run(c.Name, func(t *testing.T) {
			s := scriptRunner{
				now:        epoch,
				registries: map[string]*Registry{},
				tickets:    map[string]string{},
				entries:    map[string]*Entry{},
				handOvers:  map[*Registry]HandOver{},
			}
			for _, vm := range []string{"a", "b", "c"} {
				s.start(vm, 1)
			}
			for i, line := range c.Steps {
				command, want, _ := strings.Cut(line, " -> ")
				assert.Equal(t, s.runStep(strings.Fields(command)), want, "step %d: %s", i, line)
			}
		})
	}
}

func (s *scriptRunner) start(vm string, incarnation uint64) {
	s.registries[vm] = New(Options{
		VM:             vm,
		Incarnation:    incarnation,
		MaxRecords:     2,
		MaxAnswerBytes: 30,
		Retain:         func(goodUntil time.Time) time.Time { return goodUntil.Add(ticketLifetime) },
	})
}

func (s *scriptRunner) runStep(words []string) string {
	name := words[1]
	registry := s.registries[name]
	switch words[0] {
	case "clock":
		ms, _ := strconv.Atoi(name)
		s.now = epoch.Add(time.Duration(ms) * time.Millisecond)
	case "restart":
		s.start(name, registry.self.Incarnation+1)
	case "issue":
		s.tickets[name] = s.registries[words[2]].Issue("w", s.now.Add(ticketLifetime))
		return "ok"
	case "forge":
		t, _ := Parse(s.tickets[words[2]])
		t.MAC[0]++
		s.tickets[name] = t.Text()
	case "begin":
		return s.begin(words)
	case "sending":
		return refusalText(s.entries[name].MarkSent(s.now))
	case "finish":
		s.entries[name].Finish(recordOf(words))
		return "ok"
	case "abandon":
		s.entries[name].Abandon()
		return "ok"
	case "stop":
		registry.Stop()
	case "idle":
		return fmt.Sprint(registry.Idle())
	case "give_up":
		s.handOvers[registry] = registry.Relinquish(s.now)
	case "adopt", "copy", "tampered":
		return fmt.Sprint(s.adopt(words[0], registry, s.registries[words[2]]))
	case "adopted":
		return s.adopted(registry)
	default:
		return "no such command"
	}
	return ""
}

func (s *scriptRunner) begin(words []string) string {
	workspace := "w"
	if len(words) > 4 {
		workspace = words[4]
	}
	hash, _ := strconv.ParseUint(words[3], 10, 64)
	step := s.registries[words[2]].Begin(s.tickets[words[1]], workspace, hash, s.now)
	switch step.Kind {
	case Run:
		s.entries[words[1]] = step.Entry
		return "run"
	case Wait:
		return "wait"
	case Replay:
		return "replay " + string(step.Record.Body)
	default:
		return refusalText(step.Refusal)
	}
}

func refusalText(r *result.Refusal) string {
	switch {
	case r == nil:
		return "ok"
	case r.RetryAt.IsZero():
		return r.Code.String()
	default:
		return fmt.Sprint(r.Code, " ", r.RetryAt.Sub(epoch).Milliseconds())
	}
}

func recordOf(words []string) Record {
	r := Record{
		Body: []byte(strings.Join(words[3:], " ")),
	}
	for _, info := range result.Table {
		if info.Name == words[2] {
			r.Code = info.Code
		}
	}
	return r
}

// adopt transfers the rights of from to to, after from gave them up.
func (s *scriptRunner) adopt(how string, to, from *Registry) bool {
	if _, ok := s.handOvers[from]; !ok {
		s.handOvers[from] = from.Relinquish(s.now)
	}
	h := s.handOvers[from].WithReceiver(to.self)
	// Rights of a that are offered to c stay addressed to b, the first successor.
	if to == s.registries["c"] && from == s.registries["a"] {
		h.To = s.registries["b"].self
	}
	switch how {
	case "copy":
		h = h.WithoutKeys()
	case "tampered":
		h.Rights = slices.Clone(h.Rights)
		h.Rights[0].Key = make([]byte, keyLength)
	}
	return to.TakeOver(h, s.now)
}

func (s *scriptRunner) adopted(d *Registry) string {
	var out []string
	for _, a := range d.Takeovers(s.now) {
		out = append(out, fmt.Sprintf("%s.%d until %d", a.Issuer.VM, a.Issuer.Incarnation, a.ExpiresAt.Sub(epoch).Milliseconds()))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func TestHandOverPlan(t *testing.T) {
	type planned struct {
		Name       string   `json:"name"`
		Candidates []string `json:"candidates"`
		Offers     []string `json:"offers"`
	}
	outcomes := map[string]OfferOutcome{
		"accepted": OfferAccepted,
		"refused":  OfferRefused,
		"not_sent": OfferNotSent,
		"lost":     OfferLost,
	}
	for _, c := range readCase[[]planned](t, "testdata/plan.json") {
		t.Run(c.Name, func(t *testing.T) {
			var plan HandOverPlan
			var candidates []IncarnationID
			for _, vm := range c.Candidates {
				candidates = append(candidates, IncarnationID{VM: vm})
			}
			for _, line := range c.Offers {
				words := strings.Fields(line)
				switch words[0] {
				case "gone":
					candidates = slices.DeleteFunc(candidates, func(h IncarnationID) bool { return h.VM == words[1] })
					continue
				case "back":
					candidates = append(candidates, IncarnationID{VM: words[1]})
					continue
				}
				offer, ok := plan.Next(candidates)
				assert.Equal(t, ok, words[0] != "none", line)
				if !ok {
					continue
				}
				assert.Equal(t, offer, Offer{
					To:     IncarnationID{VM: words[1]},
					Rights: words[0] == "rights",
				}, line)
				plan = plan.After(offer, outcomes[words[2]])
			}
		})
	}
}

// TestConcurrentCallers sends one ticket from many goroutines during a hand-over; run
// with -race.
func TestConcurrentCallers(t *testing.T) {
	a := New(Options{
		VM: "a",
	})
	b := New(Options{
		VM: "b",
	})
	for range 50 {
		text := a.Issue("w", epoch.Add(ticketLifetime))
		var runs atomic.Int32
		var group sync.WaitGroup
		for i := range 8 {
			registry := []*Registry{a, b}[i%2]
			group.Go(func() {
				s := registry.Begin(text, "w", 1, epoch)
				for s.Kind == Wait {
					<-s.Done
					s = registry.Begin(text, "w", 1, epoch)
				}
				if s.Kind == Run && s.Entry.MarkSent(epoch) == nil {
					runs.Add(1)
					s.Entry.Finish(Record{
						Code: result.Done,
					})
				}
			})
		}
		group.Go(func() { b.TakeOver(a.Relinquish(epoch).WithReceiver(b.self), epoch) })
		group.Wait()
		assert.Assert(t, runs.Load() <= 1)
		a = New(Options{
			VM:          "a",
			Incarnation: a.self.Incarnation + 1,
		})
	}
}

func FuzzParse(f *testing.F) {
	d := New(Options{
		VM: "vm-1",
	})
	for _, seed := range []string{"", "AQ", "!", strings.Repeat("A", MaxLength+1), d.Issue("w", epoch), d.Issue("", time.UnixMilli(-1))} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, refusal := Parse(text)
		if refusal != nil {
			assert.Equal(t, refusal.Code, result.TicketInvalid)
			assert.Equal(t, got, Ticket{})
			return
		}
		assert.Equal(t, got.Text(), text)
		assert.Assert(t, len(got.VM) <= MaxVM && len(got.Workspace) <= MaxWorkspace && len(text) <= MaxLength)
	})
}

func TestLongestNames(t *testing.T) {
	d := New(Options{
		VM:          strings.Repeat("v", MaxVM),
		Incarnation: 1 << 63,
	})
	text := d.Issue(strings.Repeat("w", MaxWorkspace), epoch)
	got, refusal := Parse(text)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, got.Holder(), d.self)
	assert.Assert(t, got.ExpiresAt.Equal(epoch))
	assert.Equal(t, d.Issue(strings.Repeat("w", MaxWorkspace+1), epoch), "")
}

func BenchmarkIssue(b *testing.B) {
	d := New(Options{
		VM: "vm-1",
	})
	for b.Loop() {
		d.Issue("fairway", epoch)
	}
}

// BenchmarkRun runs one call per iteration with a response of 200 bytes and reports
// the memory per record.
func BenchmarkRun(b *testing.B) {
	d := New(Options{
		VM:         "vm-1",
		MaxRecords: 1 << 30,
		MaxBytes:   1 << 40,
	})
	header := http.Header{
		"Content-Type": {"application/json"},
	}
	texts := make([]string, b.N)
	for i := range texts {
		texts[i] = d.Issue("fairway", epoch.Add(ticketLifetime))
	}
	before := heapBytes()
	b.ResetTimer()
	for _, text := range texts {
		s := d.Begin(text, "fairway", 1, epoch)
		if refusal := s.Entry.MarkSent(epoch); refusal != nil {
			b.Fatal(refusal)
		}
		s.Entry.Finish(Record{
			Code:   result.Done,
			Status: http.StatusOK,
			Header: header,
			Body:   make([]byte, 200),
		})
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "heap-B/record")
	runtime.KeepAlive(texts)
	b.ReportMetric(float64(d.usedBytes)/float64(b.N), "counted-B/record")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
