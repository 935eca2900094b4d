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
	// scheduleStream keeps this generator independent of others with the same seed.
	scheduleStream = 0x6c6f6164
	// zipfExponent and zipfOffset skew the popularity of prefixes and workspaces.
	zipfExponent = 1.2
	zipfOffset   = 4
)

// Arrival is a call at a scheduled time.
type Arrival struct {
	// Number counts the arrivals of a run from zero.
	Number int
	// Offset is the scheduled time, counted from the start of the run.
	Offset time.Duration
	// Region is an index into Targets.Regions, Workspace one into the region's
	// workspaces.
	Region    int
	Workspace int
	Kind      *Kind
	Prefix    int
	MaxTokens int
	// Marker is a unique token that the prompt carries and the answer repeats.
	Marker string
}

// Schedule generates the arrivals of a run in order of time. Each region is a
// Poisson process whose rate follows the region's time of day. The processes
// are sampled together by thinning.
func Schedule(o Options) ([]Arrival, error) {
	s := newSampler(o)
	end := o.Duration.Seconds()
	highest := o.Rate * (1 + o.Peak)
	var out []Arrival
	for at := s.interarrivalSeconds(highest); at < end; at += s.interarrivalSeconds(highest) {
		region := s.sampleRegion()
		if s.rand.Float64()*(1+o.Peak) >= o.relativeRate(region, at) {
			continue
		}
		if len(out) == o.MaxCalls {
			return nil, fmt.Errorf("the schedule exceeds %d calls", o.MaxCalls)
		}
		out = append(out, s.sampleArrival(len(out), at, region))
	}
	return out, nil
}

// relativeRate returns a region's rate at a time, relative to its mean.
func (o *Options) relativeRate(region int, at float64) float64 {
	if o.DayLength <= 0 {
		return 1
	}
	hour := at/o.DayLength.Seconds() - float64(region)/float64(len(o.Targets.Regions))
	return 1 + o.Peak*math.Cos(2*math.Pi*hour)
}

// sampler draws the random values of one schedule.
type sampler struct {
	options                Options
	rand                   *rand.Rand
	totalWeight            float64
	totalShare             float64
	prefixDistributions    []*rand.Zipf
	workspaceDistributions []*rand.Zipf
}

func newSampler(o Options) *sampler {
	s := &sampler{
		options: o,
		rand:    rand.New(rand.NewPCG(o.Seed, scheduleStream)),
	}
	for _, k := range o.Mix.Kinds {
		s.totalWeight += k.Weight
		s.prefixDistributions = append(s.prefixDistributions, s.newZipf(k.Prefixes))
	}
	for _, r := range o.Targets.Regions {
		s.totalShare += r.relativeShare()
		s.workspaceDistributions = append(s.workspaceDistributions, s.newZipf(len(r.Workspaces)))
	}
	return s
}

func (s *sampler) newZipf(n int) *rand.Zipf {
	return rand.NewZipf(s.rand, zipfExponent, zipfOffset, uint64(max(n, 1)-1))
}

func (s *sampler) interarrivalSeconds(rate float64) float64 {
	return s.rand.ExpFloat64() / rate
}

func (s *sampler) sampleRegion() int {
	left := s.rand.Float64() * s.totalShare
	for i, r := range s.options.Targets.Regions {
		if left -= r.relativeShare(); left < 0 {
			return i
		}
	}
	return len(s.options.Targets.Regions) - 1
}

func (s *sampler) sampleKind() int {
	left := s.rand.Float64() * s.totalWeight
	for i, k := range s.options.Mix.Kinds {
		if left -= k.Weight; left < 0 {
			return i
		}
	}
	return len(s.options.Mix.Kinds) - 1
}

func (s *sampler) sampleArrival(number int, at float64, region int) Arrival {
	k := s.sampleKind()
	kind := &s.options.Mix.Kinds[k]
	return Arrival{
		Number:    number,
		Offset:    time.Duration(at * float64(time.Second)),
		Region:    region,
		Workspace: int(s.workspaceDistributions[region].Uint64()),
		Kind:      kind,
		Prefix:    int(s.prefixDistributions[k].Uint64()),
		MaxTokens: s.sampleMaxTokens(kind),
		Marker:    "s" + strconv.FormatUint(s.options.Seed, 10) + "-" + strconv.Itoa(number),
	}
}

func (s *sampler) sampleMaxTokens(k *Kind) int {
	if k.MaxTokens == 0 {
		return 0
	}
	return max(k.MaxTokens/2+s.rand.IntN(k.MaxTokens+1), 1)
}

// systemPrompt returns the prefix that calls of one kind and prefix number share.
func (a *Arrival) systemPrompt() string {
	var text strings.Builder
	for i := range a.Kind.SharedTokens {
		fmt.Fprintf(&text, "%s-%d-%d ", a.Kind.Name, a.Prefix, i)
	}
	return text.String()
}

// userMessage returns the part of the prompt that belongs to this call alone.
func (a *Arrival) userMessage() string {
	return "marker=" + a.Marker + strings.Repeat(" word", a.Kind.OwnTokens)
}

// servicePath returns the path of a service call, which the answer repeats.
func (a *Arrival) servicePath() string {
	return a.Kind.Path + "/" + strconv.Itoa(a.Number)
}

// isCompleteAnswer reports whether text is the complete answer to this call.
func (a *Arrival) isCompleteAnswer(text string) bool {
	if a.Kind.Service {
		return strings.Contains(text, a.servicePath()+`"`)
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
