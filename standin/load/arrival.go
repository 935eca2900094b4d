package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

const (
	// streamOfSchedule separates this generator's stream from others of one seed.
	streamOfSchedule = 0x6c6f6164
	// zipfExponent and zipfOffset skew the choice of prefixes and workspaces.
	zipfExponent = 1.2
	zipfOffset   = 4
)

// Arrival is one scheduled call.
type Arrival struct {
	// Number is unique in a run, from zero.
	Number int
	// After is the time from the start of the run.
	After time.Duration
	// Region and Workspace are indexes into Targets; Kind is of the mix.
	Region    int
	Workspace int
	Kind      *Kind
	Prefix    int
	MaxTokens int
	// Marker names the call in its prompt and in its answer.
	Marker string
}

// Schedule draws the arrivals of a run: a Poisson process for each region
// whose rate follows the hour of the region's day, merged in order of time.
func Schedule(o Options) ([]Arrival, error) {
	d := newDraw(o)
	end := o.Duration.Seconds()
	highest := o.Rate * (1 + o.Peak)
	var out []Arrival
	for at := d.wait(highest); at < end; at += d.wait(highest) {
		region := d.region()
		if d.rand.Float64()*(1+o.Peak) >= o.swing(region, at) {
			continue
		}
		if len(out) == o.MaxCalls {
			return nil, fmt.Errorf("the schedule exceeds %d calls", o.MaxCalls)
		}
		out = append(out, d.arrival(len(out), at, region))
	}
	return out, nil
}

// swing is the rate of a region at a time, relative to its mean.
func (o *Options) swing(region int, at float64) float64 {
	if o.Day <= 0 {
		return 1
	}
	hour := at/o.Day.Seconds() - float64(region)/float64(len(o.Targets.Regions))
	return 1 + o.Peak*math.Cos(2*math.Pi*hour)
}

// draw holds the random choices of one schedule.
type draw struct {
	options    Options
	rand       *rand.Rand
	weights    float64
	shares     float64
	prefixes   []*rand.Zipf
	workspaces []*rand.Zipf
}

func newDraw(o Options) *draw {
	d := &draw{
		options: o,
		rand:    rand.New(rand.NewPCG(o.Seed, streamOfSchedule)),
	}
	for _, k := range o.Mix.Kinds {
		d.weights += k.Weight
		d.prefixes = append(d.prefixes, d.zipf(k.Prefixes))
	}
	for _, r := range o.Targets.Regions {
		d.shares += r.share()
		d.workspaces = append(d.workspaces, d.zipf(len(r.Workspaces)))
	}
	return d
}

func (d *draw) zipf(n int) *rand.Zipf {
	return rand.NewZipf(d.rand, zipfExponent, zipfOffset, uint64(max(n, 1)-1))
}

func (d *draw) wait(rate float64) float64 {
	return d.rand.ExpFloat64() / rate
}

func (d *draw) region() int {
	left := d.rand.Float64() * d.shares
	for i, r := range d.options.Targets.Regions {
		if left -= r.share(); left < 0 {
			return i
		}
	}
	return len(d.options.Targets.Regions) - 1
}

func (d *draw) kind() int {
	left := d.rand.Float64() * d.weights
	for i, k := range d.options.Mix.Kinds {
		if left -= k.Weight; left < 0 {
			return i
		}
	}
	return len(d.options.Mix.Kinds) - 1
}

func (d *draw) arrival(number int, at float64, region int) Arrival {
	k := d.kind()
	kind := &d.options.Mix.Kinds[k]
	return Arrival{
		Number:    number,
		After:     time.Duration(at * float64(time.Second)),
		Region:    region,
		Workspace: int(d.workspaces[region].Uint64()),
		Kind:      kind,
		Prefix:    int(d.prefixes[k].Uint64()),
		MaxTokens: d.tokens(kind),
		Marker:    "s" + strconv.FormatUint(d.options.Seed, 10) + "-" + strconv.Itoa(number),
	}
}

func (d *draw) tokens(k *Kind) int {
	if k.MaxTokens == 0 {
		return 0
	}
	return max(k.MaxTokens/2+d.rand.IntN(k.MaxTokens+1), 1)
}

// system is the shared prefix of the prompt.
func (a *Arrival) system() string {
	var text strings.Builder
	for i := range a.Kind.SharedTokens {
		fmt.Fprintf(&text, "%s-%d-%d ", a.Kind.Name, a.Prefix, i)
	}
	return text.String()
}

// message is the own part of the prompt.
func (a *Arrival) message() string {
	return "marker=" + a.Marker + strings.Repeat(" word", a.Kind.OwnTokens)
}

// path is the path of a service call, which the stand-in's answer repeats.
func (a *Arrival) path() string {
	return a.Kind.Path + "/" + strconv.Itoa(a.Number)
}

// isAnswer reports whether a text is the whole own answer.
func (a *Arrival) isAnswer(text string) bool {
	if a.Kind.Service {
		return strings.Contains(text, a.path()+`"`)
	}
	rest := text
	for i := range a.MaxTokens {
		var ok bool
		rest, ok = strings.CutPrefix(rest, a.Marker+"-"+strconv.Itoa(i)+" ")
		if !ok {
			return false
		}
	}
	return rest == ""
}
