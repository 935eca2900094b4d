package borrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// placeLoad has its times in milliseconds.
type placeLoad struct {
	Region            string
	Endpoints         int
	First, Whole, Way int64
	Long              int64
}

func (l placeLoad) load() Load {
	return Load{
		Region:    l.Region,
		Endpoints: l.Endpoints,
		First:     time.Duration(l.First) * time.Millisecond,
		Whole:     time.Duration(l.Whole) * time.Millisecond,
		LongWhole: time.Duration(l.Long) * time.Millisecond,
		Way:       time.Duration(l.Way) * time.Millisecond,
	}
}

// TestPlace places calls with an objective of 1 s and a deadline of 10 s.
func TestPlace(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name       string
		Own        placeLoad
		Others     []placeLoad
		NotAllowed bool `json:"not_allowed"`
		Rank       int
		Draw       float64
		Want       string
		Overloaded bool
		Late       bool
	}](t, "testdata/place.json") {
		t.Run(c.Name, func(t *testing.T) {
			r := PlaceRequest{
				Own:        c.Own.load(),
				OwnAllowed: !c.NotAllowed,
				FirstBy:    now.Add(time.Second),
				WholeBy:    now.Add(10 * time.Second),
				Rank:       c.Rank,
				Draw:       c.Draw,
			}
			r.Own.Region = "a"
			for _, o := range c.Others {
				r.Others = append(r.Others, o.load())
			}
			assert.Equal(t, Place(r, now), Placement{Region: c.Want, Overloaded: c.Overloaded, Late: c.Late})
		})
	}
}

// TestComeBackLater holds that a refused call comes back within a third of its time.
func TestComeBackLater(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, draw := range []float64{0, 0.5, 1} {
		wait := ComeBackLater(now.Add(9*time.Second), now, draw).Sub(now)
		assert.Assert(t, wait > time.Second && wait <= 3*time.Second, wait)
	}
}
