package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Demand is what one workspace asks for, and the weight of its share.
type Demand struct {
	Amount float64
	Weight float64
}

// Level returns the max-min fair level: with a share of min(Amount, Weight*level) each, the
// demands use the whole capacity. It is infinite if the capacity suffices for all demands.
// Weights must be positive.
func Level(demands []Demand, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Compare(a.Amount/a.Weight, b.Amount/b.Weight)
	})
	weights := 0.0
	for _, d := range sorted {
		weights += d.Weight
	}
	left := max(capacity, 0)
	for _, d := range sorted {
		if d.Amount/d.Weight*weights > left {
			return left / weights
		}
		left -= d.Amount
		weights -= d.Weight
	}
	return math.Inf(1)
}

// Share returns the share of a demand at a level.
func (d Demand) Share(level float64) float64 {
	return min(d.Amount, d.Weight*level)
}
