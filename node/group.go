package node

import (
	"context"
	"errors"
	"net"
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
	n.addHTTP(group, f.caller, n.caller.Serve, n.caller.Close)
	operators := &http.Server{
		Handler:           operator.New(n.operatorOptions()),
		ReadHeaderTimeout: n.settings.Limits.HeaderWithin.Duration,
	}
	n.addHTTP(group, f.operator, operators.Serve, operators.Close)
	return nil
}

func (n *Node) addHTTP(group *run.Group, ln net.Listener, serve func(net.Listener) error, closeAll func() error) {
	group.Add(func() error {
		err := serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			<-n.gone
			return nil
		}
		return err
	}, func(error) {
		_ = closeAll()
	})
}
