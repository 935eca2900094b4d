package main

import (
	"github.com/BurntSushi/toml"
)

// kindFile is what is read of the users' file of a deployment.
type kindFile struct {
	Classes []kind `toml:"classes"`
}

// kind is one kind of calls, by the users' names of its fields.
type kind struct {
	Name string `toml:"name"`
	// Priority is the rank of its routes, Kind what may be repeated.
	Priority int    `toml:"priority"`
	Kind     string `toml:"kind"`
	// Worth is that of an answer on time, LateWorth that of a late one.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	Stream    struct {
		Resume bool `toml:"resume"`
	} `toml:"stream"`
}

// The users' words for what may be repeated.
const (
	kindStream     = "stream"
	kindIdempotent = "safe"
)

func readKinds(file string) ([]kind, error) {
	var out kindFile
	_, err := toml.DecodeFile(file, &out)
	return out.Classes, err
}

// matches reports whether an attempt is of the kind. Routes have no names that
// tell it, but rank, form and what may be repeated do.
func (k kind) matches(a attempt) bool {
	stream := k.Kind == kindStream
	idempotent := k.Kind == kindIdempotent || (stream && k.Stream.Resume)
	return k.Priority == a.arrived.Rank && stream == (a.arrived.GapMs > 0) && idempotent == a.arrived.Idempotent
}

const (
	// A stream's worth grows with its size: this part is fixed, the rest goes by its
	// size against the mean of its kind, up to sizeMost times the kind's worth.
	sizeFixed = 0.3
	sizeMost  = 4.0
	// outputWeight is what a generated token counts of a prompt's.
	outputWeight = 10.0
)

func (a attempt) size() float64 {
	return float64(a.arrived.Prompt) + outputWeight*float64(a.arrived.MaxTokens)
}

// factor is by how much an attempt's worth differs from its kind's.
func factor(size, mean float64) float64 {
	if size == 0 || mean == 0 {
		return 1
	}
	return min(sizeFixed+(1-sizeFixed)*size/mean, sizeMost)
}
