package node

import (
	"context"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/peer"
)

// sweepEvery is how often unused accounts are forgotten.
const sweepEvery = time.Minute

func (n *Node) addWorkers(group *run.Group) {
	worker.Add(group, n.control.run)
	worker.Add(group, n.watchDocuments)
	worker.Add(group, n.watchList)
	worker.Add(group, n.followSource)
	worker.Add(group, n.pullOnDemand)
	worker.Add(group, n.pools.run)
	worker.Add(group, n.crashes.Run)
	worker.Add(group, n.sweepAccounts)
}

// sweepAccounts forgets accounts of workspaces that have not called for long.
func (n *Node) sweepAccounts(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sleepUntil(ctx, n.now().Add(sweepEvery))
		n.ledger.Sweep(n.now())
	}
	return nil
}

func (n *Node) addFronts(group *run.Group, f *fronts) error {
	server, err := peer.NewServer(n.handlers())
	if err != nil {
		return err
	}
	worker.Add(group, func(ctx context.Context) error {
		return server.Serve(ctx, f.peer)
	})
	worker.AddHTTP(group, n.gone, func() error { return n.caller.Serve(f.caller) }, n.caller.Close)
	operators := &http.Server{
		Handler:           operator.New(n.operatorOptions()),
		ReadHeaderTimeout: n.settings.Limits.HeaderWithin.Duration,
	}
	worker.AddHTTP(group, n.gone, func() error { return operators.Serve(f.operator) }, operators.Close)
	return nil
}
