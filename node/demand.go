package node

import (
	"sync"
	"time"
)

const (
	demandBins = 8
	// demandBinSeconds is the width of one bin; the peak is over all bins.
	demandBinSeconds = 2
)

// demand keeps the peak of recent demand in slots.
type demand struct {
	mu   sync.Mutex
	bins [demandBins]demandBin
}

type demandBin struct {
	number int64
	peak   float64
}

func newDemand() *demand {
	return &demand{}
}

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
	bin.peak = max(bin.peak, slots)
}

func (d *demand) peak(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := now.Unix()/demandBinSeconds - demandBins
	peak := 0.0
	for _, bin := range d.bins {
		if bin.number > oldest {
			peak = max(peak, bin.peak)
		}
	}
	return peak
}
