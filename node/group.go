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

// sweepInterval is how often idle accounts are removed.
const sweepInterval = time.Minute

func (n *Node) addWorkers(group *run.Group) {
	worker.Add(group, n.control.run)
	worker.Add(group, n.watchDocuments)
	worker.Add(group, n.watchList)
	worker.Add(group, n.followUpstream)
	worker.Add(group, n.servePullRequests)
	worker.Add(group, n.pools.pollLoadReports)
	worker.Add(group, n.crashAgent.Run)
	worker.Add(group, n.sweepAccounts)
}

// sweepAccounts removes the accounts of workspaces without recent calls.
func (n *Node) sweepAccounts(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sleepUntil(ctx, n.now().Add(sweepInterval))
		n.ledger.Sweep(n.now())
	}
	return nil
}

func (n *Node) addServers(group *run.Group, f *listeners) error {
	server, err := peer.NewServer(n.handlers())
	if err != nil {
		return err
	}
	n.peerServer = server
	worker.Add(group, func(ctx context.Context) error {
		return server.Serve(ctx, f.peer)
	})
	worker.AddHTTP(group, n.stopped, func() error { return n.caller.Serve(f.caller) }, n.caller.Close)
	operators := &http.Server{
		Handler:           operator.New(n.operatorOptions()),
		ReadHeaderTimeout: n.settings.Limits.HeaderWithin.Duration,
	}
	worker.AddHTTP(group, n.stopped, func() error { return operators.Serve(f.operator) }, operators.Close)
	return nil
}
