// Package node is one VM's process put together: the control goroutine, the
// fronts for callers, peers and operators, the platform reader, and the pools
// of endpoints. They run as one group and stop together.
package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/fuchsianotch/fuchsianotch/caller"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/quarantine/agent"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/serving"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/ticket"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

const (
	// retryShare is the share of calls that may be tried again.
	retryShare = 0.1
	// writeWithin bounds one write to a slow caller.
	writeWithin = 10 * time.Second
	// idAlphabet is the base of request ids.
	idAlphabet = 36
)

// Options set up a Node.
type Options struct {
	Settings *settings.Settings
	Logger   *slog.Logger
	// Now is the clock; nil means one that goes on while the VM is suspended.
	Now func() time.Time
}

// Node is one VM's process.
type Node struct {
	settings    *settings.Settings
	log         *slog.Logger
	now         func() time.Time
	incarnation uint64
	// tls secures the peer front; nil means plain TCP.
	tls *tls.Config

	ring     *timeline.Ring
	metrics  *metrics.Metrics
	peers    *peer.Client
	platform *platform.Client
	control  *control
	pools    *pools
	desk     *ticket.Desk
	parts    *peer.Parts
	ledger   *limit.Ledger
	crashes  *agent.Agent
	serving  *serving.Server
	caller   *caller.Server

	// pulls names VMs whose heartbeats showed other documents.
	pulls chan string
	// idPrefix begins every request id of this incarnation.
	idPrefix string
	ids      atomic.Uint64
	stopping atomic.Bool
	// gone is closed when the planned stop is over.
	gone chan struct{}
}

// New makes a node that does not listen yet. It fails only if no identity can
// be derived from the peer key.
func New(o Options) (*Node, error) {
	if o.Now == nil {
		o.Now = clock.New(clock.Options{}).Now
	}
	n := &Node{
		settings:    o.Settings,
		log:         o.Logger,
		now:         o.Now,
		incarnation: newIncarnation(),
		metrics:     metrics.New(),
		pulls:       make(chan string, 1),
		gone:        make(chan struct{}),
	}
	n.idPrefix = strconv.FormatUint(n.incarnation, idAlphabet) + "-"
	if o.Settings.PeerKey != "" {
		secured, err := peer.TLS(o.Settings.PeerKey)
		if err != nil {
			return nil, err
		}
		n.tls = secured
	}
	n.makeParts()
	return n, nil
}

// newIncarnation numbers this life of the process. It is never zero.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (n *Node) makeParts() {
	s := n.settings
	n.ring = timeline.New(timeline.Options{
		VM:       s.VM,
		Capacity: s.TimelineEvents,
		Now:      n.now,
	})
	n.peers = peer.New(peer.Options{
		Routes:     routesOf(s),
		CountBytes: n.countBytes,
		TLS:        n.tls,
	})
	n.platform = platform.New(platform.Options{
		URL: s.PlatformURL,
		Now: n.now,
	})
	n.desk = ticket.New(ticket.Options{
		VM:          s.VM,
		Incarnation: n.incarnation,
		Count:       s.Records.Count,
		Bytes:       s.Records.Bytes,
	})
	n.parts = peer.NewParts(s.Records.Bytes)
	n.ledger = limit.New(limit.Options{
		Policy: s.Policies.Limits,
	})
	client := endpoint.New(endpoint.Options{
		Now: n.now,
	})
	n.crashes = n.newCrashes()
	n.pools = newPools(n, client)
	n.control = newControl(n)
	n.serving = n.newServing(client)
	n.caller = n.newCaller()
}

func routesOf(s *settings.Settings) func(vm string) (string, bool) {
	routes := make(map[string]string, len(s.PeerRoutes))
	for _, r := range s.PeerRoutes {
		routes[r.VM] = r.Addr
	}
	return func(vm string) (string, bool) {
		addr, ok := routes[vm]
		return addr, ok
	}
}

func (n *Node) newServing(client *endpoint.Client) *serving.Server {
	return serving.New(serving.Options{
		Now:      n.now,
		VM:       n.settings.VM,
		Region:   n.settings.Region,
		Snapshot: n.snapshot,
		View:     n.view,
		Pool:     n.pools.find,
		Forward:  n.forward,
		Lease:    n.lease,
		Borrow:   n.pools.borrow,
		Accept:   n.pools.accept,
		Ledger:   n.ledger,
		Desk:     n.desk,
		Endpoint: client,
		Budget:   n.newBudget(),
		Crashes: serving.Crashes{
			Admit:     n.crashes.Admit,
			Cut:       n.crashes.Cut,
			EndedWell: n.crashes.EndedWell,
		},
		Ring:    n.ring,
		Metrics: n.metrics,
	})
}

// newBudget is one budget for the calls of all targets.
func (n *Node) newBudget() serving.Budget {
	budget := retry.New(retryShare)
	return serving.Budget{
		OnRequest: func(string) { budget.OnRequest() },
		Allow:     func(string) bool { return budget.Allow() },
	}
}

func (n *Node) newCaller() *caller.Server {
	s := n.settings
	return caller.New(caller.Options{
		VM:          s.VM,
		Now:         n.now,
		NewID:       n.newID,
		Ready:       n.caughtUp,
		Snapshot:    n.snapshot,
		View:        n.view,
		Serve:       n.serving.Serve,
		IssueTicket: n.desk.Issue,
		Stopping:    n.stopping.Load,
		Bounds: caller.Bounds{
			MaxBodyBytes:             s.Limits.MaxBodyBytes,
			MaxHeaderBytes:           s.Limits.MaxHeaderBytes,
			MaxConnections:           s.Limits.MaxConnections,
			MaxConnectionsPerAddress: s.Limits.MaxConnectionsPerAddress,
			HeaderWithin:             s.Limits.HeaderWithin.Duration,
			BodyWithin:               s.Limits.BodyWithin.Duration,
			IdleWithin:               s.Limits.IdleWithin.Duration,
			WriteWithin:              writeWithin,
			TicketGoodFor:            s.TicketGoodFor.Duration,
			EntriesGoodFor:           s.EntriesGoodFor.Duration,
		},
	})
}

func (n *Node) countBytes(sent, received int) {
	n.metrics.Control(metrics.DirectionOut, sent)
	n.metrics.Control(metrics.DirectionIn, received)
}

// newID makes a request id that no other VM and no other life of this one makes.
func (n *Node) newID() string {
	return n.idPrefix + strconv.FormatUint(n.ids.Add(1), idAlphabet)
}

func (n *Node) snapshot() *configuration.Snapshot {
	return n.control.published.Load().snapshot
}

func (n *Node) view() *membership.View {
	return n.control.published.Load().view
}

// self is this VM as the settings and its listeners give it.
func (n *Node) self() fleet.VM {
	return fleet.VM{
		ID:         n.settings.VM,
		Region:     n.settings.Region,
		DataCentre: n.settings.DataCentre,
		State:      fleet.StateLive,
	}
}

// Run listens and serves until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	fronts, err := n.listen()
	if err != nil {
		return err
	}
	var group run.Group
	n.addWorkers(&group)
	if err := n.addFronts(&group, fronts); err != nil {
		return err
	}
	worker.AddStop(ctx, &group, n.gone, n.stop)
	n.log.Info("listening",
		"vm", n.settings.VM,
		"caller", fronts.caller.Addr().String(),
		"peer", fronts.peer.Addr().String(),
		"operator", fronts.operator.Addr().String(),
	)
	return group.Run()
}

// fronts are the listeners of one node.
type fronts struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

func (n *Node) listen() (*fronts, error) {
	var f fronts
	var err error
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{addr: n.settings.CallerListen, to: &f.caller},
		{addr: n.settings.PeerListen, to: &f.peer},
		{addr: n.settings.OperatorListen, to: &f.operator},
	} {
		*l.to, err = tcp.Listen(context.Background(), l.addr)
		if err != nil {
			return nil, err
		}
	}
	return &f, nil
}
