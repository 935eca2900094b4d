package node

import (
	"sync"
	"time"
)

const (
	demandBinCount = 8
	// demandBinSeconds is the width of a bin. The mean is over all bins.
	demandBinSeconds = 2
)

// demand tracks the recent demand for slots, and the share of it that other regions
// borrow. It is safe for concurrent use.
type demand struct {
	mu   sync.Mutex
	bins [demandBinCount]demandBin
	// borrowed is the number of calls in flight for other regions.
	borrowed int
}

// demandBin sums the samples of one interval.
type demandBin struct {
	number   int64
	samples  int
	busy     float64
	borrowed float64
}

func newDemand() *demand {
	return &demand{}
}

// addSample records the region's busy slots.
func (d *demand) addSample(slots float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := now.Unix() / demandBinSeconds
	bin := &d.bins[number%demandBinCount]
	if bin.number != number {
		*bin = demandBin{
			number: number,
		}
	}
	bin.samples++
	bin.busy += slots
	bin.borrowed += float64(d.borrowed)
}

// addBorrowed adds to the number of calls in flight for other regions.
func (d *demand) addBorrowed(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrowed += calls
}

// localMean returns the region's mean demand without borrowed calls. It assumes that
// every VM serves as many of them as this one, so that the sum over all VMs is right
// however the calls are spread.
func (d *demand) localMean(vms int, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := now.Unix()/demandBinSeconds - demandBinCount
	samples, slots := 0, 0.0
	for _, bin := range d.bins {
		if bin.number > oldest {
			samples += bin.samples
			slots += bin.busy - bin.borrowed*float64(vms)
		}
	}
	return max(slots/float64(max(samples, 1)), 0)
}
