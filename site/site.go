// Package site is one VM's process on a platform that publishes routes: the
// control goroutine with the members and what the store holds, the fronts, and
// the pools of endpoints. Calls are carried by the same serving core as those
// under contracts. All parts run as one group and stop together.
package site

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/common/listen"
	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metering"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/quarantine/agent"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/serving"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/throttle"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

const (
	// timelineEvents bounds the ring of events: some seconds of the calls of a
	// small VM, at about 150 bytes each.
	timelineCapacity = 2048
	// headerWithin and idleWithin bound a caller's connection. Callers may reuse
	// one that was idle for most of the published time, which comes only later.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 64 << 10
	// entriesFor is how long a caller may use an answer: a VM that stops or
	// is lost gets no new connection after that.
	maxEntriesTTL = time.Second
	// storeReplyWithin bounds a reply of the store, which answers in milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// memoryShare is the part of the VM's memory at which the garbage collector
	// works harder; the rest is for stacks, buffers of sockets and the C library.
	memoryLimitRatio = 0.6
	// collectAt is the growth, in percent, after which garbage is collected. The
	// live heap is some megabytes, so collecting often costs little.
	gcPercent = 50
)

// Options set up a Node. Every field but Now is required.
type Options struct {
	Deployment *platform.Deployment
	Logger     *slog.Logger
	// Settings are our own.
	Settings *settings.Platform
	// Dropped returns how many log lines were dropped so far; nil means none.
	Dropped func() int64
	// Now is the clock; nil means one that goes on while the VM is suspended.
	Now func() time.Time
}

// Node is one VM's process.
type Node struct {
	deployment   *platform.Deployment
	log          *slog.Logger
	settings     *settings.Platform
	droppedLines func() int64
	now          func() time.Time
	incarnation  uint64
	startedAt    time.Time

	timeline       *timeline.Ring
	metrics        *metrics.Metrics
	store          *platform.Client
	decoder        platform.Decoder
	peers          *peer.Client
	transit        *peer.Transit
	endpointClient *endpoint.Client
	pools          *pools
	sentAway       *placement.Sent
	lateOutcomes   *placement.Late
	quarantine     *agent.Agent
	serving        *serving.Server
	meter          *metering.Meter
	throttle       *throttle.Throttle
	// endpointLimitsDue is set while the control goroutine is to tell others of endpoints' limits.
	endpointLimitsPending atomic.Bool
	puller                *puller
	control               *control
	callerServer          *http.Server

	// bounds are those of the settings in force; they may change while the process runs.
	bounds   atomic.Pointer[platform.Bounds]
	draining atomic.Bool
	// callersListener takes callers' connections, openConns counts those that are open.
	callerListener atomic.Pointer[listen.Stopping]
	openConns      atomic.Int64
	// currentAt is when this VM last knew that it holds what the store holds, in
	// nanoseconds since the epoch, and droppedTold the dropped lines counted so far.
	inSyncAt        atomic.Int64
	droppedReported atomic.Int64
	// completeAt is when the store held nothing beyond what this VM holds, by the word of
	// the store or of VMs that heard it, in nanoseconds since the epoch.
	freshAsOf atomic.Int64
	// gone is closed when the planned stop is over.
	stopped chan struct{}
}

// New makes a node that does not listen yet.
func New(o Options) *Node {
	var own *clock.Clock
	if o.Now == nil {
		own = clock.New(clock.Options{})
		o.Now = own.Now
	}
	d := o.Deployment
	n := &Node{
		deployment:   d,
		log:          o.Logger.With("vm", d.VM),
		settings:     o.Settings,
		droppedLines: o.Dropped,
		now:          o.Now,
		incarnation:  newIncarnation(o.Now()),
		startedAt:    o.Now(),
		metrics:      metrics.New(),
		decoder: platform.Decoder{
			Regions: d.Regions,
		},
		stopped:      make(chan struct{}),
		sentAway:     placement.NewSent(),
		lateOutcomes: placement.NewLate(),
	}
	n.bounds.Store(&d.Bounds)
	n.timeline = timeline.New(timeline.Options{
		VM:       d.VM,
		Capacity: timelineCapacity,
		Now:      n.now,
	})
	n.store = platform.New(platform.Options{
		URL:         d.StoreURL,
		ReplyWithin: storeTimeout,
		Now:         n.now,
	})
	n.transit = peer.NewTransit(n.now)
	n.peers = peer.New(peer.Options{
		Dial:       dialPeer,
		CountBytes: n.countPeerBytes,
		Now:        n.now,
		Transit:    n.transit,

		CountMessage: n.countPeerMessage,
		Region:       d.Region,
	})
	n.endpointClient = endpoint.New(endpoint.Options{
		Now:     n.now,
		Dialect: platform.Dialect(),
	})
	n.puller = &puller{
		node: n,
	}
	n.control = newControl(n)
	n.pools = newPools(n)
	n.quarantine = n.newQuarantineAgent()
	n.meter = newMeter(n)
	n.throttle = throttle.New(throttle.Options{
		VM:        d.VM,
		StartedAt: n.startedAt,
		Changed:   n.endpointLimitChanged,
	})
	n.serving = n.newServing()
	n.callerServer = n.newCallerServer()
	limitMemory(d.MemoryBytes)
	if own != nil {
		own.OnWake(n.onResume)
	}
	return n
}

// countBytes counts those on the connections between VMs.
func (n *Node) countPeerBytes(sent, received int) {
	n.metrics.Control(metrics.DirectionOut, sent)
	n.metrics.Control(metrics.DirectionIn, received)
}

// countMessage counts those that this VM asked with and those that it was answered.
func (n *Node) countPeerMessage(kind string, far bool, sent, received int) {
	n.metrics.ControlPayload(kind, far, sent, received)
}

// newIncarnation numbers this life of the process: later lives have higher
// numbers, and two that start at the same time differ.
func newIncarnation(now time.Time) uint64 {
	var b [2]byte
	// Read never fails.
	_, _ = rand.Read(b[:])
	return uint64(now.UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(b[:]))
}

func limitMemory(bytes int64) {
	debug.SetGCPercent(gcPercent)
	if bytes > 0 {
		debug.SetMemoryLimit(int64(math.Round(float64(bytes) * memoryLimitRatio)))
	}
}

// peerDialWithin bounds a connection to another VM: one trip there and back
// between the most distant regions, and a lost packet.
const peerDialTimeout = 700 * time.Millisecond

func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	return tcp.Dialer(peerDialTimeout).DialContext(ctx, "tcp", addr)
}

func (n *Node) newServing() *serving.Server {
	return serving.New(serving.Options{
		Now:         n.now,
		VM:          n.deployment.VM,
		Region:      n.deployment.Region,
		Pool:        n.pools.find,
		Forward:     n.forward,
		PlaceRouted: n.place,
		Endpoint:    n.endpointClient,
		Budget:      n.pools.retryBudget(),
		Crashes: serving.Crashes{
			Admit:     n.quarantine.Admit,
			Cut:       n.quarantine.Cut,
			EndedWell: n.quarantine.EndedWell,
		},
		Limits: serving.Limits{
			Take:     n.chargeLimit,
			GiveBack: n.refundLimit,
		},
		Throttle: serving.Throttle{
			Take:       n.acquirePermit,
			Sending:    n.usePermit,
			Answered:   n.observeRate,
			ComeBackAt: n.retryAt,
		},
		Ring:    n.timeline,
		Metrics: n.metrics,
	})
}

func (n *Node) newCallerServer() *http.Server {
	ingress := platform.NewIngress(platform.IngressOptions{
		Now:    n.now,
		Log:    n.log,
		Admit:  n.admit,
		Limits: n.limits,
		Draw:   mathrand.Uint64,
		Serve:  n.serve,

		Closing: n.draining.Load,
	})
	return &http.Server{
		Handler:           ingress,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		ConnState:         n.countConn,
	}
}

// admit finds the terms of a request in the table in force.
func (n *Node) admit(a route.Ask) (route.Terms, *result.Refusal) {
	table := n.control.snapshot().table
	if table == nil {
		return route.Terms{}, result.Refuse(result.NotReady, "no configuration is known yet").Until(n.now().Add(notReadyRetryAfter))
	}
	if table.Keyed() && n.keysTooStale() {
		return route.Terms{}, result.Refuse(result.NotReady, "VM %s has not heard of the store for too long to know which keys have ended", n.deployment.VM).Until(n.now().Add(notReadyRetryAfter))
	}
	return table.Admit(a)
}

// notReadyFor is when a VM without a configuration may be asked again: a read
// of the store takes milliseconds.
const notReadyRetryAfter = 300 * time.Millisecond

func (n *Node) limits() route.Limits {
	table := n.control.snapshot().table
	if table == nil {
		return route.Limits{}
	}
	return table.Limits
}

// ready reports whether this VM takes calls.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.control.snapshot().table != nil
}

// entries returns the addresses of the VMs that a client may use: those of its region
// that take calls, or those of others where none of the client's is known.
func (n *Node) entryAddrs(l platform.Lookup) []string {
	snap := n.control.snapshot()
	vms := snap.members.Taking(l.Region)
	if len(vms) == 0 {
		vms = n.entryVMsElsewhere(l.Host, snap)
	}
	var out []string
	for _, vm := range entry.Near(l.Addr, l.DataCentre, vms, platform.MaxEntries) {
		out = append(out, vm.CallerAddr)
	}
	return out
}

// entriesElsewhere returns VMs of other regions. Without a table none: which regions are
// homes is not known yet, and a caller that gets no answer asks another VM.
func (n *Node) entryVMsElsewhere(host string, snap *snapshot) []fleet.VM {
	if snap.table == nil {
		return nil
	}
	var out []fleet.VM
	for _, other := range entry.Elsewhere(n.deployment.Region, snap.table.Bound(host), snap.members.TakingRegions()) {
		out = append(out, snap.members.Taking(other)...)
	}
	return out
}

// Reload takes settings that changed while the process runs. The VM's place and
// the addresses it listens on stay as they were at its start.
func (n *Node) Reload(ctx context.Context, d *platform.Deployment) {
	n.bounds.Store(&d.Bounds)
	n.store.SetURL(d.StoreURL)
	n.control.send(ctx, func(c *control, _ time.Time) {
		c.roster.SetSeeds(d.Seeds)
		c.discovery.SetGrace(d.Bounds.LapseWithin)
	})
	n.log.Info("reloaded", "seeds", len(d.Seeds), "store", d.StoreURL)
}

// Run listens and serves until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	var group run.Group
	if err := n.addServers(&group); err != nil {
		return err
	}
	worker.Add(&group, n.control.run)
	worker.Add(&group, n.followStore)
	worker.Add(&group, n.pools.run)
	worker.Add(&group, n.pools.sharePendingPrompts)
	worker.Add(&group, n.quarantine.Run)
	worker.Add(&group, n.sendLimitNotes)
	worker.AddStop(ctx, &group, n.stopped, n.stop)
	n.log.Info("started",
		"region", n.deployment.Region,
		"incarnation", n.incarnation,
	)
	return group.Run()
}

// entriesGoodFor is how long callers may use an answer, within the platform's bound.
func (n *Node) entriesTTL() time.Duration {
	if bound := n.bounds.Load().EntriesGoodFor; bound > 0 {
		return min(bound, maxEntriesTTL)
	}
	return maxEntriesTTL
}

// self is this VM as others are to reach it.
func (n *Node) self() fleet.VM {
	return fleet.VM{
		ID:         n.deployment.VM,
		Region:     n.deployment.Region,
		DataCentre: n.deployment.DataCentre,
		CallerAddr: n.deployment.CallerAddr,
		PeerAddr:   n.deployment.PeerAddr,
		State:      fleet.StateLive,
	}
}
