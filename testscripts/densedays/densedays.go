package main

import (
	// For the kinds of disruptions.
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Options configure the days.
type Options struct {
	Seed  uint64
	Count int
	// Least and Most bound the number of random disruptions of a day, which begin between
	// From and From + Within.
	Least, Most  int
	From, Within time.Duration
	// Bursts adds two bursts of failures with a kill of all VMs between them.
	Bursts bool
	Dir    string
}

// Day is a day file of deploy/days.
type Day struct {
	Name    string         `toml:"name"`
	Slot    string         `toml:"slot"`
	Seed    uint64         `toml:"seed"`
	Closing Closing        `toml:"closing"`
	One     float64        `toml:"one"`
	Zero    float64        `toml:"zero"`
	Goal    map[string]any `toml:"goal"`
	Wall    float64        `toml:"wall"`
	Plan    []Disruption   `toml:"plan"`
	Faults  []Disruption   `toml:"faults"`
}

// Closing is the fault at the end of a day.
type Closing struct {
	Kind        string  `toml:"kind"`
	DownSeconds float64 `toml:"down_s"`
}

// Disruption is a fault or a planned change. At is in seconds from the start of the traffic.
type Disruption struct {
	Kind       string  `toml:"kind"`
	How        string  `toml:"how,omitempty"`
	On         string  `toml:"on,omitempty"`
	Service    string  `toml:"service,omitempty"`
	Class      string  `toml:"class,omitempty"`
	Zone       string  `toml:"zone,omitempty"`
	Share      float64 `toml:"share,omitzero"`
	X          float64 `toml:"x,omitzero"`
	ForSeconds float64 `toml:"for_s,omitzero"`
	GapSeconds float64 `toml:"gap_s,omitzero"`
	Count      int     `toml:"count,omitzero"`
	At         float64 `toml:"at"`
}

// kind is a kind of disruptions with the ranges of its parameters.
type kind struct {
	Kind    string   `json:"kind"`
	Planned bool     `json:"planned"`
	How     []string `json:"how"`
	On      string   `json:"on"`
	Service string   `json:"service"`
	Class   string   `json:"class"`
	Zone    string   `json:"zone"`
	Count   int      `json:"count"`
	Share   span     `json:"share"`
	X       span     `json:"x"`
	For     span     `json:"for_s"`
	Gap     span     `json:"gap_s"`
}

// span is a range of values, both ends included.
type span [2]float64

func (s span) draw(r *rand.Rand) float64 {
	return rounded(s[0] + r.Float64()*(s[1]-s[0]))
}

func rounded(x float64) float64 {
	return float64(int(x*100+0.5)) / 100
}

//go:embed kinds.json
var kindData []byte

var errOptions = errors.New("bad options")

func (o Options) validate() error {
	switch {
	case o.Count < 1:
		return fmt.Errorf("%w: count is %d, at least one day is needed", errOptions, o.Count)
	case o.Least < 0 || o.Most < o.Least:
		return fmt.Errorf("%w: least is %d and most %d", errOptions, o.Least, o.Most)
	case o.From < 0 || o.Within <= 0:
		return fmt.Errorf("%w: from is %v and within %v", errOptions, o.From, o.Within)
	}
	return nil
}

func writeDays(o Options) error {
	if err := o.validate(); err != nil {
		return err
	}
	for i := range o.Count {
		day, err := newDay(o, o.Seed+uint64(i))
		if err != nil {
			return err
		}
		if err := writeDay(filepath.Join(o.Dir, day.Name+".toml"), day); err != nil {
			return err
		}
	}
	return nil
}

// daySeedStream separates the days' random numbers from others of the same seed.
const daySeedStream = 1

func newDay(o Options, seed uint64) (Day, error) {
	var kinds []kind
	if err := json.Unmarshal(kindData, &kinds); err != nil {
		return Day{}, fmt.Errorf("kinds of disruptions: %w", err)
	}
	r := rand.New(rand.NewPCG(seed, daySeedStream))
	day := Day{
		Name: fmt.Sprintf("dense_%d", seed),
		Slot: "trouble",
		Seed: seed,
		Closing: Closing{
			Kind:        "kill_all",
			DownSeconds: 1,
		},
		One:    1,
		Goal:   map[string]any{"floor": 0.1},
		Wall:   2,
		Plan:   []Disruption{},
		Faults: []Disruption{},
	}
	if o.Bursts {
		day.Name = fmt.Sprintf("bursts_%d", seed)
		day.Faults = append(day.Faults, retryBursts(r)...)
	}
	for range o.Least + r.IntN(o.Most-o.Least+1) {
		k := kinds[r.IntN(len(kinds))]
		d := k.draw(r, o)
		if k.Planned {
			day.Plan = append(day.Plan, d)
		} else {
			day.Faults = append(day.Faults, d)
		}
	}
	byTime := func(a, b Disruption) int { return int(100*a.At) - int(100*b.At) }
	slices.SortStableFunc(day.Plan, byTime)
	slices.SortStableFunc(day.Faults, byTime)
	return day, nil
}

func (k kind) draw(r *rand.Rand, o Options) Disruption {
	d := Disruption{
		Kind:       k.Kind,
		On:         k.On,
		Service:    k.Service,
		Class:      k.Class,
		Zone:       k.Zone,
		Count:      k.Count,
		Share:      k.Share.draw(r),
		X:          k.X.draw(r),
		ForSeconds: k.For.draw(r),
		GapSeconds: k.Gap.draw(r),
		At:         rounded(o.From.Seconds() + r.Float64()*o.Within.Seconds()),
	}
	if len(k.How) > 0 {
		d.How = k.How[r.IntN(len(k.How))]
	}
	return d
}

// retryBursts returns twice the usual traffic, two bursts of failures at the two ends of one
// retry window of 10 s, and a kill of all VMs at the end of the first burst.
func retryBursts(r *rand.Rand) []Disruption {
	const lastFirstBurst, secondBurstFor = 12, 4
	first := span{10.5, lastFirstBurst}.draw(r)
	firstFor := span{2.6, 3.4}.draw(r)
	burst := Disruption{
		Kind:       "srv_grey",
		How:        []string{"errors", "reset"}[r.IntN(2)],
		Service:    "@s0",
		Share:      1,
		X:          span{0.7, 0.95}.draw(r),
		ForSeconds: firstFor,
		At:         first,
	}
	again := burst
	again.ForSeconds = secondBurstFor
	again.At = rounded(first + span{8, 9}.draw(r))
	return []Disruption{
		{
			Kind:       "burst",
			X:          2,
			ForSeconds: 22,
			At:         2,
		},
		burst,
		{
			Kind:       "herd_kill",
			Share:      1,
			ForSeconds: 0.3,
			At:         rounded(first + firstFor),
		},
		again,
	}
}

func writeDay(path string, day Day) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if _, err := fmt.Fprintf(f, "# Drawn by densedays with the seed %d.\n", day.Seed); err != nil {
		return err
	}
	return toml.NewEncoder(f).Encode(day)
}
