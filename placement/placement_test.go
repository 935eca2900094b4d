package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// loadCase is a Load with its times in milliseconds.
type loadCase struct {
	Region            string
	Endpoints         int
	First, Whole, Way int64
	Long              int64
	Endangers         bool
}

func (l loadCase) load() Load {
	return Load{
		Region:       l.Region,
		Endpoints:    l.Endpoints,
		TTFT:         time.Duration(l.First) * time.Millisecond,
		TotalTime:    time.Duration(l.Whole) * time.Millisecond,
		TotalTimeP90: time.Duration(l.Long) * time.Millisecond,
		RoundTrip:    time.Duration(l.Way) * time.Millisecond,
		Endangers:    l.Endangers,
	}
}

// TestDecide uses an objective of 1 s, and a deadline of 10 s where a row has no other.
func TestDecide(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name       string
		Own        loadCase
		Others     []loadCase
		NotAllowed bool `json:"not_allowed"`
		Resumed    bool
		DeadlineMS int64 `json:"deadline_ms"`
		Rank       int
		Draw       float64
		Want       string
		Overloaded bool
		Late       bool
	}](t, "testdata/decide.json") {
		t.Run(c.Name, func(t *testing.T) {
			r := Request{
				Local:              c.Own.load(),
				LocalAllowed:       !c.NotAllowed,
				FirstTokenDeadline: now.Add(time.Second),
				Deadline:           now.Add(10 * time.Second),
				Rank:               c.Rank,
				Resumed:            c.Resumed,
				DeadlineDraw:       c.Draw,
			}
			if c.DeadlineMS > 0 {
				r.Deadline = now.Add(time.Duration(c.DeadlineMS) * time.Millisecond)
			}
			r.Local.Region = "a"
			for _, o := range c.Others {
				r.Remote = append(r.Remote, o.load())
			}
			got := Decide(r, now)
			assert.Equal(t, got.Region, c.Want)
			assert.Equal(t, got.Late, c.Late)
			assert.Equal(t, got.Refusal == ReasonDeadline, c.Overloaded)
			assert.Equal(t, got.Refusal == ReasonNoRegion, c.Want == "")
		})
	}
}

// TestRetryTime checks that the retry time of a refused call leaves time for its
// objective, and comes within a third of the time to the deadline if there is no
// objective or it has passed, and that callers do not come back before the queue ends.
func TestRetryTime(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name    string
		FirstMS int64 `json:"first_ms"`
		QueueMS int64 `json:"queue_ms"`
		Draw    float64
		Least   int64 `json:"least_ms"`
		Most    int64 `json:"most_ms"`
	}](t, "testdata/come_back.json") {
		t.Run(c.Name, func(t *testing.T) {
			r := Request{
				Local: Load{
					Region:    "a",
					Endpoints: 1,
					TTFT:      time.Duration(c.QueueMS) * time.Millisecond,
					TotalTime: time.Hour,
				},
				LocalAllowed: true,
				Deadline:     now.Add(9 * time.Second),
				RetryDraw:    c.Draw,
			}
			if c.FirstMS != 0 {
				r.FirstTokenDeadline = now.Add(time.Duration(c.FirstMS) * time.Millisecond)
			}
			d := Decide(r, now)
			assert.Equal(t, d.Refusal, ReasonDeadline)
			wait := d.RetryAt.Sub(now).Milliseconds()
			assert.Assert(t, wait >= c.Least && wait <= c.Most, "%d ms", wait)
		})
	}
}

// TestRetryTimeWithoutDeadline guards against a retry time in the past for a late call that
// has an objective alone.
func TestRetryTimeWithoutDeadline(t *testing.T) {
	now := time.Unix(1e9, 0)
	d := Decide(Request{
		Local: Load{
			Region:    "a",
			Endpoints: 1,
			TTFT:      5 * time.Second,
		},
		LocalAllowed:       true,
		FirstTokenDeadline: now.Add(time.Second),
		MissRate:           1,
	}, now)
	assert.Equal(t, d.Refusal, ReasonObjective)
	assert.Equal(t, d.RetryAt, now.Add(300*time.Millisecond))
}
