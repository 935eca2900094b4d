package node

import (
	"sync"
	"time"
)

const (
	demandBins = 8
	// demandBinSeconds is the width of one bin; the mean is over all bins.
	demandBinSeconds = 2
)

// demand keeps the mean of recent demand in slots, and of the calls that this
// VM served for other regions. It is safe for concurrent use.
type demand struct {
	mu   sync.Mutex
	bins [demandBins]demandBin
	// strangers are the calls of other regions in flight.
	strangers int
}

// demandBin sums samples that were taken at the same moments.
type demandBin struct {
	number    int64
	samples   int
	busy      float64
	strangers float64
}

func newDemand() *demand {
	return &demand{}
}

// add takes a sample of the region's busy slots.
func (d *demand) add(slots float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := now.Unix() / demandBinSeconds
	bin := &d.bins[number%demandBins]
	if bin.number != number {
		*bin = demandBin{
			number: number,
		}
	}
	bin.samples++
	bin.busy += slots
	bin.strangers += float64(d.strangers)
}

// lend changes the number of strangers in flight, by 1 or -1.
func (d *demand) lend(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.strangers += calls
}

// own returns the region's mean demand without strangers. The other VMs are taken
// to serve as many as this one; over all VMs the sum is right however they spread.
func (d *demand) own(vms int, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := now.Unix()/demandBinSeconds - demandBins
	samples, slots := 0, 0.0
	for _, bin := range d.bins {
		if bin.number > oldest {
			samples += bin.samples
			slots += bin.busy - bin.strangers*float64(vms)
		}
	}
	return max(slots/float64(max(samples, 1)), 0)
}
