package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/routing"
)

// tokenTimes returns the time per generated token of the region's engines by their reports:
// the mean and the highest, over all services.
func (p *pools) tokenTimes(now time.Time) (mean, highest time.Duration) {
	var all routing.TokenTimes
	for _, pool := range p.all() {
		all = all.Add(pool.Endpoints.TokenTimes(now))
	}
	return all.Mean(), all.Highest
}
