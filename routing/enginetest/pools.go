package enginetest

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// slotsPerEngine is the batch size of the listed engines.
const slotsPerEngine = 64

// NewPools returns one pool for each of vms VMs that route to the same engines.
func NewPools(vms int, ids []string, random *rand.Rand, now time.Time) []*routing.Pool {
	engines := endpointList(ids)
	pools := make([]*routing.Pool, 0, vms)
	for range vms {
		pool := routing.New(routing.Options{Rand: random.Uint64})
		pool.SetVMs(vms)
		pool.SetEndpoints(engines, now)
		pools = append(pools, pool)
	}
	return pools
}

func endpointList(ids []string) []fleet.Endpoint {
	list := make([]fleet.Endpoint, 0, len(ids))
	for _, id := range ids {
		list = append(list, fleet.Endpoint{
			ID:    id,
			Slots: slotsPerEngine,
			State: fleet.StateLive,
		})
	}
	return list
}
