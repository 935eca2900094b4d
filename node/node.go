// Package node assembles the gateway process of one VM: the control goroutine, the
// servers for callers, peers and operators, the platform watchers and the endpoint
// pools. They run as one group and stop together.
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
	// retryBudgetRatio is the ratio of retries to calls.
	retryBudgetRatio = 0.1
	// callerWriteTimeout bounds one write to a slow caller.
	callerWriteTimeout = 10 * time.Second
	// idBase is the numeric base of request ids.
	idBase = 36
)

// maxBufferedBytes bounds what is buffered of responses of endpoints, and of other VMs. It
// leaves ordinary loads of platforms with contracts as they were.
const maxBufferedBytes = 1 << 30

// Options configure a Node.
type Options struct {
	Settings *settings.Settings
	Logger   *slog.Logger
	// Now is the clock; nil means one that advances while the VM is suspended.
	Now func() time.Time
}

// Node is the gateway process of one VM.
type Node struct {
	settings    *settings.Settings
	log         *slog.Logger
	now         func() time.Time
	incarnation uint64
	// tls secures connections between VMs; nil means plain TCP.
	tls *tls.Config

	ring           *timeline.Ring
	metrics        *metrics.Metrics
	peers          *peer.Client
	platform       *platform.Client
	control        *control
	pools          *pools
	ticketRegistry *ticket.Registry
	handOvers      *peer.HandOverAssembler
	ledger         *limit.Ledger
	crashAgent     *agent.Agent
	serving        *serving.Server
	caller         *caller.Server
	peerServer     *peer.Server

	// pullRequests holds the id of a VM to pull from.
	pullRequests chan string
	// idPrefix makes request ids unique to this incarnation.
	idPrefix string
	lastID   atomic.Uint64
	stopping atomic.Bool
	// stopped is closed when the graceful stop is complete.
	stopped chan struct{}
}

// New returns a node that is not yet listening. It fails only if no TLS identity can be
// derived from the peer key.
func New(o Options) (*Node, error) {
	if o.Now == nil {
		o.Now = clock.New(clock.Options{}).Now
	}
	n := &Node{
		settings:     o.Settings,
		log:          o.Logger,
		now:          o.Now,
		incarnation:  newIncarnation(),
		metrics:      metrics.New(),
		pullRequests: make(chan string, 1),
		stopped:      make(chan struct{}),
	}
	n.idPrefix = strconv.FormatUint(n.incarnation, idBase) + "-"
	if o.Settings.PeerKey != "" {
		secured, err := peer.TLS(o.Settings.PeerKey)
		if err != nil {
			return nil, err
		}
		n.tls = secured
	}
	n.initComponents()
	return n, nil
}

// newIncarnation returns a random nonzero number for this run of the process.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (n *Node) initComponents() {
	s := n.settings
	n.ring = timeline.New(timeline.Options{
		VM:       s.VM,
		Capacity: s.TimelineEvents,
		Now:      n.now,
	})
	n.peers = peer.New(peer.Options{
		MaxBufferedBytes: maxBufferedBytes,
		ResolveAddr:      addrResolver(s),
		CountBytes:       n.countBytes,
		TLS:              n.tls,
	})
	n.platform = platform.New(platform.Options{
		URL: s.PlatformURL,
		Now: n.now,
	})
	n.ticketRegistry = ticket.New(ticket.Options{
		VM:          s.VM,
		Incarnation: n.incarnation,
		MaxRecords:  s.Records.Count,
		MaxBytes:    s.Records.Bytes,
	})
	n.handOvers = peer.NewHandOverAssembler(s.Records.Bytes)
	n.ledger = limit.New(limit.Options{
		Policy: s.Policies.Limits,
	})
	client := endpoint.New(endpoint.Options{
		Now:              n.now,
		MaxBufferedBytes: maxBufferedBytes,
	})
	n.crashAgent = n.newCrashAgent()
	n.pools = newPools(n, client)
	n.control = newControl(n)
	n.serving = n.newServing(client)
	n.caller = n.newCaller()
}

func addrResolver(s *settings.Settings) func(vm string) (string, bool) {
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
		Now:            n.now,
		VM:             n.settings.VM,
		Region:         n.settings.Region,
		Snapshot:       n.snapshot,
		View:           n.view,
		Pool:           n.pools.find,
		Forward:        n.forward,
		Lease:          n.requestLease,
		ChooseOverflow: n.pools.chooseLender,
		AcceptOverflow: n.pools.acceptBorrowed,
		Ledger:         n.ledger,
		Tickets:        n.ticketRegistry,
		Endpoint:       client,
		Budget:         n.newBudget(),
		Quarantine: serving.Quarantine{
			Admit:          n.crashAgent.Admit,
			ConnectionLost: n.crashAgent.ConnectionLost,
			Answered:       n.crashAgent.Answered,
			TrialUnsent:    n.crashAgent.TrialUnsent,
		},
		Timeline: n.ring,
		Metrics:  n.metrics,
	})
}

// newBudget returns a retry budget shared by all targets.
func (n *Node) newBudget() serving.Budget {
	budget := retry.NewBudget(retryBudgetRatio)
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
		IssueTicket: n.ticketRegistry.Issue,
		Stopping:    n.stopping.Load,
		Limits: caller.Limits{
			MaxBodyBytes:             s.Limits.MaxBodyBytes,
			MaxHeaderBytes:           s.Limits.MaxHeaderBytes,
			MaxConnections:           s.Limits.MaxConnections,
			MaxConnectionsPerAddress: s.Limits.MaxConnectionsPerAddress,
			HeaderTimeout:            s.Limits.HeaderWithin.Duration,
			BodyTimeout:              s.Limits.BodyWithin.Duration,
			IdleTimeout:              s.Limits.IdleWithin.Duration,
			WriteTimeout:             callerWriteTimeout,
			TicketTTL:                s.TicketTTL.Duration,
			EntriesTTL:               s.EntriesTTL.Duration,
		},
	})
}

func (n *Node) countBytes(sent, received int) {
	n.metrics.AddControlBytes(metrics.DirectionOut, sent)
	n.metrics.AddControlBytes(metrics.DirectionIn, received)
}

// newID returns a request id that is unique among all VMs and incarnations.
func (n *Node) newID() string {
	return n.idPrefix + strconv.FormatUint(n.lastID.Add(1), idBase)
}

func (n *Node) snapshot() *configuration.Snapshot {
	return n.control.published.Load().snapshot
}

func (n *Node) view() *membership.View {
	return n.control.published.Load().view
}

// self describes this VM as configured.
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
	ln, err := n.listen()
	if err != nil {
		return err
	}
	var group run.Group
	n.addWorkers(&group)
	if err := n.addServers(&group, ln); err != nil {
		return err
	}
	worker.AddShutdown(ctx, &group, n.stopped, n.stop)
	n.log.Info("listening",
		"vm", n.settings.VM,
		"caller", ln.caller.Addr().String(),
		"peer", ln.peer.Addr().String(),
		"operator", ln.operator.Addr().String(),
	)
	return group.Run()
}

// listeners accept callers, peers and operators.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

func (n *Node) listen() (*listeners, error) {
	var f listeners
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
