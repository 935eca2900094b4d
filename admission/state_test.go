package admission

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

var start = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

type stateScript struct {
	Name   string
	Policy string
	Length int
	Share  float64
	// Busy is the number of chat calls that already run.
	Busy  int
	Steps []scriptStep
}

// scriptStep is one message with its supply, the number of free slots of four, and the
// actions wanted. A call holds its slot for a second.
type scriptStep struct {
	At       string
	Arrive   uint64
	Priority string
	First    string
	Whole    string
	Max      int
	Cancel   uint64
	Done     uint64
	Tick     bool
	Free     float64
	Own      int
	// Endpoints is added to the one endpoint of the supply; -1 means none.
	Endpoints int
	Retry     string
	Want      []string
}

func TestStateScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/state.json")
	assert.NilError(t, err)
	var scripts []stateScript
	assert.NilError(t, json.Unmarshal(data, &scripts))
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			state := NewState(Options{
				Policy:      s.Policy,
				Length:      s.Length,
				ReportShare: s.Share,
			})
			for i := range s.Busy {
				state.Step(Message{
					Kind:    MessageArrive,
					ID:      uint64(100 + i),
					Request: Request{Priority: call.PriorityChat},
					Supply:  supplyWithFree(1),
				}, start.Add(-time.Hour))
			}
			for i, st := range s.Steps {
				now := timeAfter(t, start, st.At)
				var got []string
				for _, a := range state.Step(st.message(t, now), now) {
					got = append(got, format(a, now))
				}
				assert.DeepEqual(t, append([]string{strconv.Itoa(i)}, got...), append([]string{strconv.Itoa(i)}, st.Want...))
			}
		})
	}
}

func (st scriptStep) message(t *testing.T, now time.Time) Message {
	m := Message{
		Kind:   MessageTick,
		Supply: supplyWithFree(st.Free),
	}
	m.Supply.Endpoints += st.Endpoints
	if st.Own > 0 {
		m.Supply.OwnInFlight = st.Own
	}
	if st.Retry != "" {
		m.Supply.NextProbeAt = timeAfter(t, now, st.Retry)
	}
	switch {
	case st.Arrive != 0:
		m.Kind = MessageArrive
		m.ID = st.Arrive
		m.Request.Priority, _ = call.ParsePriority(st.Priority)
		m.Request.MaxTokens = st.Max
		if st.First != "" {
			m.Request.FirstTokenDeadline = timeAfter(t, now, st.First)
		}
		if st.Whole != "" {
			m.Request.Deadline = timeAfter(t, now, st.Whole)
		}
	case st.Cancel != 0:
		m.Kind = MessageCancel
		m.ID = st.Cancel
	case st.Done != 0:
		m.Kind = MessageDone
		m.ID = st.Done
	}
	return m
}

func supplyWithFree(free float64) routing.Capacity {
	return routing.Capacity{
		Endpoints:      1,
		Slots:          4,
		Free:           free,
		OwnInFlight:    int(4 - free),
		SlotTime:       time.Second,
		BaseTTFT:       20 * time.Millisecond,
		DecodeRate:     50,
		PrefillRate:    4000,
		AnswerFraction: 0.5,
	}
}

func timeAfter(t *testing.T, from time.Time, text string) time.Time {
	if text == "" {
		return from
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return from.Add(d)
}

func format(a Action, now time.Time) string {
	if a.Kind == ActionStart {
		return fmt.Sprintf("start %d", a.ID)
	}
	back := "never"
	if !a.RetryAt.IsZero() {
		back = a.RetryAt.Sub(now).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("refuse %d %d %s", a.ID, a.Code, back)
}

// TestStateInvariants checks on random messages that each call gets one action, none
// starts too late, urgent calls start first, and no call waits while a slot is free
// that it may take.
func TestStateInvariants(t *testing.T) {
	policies := []string{PolicyBackfill, PolicyPriority}
	rapid.Check(t, func(t *rapid.T) {
		const slots, length = 4, 6
		s := NewState(Options{
			Policy: rapid.SampledFrom(policies).Draw(t, "policy"),
			Length: length,
		})
		now := start
		waiting := map[uint64]Request{}
		var running []uint64
		lastID := uint64(0)
		step := func(t *rapid.T, m Message) {
			m.Supply = supplyWithFree(float64(slots - len(running)))
			if m.Kind == MessageArrive {
				waiting[m.ID] = m.Request
			}
			lower := false
			for _, a := range s.Step(m, now) {
				r, ok := waiting[a.ID]
				assert.Assert(t, ok, "call %d was answered twice", a.ID)
				delete(waiting, a.ID)
				if a.Kind == ActionRefuse {
					assert.Assert(t, a.Code != 0)
					continue
				}
				assert.Assert(t, !latestStart(r, m.Supply).Before(now))
				lower = lower || r.Priority != call.PriorityUrgent
				running = append(running, a.ID)
			}
			left := s.Waiting()
			assert.Equal(t, len(waiting), left[0]+left[1]+left[2])
			assert.Assert(t, len(waiting) <= length)
			free := float64(slots - len(running))
			assert.Assert(t, free >= 0)
			assert.Assert(t, left[call.PriorityUrgent] == 0 || (free == 0 && !lower))
			assert.Assert(t, left[call.PriorityChat] == 0 || free < 1+s.urgentReserve(m.Supply, now))
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				lastID++
				step(t, Message{
					Kind: MessageArrive,
					ID:   lastID,
					Request: Request{
						Priority:           call.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
						FirstTokenDeadline: now.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(t, "first")) * time.Millisecond),
						MaxTokens:          rapid.IntRange(0, 500).Draw(t, "max"),
					},
				})
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				id := running[0]
				running = running[1:]
				step(t, Message{
					Kind: MessageDone,
					ID:   id,
				})
			},
			"cancel": func(t *rapid.T) {
				for id := range lastID + 1 {
					if _, ok := waiting[id]; ok {
						delete(waiting, id)
						step(t, Message{
							Kind: MessageCancel,
							ID:   id,
						})
						return
					}
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				step(t, Message{Kind: MessageTick})
			},
		})
	})
}
