package enginetest

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// engineSlots is the batch of the listed engines.
const engineSlots = 64

// Pools returns the pools of VMs that choose among the same engines, named by their ids.
func Pools(vms int, ids []string, random *rand.Rand, now time.Time) []*routing.Pool {
	engines := listed(ids)
	pools := make([]*routing.Pool, 0, vms)
	for range vms {
		pool := routing.New(routing.Options{Rand: random.Uint64})
		pool.SetVMs(vms)
		pool.SetEndpoints(engines, now)
		pools = append(pools, pool)
	}
	return pools
}

func listed(ids []string) []fleet.Endpoint {
	list := make([]fleet.Endpoint, 0, len(ids))
	for _, id := range ids {
		list = append(list, fleet.Endpoint{
			ID:    id,
			Slots: engineSlots,
			State: fleet.StateLive,
		})
	}
	return list
}
