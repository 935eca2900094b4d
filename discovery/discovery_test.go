package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
)

type schedule struct {
	Name  string
	Steps []step
	Want  []string
	// Unpublished are the endpoints that leave and whose entries say otherwise.
	Unpublished []string
	Version     uint64
}

type step struct {
	Put, In, State, Cold string
	// Incarnation and Seq order the entries of a restarted endpoint.
	Incarnation int64
	Seq         uint64
	Unreadable  string
	// Unreached names an endpoint that counts as unreachable for Long.
	Unreached, Long string
	SaysCold        string `json:"says_cold"`
	// SaysLeaving names an endpoint that said in a response that it leaves.
	SaysLeaving string `json:"says_leaving"`
	Remove      string
	Store       string
	Wait        string
	Evacuate    string
	TakeBack    string `json:"take_back"`
	Table       uint64
	OtherKey    bool `json:"other_key"`
	// Restored says that the step comes from an older copy of the store.
	Restored bool
}

func TestSchedules(t *testing.T) {
	for _, c := range datatest.Read[[]schedule](t, "testdata/schedules.json") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			s := New(Options{Grace: 2 * time.Second})
			for _, step := range c.Steps {
				now = applyStep(t, s, step, now)
				s.Advance(now)
			}
			got := []string{}
			for _, e := range s.Endpoints(now) {
				name := e.ID
				if !e.ColdUntil.IsZero() {
					name += " cold"
				}
				if !e.UnreachableUntil.IsZero() {
					name += " unreached"
				}
				got = append(got, name)
			}
			assert.DeepEqual(t, got, c.Want)
			var unpublished []string
			for _, e := range s.UnpublishedLeaving() {
				unpublished = append(unpublished, e.ID)
			}
			assert.DeepEqual(t, unpublished, c.Unpublished)
			if c.Version > 0 {
				assert.Equal(t, s.Table().Version, c.Version)
			}
		})
	}
}

func applyStep(t *testing.T, s *State, step step, now time.Time) time.Time {
	t.Helper()
	switch {
	case step.Put != "":
		s.Apply(Change{Restored: step.Restored, Endpoint: newEndpoint(t, step)}, now)
	case step.Unreadable != "":
		s.Apply(Change{Restored: step.Restored, Unreadable: true, Endpoint: &Endpoint{Endpoint: fleet.Endpoint{ID: step.Unreadable}}}, now)
	case step.Unreached != "":
		s.ReportUnreachable(step.Unreached, now.Add(parseDuration(t, step.Long)), now)
	case step.SaysCold != "":
		s.ReportCold(step.SaysCold, now.Add(parseDuration(t, step.Cold)), now, false)
	case step.SaysLeaving != "":
		s.ReportLeaving(LeavingEndpoint{ID: step.SaysLeaving, Incarnation: step.Incarnation}, now)
	case step.Remove != "":
		s.Apply(Change{Restored: step.Restored, Removed: true, Endpoint: &Endpoint{Endpoint: fleet.Endpoint{ID: step.Remove}}}, now)
	case step.Store == "lost":
		s.StoreLost()
	case step.Store == "back":
		s.StoreRecovered(now)
	case step.Store == "restored":
		s.StoreRestored(now)
	case step.Evacuate != "":
		s.Apply(Change{Evacuated: step.Evacuate}, now)
	case step.TakeBack != "":
		s.Apply(Change{Restored: step.Restored, Evacuated: step.TakeBack, Removed: true}, now)
	case step.Table > 0:
		s.Apply(Change{Restored: step.Restored, Table: route.New(route.Options{Version: step.Table})}, now)
	case step.OtherKey:
		s.Apply(Change{Key: "other", Removed: true}, now)
	case step.Wait != "":
		return now.Add(parseDuration(t, step.Wait))
	}
	return now
}

func newEndpoint(t *testing.T, step step) *Endpoint {
	t.Helper()
	e := &Endpoint{
		Endpoint: fleet.Endpoint{
			ID:          step.Put,
			DataCentre:  step.In,
			State:       fleet.StateLive,
			Incarnation: step.Incarnation,
		},
		Seq: step.Seq,
	}
	if step.State != "" {
		e.State = fleet.State(step.State)
	}
	if step.Cold != "" {
		e.ColdFor = parseDuration(t, step.Cold)
	}
	return e
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}
