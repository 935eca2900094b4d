package serving

import (
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// PoolLoad returns a load report as a pool takes it. The time per token is not part of a
// report: it follows from two of them.
func PoolLoad(l endpoint.Load) routing.Load {
	return routing.Load{
		At:              l.At,
		Slots:           l.Slots,
		Running:         l.Running,
		Waiting:         l.Waiting,
		QueuedTokens:    l.QueuedTokens,
		TokensPerSecond: l.TokensPerSecond,
		Leaving:         l.Leaving,
		CacheUsed:       l.CacheUsed,
		CacheTokens:     l.CacheTokens,
		NextTokens:      l.NextTokens,
		Incarnation:     l.Incarnation,
	}
}
