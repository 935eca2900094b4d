package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
)

// The size of the fleet to project to, and how heartbeats grow, as package
// membership sets them.
const (
	letterVMs        = 380
	letterRegions    = 12
	sourcesPerRegion = 2
	fewOtherRegions  = 4
	heartbeatLeast   = 0.5
	heartbeatPerPeer = 0.075
)

// fitted is one figure against one quantity that it should follow.
type fitted struct {
	figure string
	unit   string
	by     string
	of     func(vms, regions float64) float64
	budget string
}

func fittings() []fitted {
	const byMessages = "heartbeats sent a second by the formula"
	messages := heartbeatsPerSecond
	return []fitted{
		{
			figure: "messages",
			unit:   "sent/s",
			by:     byMessages,
			of:     messages,
		},
		{
			figure: "bytes out",
			unit:   "bytes/s",
			by:     byMessages,
			of:     messages,
			budget: "3,000",
		},
		{
			figure: "processor",
			unit:   "% of a core",
			by:     byMessages,
			of:     messages,
			budget: "3.3",
		},
		{
			figure: "processor",
			unit:   "% of a core",
			by:     "heartbeats sent a second times VMs",
			of:     func(vms, regions float64) float64 { return messages(vms, regions) * vms },
			budget: "3.3",
		},
		{
			figure: "memory",
			unit:   "MiB",
			by:     "VMs",
			of:     func(vms, _ float64) float64 { return vms },
			budget: "128",
		},
		{
			figure: "reads",
			unit:   "calls/s to the platform, all VMs",
			by:     "VMs",
			of:     func(vms, _ float64) float64 { return vms },
			budget: "2,000",
		},
		{
			figure: "force",
			unit:   "s until in force everywhere",
			by:     "VMs",
			of:     func(vms, _ float64) float64 { return vms },
			budget: "4",
		},
	}
}

// heartbeatsPerSecond is what one VM sends: to its region and to some VMs of
// each other region, once an interval that grows with its region.
func heartbeatsPerSecond(vms, regions float64) float64 {
	own := vms / regions
	sources := sourcesPerRegion
	if regions-1 > fewOtherRegions {
		sources = 1
	}
	peers := own - 1 + float64(sources)*(regions-1)
	return peers / max(heartbeatLeast, heartbeatPerPeer*peers)
}

// line is a fit by least squares.
type line struct {
	intercept float64
	slope     float64
	// residual is the root of the mean square of what the fit leaves.
	residual float64
}

func fitLine(xs, ys []float64) line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	l := line{
		slope: (n*sxy - sx*sy) / (n*sxx - sx*sx),
	}
	l.intercept = (sy - l.slope*sx) / n
	var left float64
	for i := range xs {
		d := ys[i] - l.intercept - l.slope*xs[i]
		left += d * d
	}
	l.residual = math.Sqrt(left / n)
	return l
}

// fit projects the spread measurement to the letter's size.
func (b *bench) fit(_ context.Context, r *report) error {
	data, err := os.ReadFile(filepath.Join(b.out, "spread.json"))
	if err != nil {
		return err
	}
	var measured report
	if err := json.Unmarshal(data, &measured); err != nil {
		return err
	}
	sizes := sizesOf(&measured)
	if len(sizes) < 3 {
		return fmt.Errorf("a fit needs three sizes, and there are %d", len(sizes))
	}
	r.note("From the medians of spread.json at %v VMs, projected to %d VMs in %d regions. Each VM is idle.", sizes, letterVMs, letterRegions)
	t := r.table("Fits", "figure", "unit", "follows", "slope", "intercept", "residual (root mean square)", fmt.Sprintf("at %d VMs", letterVMs), "budget")
	for _, f := range fittings() {
		var xs, ys []float64
		for _, n := range sizes {
			xs = append(xs, f.of(float64(n), float64(regionsFor(n))))
			ys = append(ys, measured.pointsOf(spreadName(n, f.figure)).median())
		}
		l := fitLine(xs, ys)
		at := l.intercept + l.slope*f.of(letterVMs, letterRegions)
		t.row(f.figure, f.unit, f.by, fmt.Sprintf("%.4g", l.slope), fmt.Sprintf("%.3g", l.intercept), fmt.Sprintf("%.3g", l.residual), fmt.Sprintf("%.3g", at), f.budget)
	}
	return nil
}

func sizesOf(r *report) []int {
	var sizes []int
	for _, p := range r.Points {
		var n int
		if _, err := fmt.Sscanf(p.Name, "%d VMs:", &n); err == nil && !slices.Contains(sizes, n) {
			sizes = append(sizes, n)
		}
	}
	slices.Sort(sizes)
	return sizes
}
