package main

import (
	"github.com/BurntSushi/toml"
)

// siteFile is the part of a deployment file that describes the classes of calls.
type siteFile struct {
	Classes []callClass `toml:"classes"`
}

// callClass is one class of calls in a deployment file.
type callClass struct {
	Name string `toml:"name"`
	// Priority is the rank of the class's routes; Kind is "stream", "safe" or "unsafe".
	Priority int    `toml:"priority"`
	Kind     string `toml:"kind"`
	// Worth is the worth of an answer in time, LateWorth that of a late one.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	Stream    struct {
		Resume bool `toml:"resume"`
	} `toml:"stream"`
}

// Values of callClass.Kind.
const (
	kindStream     = "stream"
	kindIdempotent = "safe"
)

func readClasses(file string) ([]callClass, error) {
	var out siteFile
	_, err := toml.DecodeFile(file, &out)
	return out.Classes, err
}

// matches reports whether an attempt belongs to the class. Log records don't name the
// class, so it is inferred from rank, streaming and idempotency.
func (k callClass) matches(a attempt) bool {
	isStream := k.Kind == kindStream
	idempotent := k.Kind == kindIdempotent || (isStream && k.Stream.Resume)
	return k.Priority == a.arrived.Rank && isStream == (a.arrived.GapMs > 0) && idempotent == a.arrived.Idempotent
}

const (
	// Worth grows with size: fixedWorthFraction is constant, the rest is proportional to
	// the size relative to the class mean, up to maxWorthFactor.
	fixedWorthFraction = 0.3
	maxWorthFactor     = 4.0
	// outputTokenWeight is the weight of an output token relative to a prompt token.
	outputTokenWeight = 10.0
)

func (a attempt) weightedTokens() float64 {
	return float64(a.arrived.PromptTokens) + outputTokenWeight*float64(a.arrived.MaxTokens)
}

// worthFactor returns the worth of an attempt relative to the mean of its class.
func worthFactor(size, mean float64) float64 {
	if size == 0 || mean == 0 {
		return 1
	}
	return min(fixedWorthFraction+(1-fixedWorthFraction)*size/mean, maxWorthFactor)
}
