// Package site runs one gateway process on a platform that publishes routes. It combines
// the control goroutine, which owns members and store contents, the HTTP servers, and
// the pools of endpoints. Package serving runs the calls, as it does on a platform with
// contracts.
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

	"github.com/fuchsianotch/fuchsianotch/callerwait"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/common/listen"
	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fairshare"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metering"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/quarantine/agent"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/serving"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/throttle"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

const (
	// timelineCapacity is the number of events that the timeline retains, at about 150 bytes
	// each: some seconds of calls on a small VM.
	timelineCapacity = 2048
	// Limits of caller connections. idleTimeout is long enough that the server does not
	// close a connection that callers still reuse.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxEntriesTTL bounds how long callers may cache the addresses of VMs. After that a
	// stopped or lost VM gets no new connections.
	maxEntriesTTL = time.Second
	// storeTimeout bounds a reply of the store, which usually takes milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// memoryLimitRatio is the soft memory limit of the Go runtime relative to the memory of
	// the VM. The rest is for socket buffers and the C library.
	memoryLimitRatio = 0.6
	// gcPercent is the GOGC value. The live heap is a few megabytes, so frequent collections
	// are cheap.
	gcPercent = 50
)

// Options configure a Node. All fields but Dropped and Now are required.
type Options struct {
	Deployment *platform.Deployment
	Logger     *slog.Logger
	// Settings are the settings of the gateway itself, as opposed to those of the platform.
	Settings *settings.Platform
	// Dropped returns the number of log lines dropped so far; nil means none.
	Dropped func() int64
	// Now is the clock; nil means a clock that includes the time the VM is suspended.
	Now func() time.Time
}

// Node is the gateway process of one VM.
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
	delays         *peer.DelayEstimator
	endpointClient *endpoint.Client
	pools          *pools
	streams        *streams
	evidence       *evidence
	routePast      *routePast
	runGrants      *retry.RunGrants
	sentAway       *placement.SentTokens
	lateOutcomes   *placement.MissTracker
	fairShares     *fairshare.Tracker
	callerWaits    *callerwait.Tracker
	quarantine     *agent.Agent
	serving        *serving.Server
	meter          *metering.Meter
	throttle       *throttle.Throttle
	// endpointLimitsPending is set while a spread of endpoint rate limits is queued.
	endpointLimitsPending atomic.Bool
	puller                *puller
	snapshots             *snapshots
	control               *control
	saturation            *saturationGate
	bodies                *bodyMemory
	callerServer          *http.Server

	// bounds are the limits of the platform settings. They can change at run time.
	bounds         atomic.Pointer[platform.Bounds]
	draining       atomic.Bool
	callerListener atomic.Pointer[listen.StoppableListener]
	peerServer     *peer.Server
	stopState      *stopState
	// inSyncAt is when this VM last had the revision of the store or of its reader, in
	// nanoseconds since the epoch. droppedReported is the number of dropped lines already
	// counted in the metrics.
	inSyncAt        atomic.Int64
	droppedReported atomic.Int64
	// freshAsOf is the latest time at which this VM is known to have held all contents of
	// the store, in nanoseconds since the epoch.
	freshAsOf atomic.Int64
	// resumedAt is when this VM went on after its last pause, in nanoseconds since the epoch; zero
	// if it had none.
	resumedAt atomic.Int64
	// stopped is closed at the end of a graceful shutdown.
	stopped chan struct{}
}

// New returns a Node that does not listen yet.
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
		sentAway:     placement.NewSentTokens(),
		lateOutcomes: placement.NewMissTracker(),
		fairShares:   fairshare.New(d.VM),
		callerWaits:  callerwait.New(),
		stopState:    newStopState(),
		bodies:       newBodyMemory(d.MemoryBytes),
	}
	n.bounds.Store(&d.Bounds)
	n.timeline = timeline.New(timeline.Options{
		VM:       d.VM,
		Capacity: timelineCapacity,
		Now:      n.now,
	})
	n.store = platform.New(platform.Options{
		URL:          d.StoreURL,
		ReplyTimeout: storeTimeout,
		Now:          n.now,
	})
	n.delays = peer.NewDelayEstimator(n.now)
	n.peers = peer.New(peer.Options{
		Dial:       dialPeer,
		CountBytes: n.countPeerBytes,
		Now:        n.now,
		Delays:     n.delays,

		CountMessage: n.countPeerMessage,
		Region:       d.Region,
	})
	n.endpointClient = endpoint.New(endpoint.Options{
		Now:     n.now,
		Dialect: platform.Dialect(),
		Buffers: n.bodies.budget,
		Life:    n.endpointLife,
		Paused:  func() bool { return !n.control.snapshot().members.Fresh(n.now()) },
	})
	n.puller = &puller{
		node: n,
	}
	n.snapshots = newSnapshots(n)
	n.control = newControl(n)
	n.pools = newPools(n)
	n.streams = newStreams(n)
	n.evidence = newEvidence(n)
	n.routePast = newRoutePast()
	n.runGrants = retry.NewRunGrants()
	n.quarantine = n.newQuarantineAgent()
	n.meter = newMeter(n)
	n.throttle = throttle.New(throttle.Options{
		VM:             d.VM,
		StartedAt:      n.startedAt,
		OnLimitChanged: n.endpointLimitChanged,
	})
	n.saturation = newSaturationGate(n)
	n.serving = n.newServing()
	n.callerServer = n.newCallerServer()
	limitMemory(d.MemoryBytes)
	if own != nil {
		own.OnResume(n.onResume)
	}
	return n
}

// endpointLife returns the life that an endpoint is in by its entry, and whether its load reports tell
// it too, as those of engines do.
func (n *Node) endpointLife(e fleet.Endpoint) (life int64, isReported bool) {
	service, _ := n.control.snapshot().service(e.Service)
	return n.pools.index.lifeOf(e.ID), service.IsEngine
}

// countPeerBytes counts the bytes on connections between VMs.
func (n *Node) countPeerBytes(sent, received int) {
	n.metrics.AddControlBytes(metrics.DirectionOut, sent)
	n.metrics.AddControlBytes(metrics.DirectionIn, received)
}

// countPeerMessage counts the payload bytes of a request to another VM and of its reply.
func (n *Node) countPeerMessage(kind string, remote bool, sent, received int) {
	n.metrics.ControlPayload(kind, remote, sent, received)
}

// newIncarnation returns a number for this run of the process. Later runs have higher
// numbers, and random low bits separate runs that start at the same time.
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

// peerDialTimeout bounds a connection attempt to another VM: a round trip between the
// most distant regions and one lost packet.
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
		MayRepeat:   n.mayRepeat,

		Endpoint: n.endpointClient,
		Budget:   n.pools.retryBudget(),
		Quarantine: serving.Quarantine{
			Admit:          n.quarantine.Admit,
			ConnectionLost: n.quarantine.ConnectionLost,
			Answered:       n.quarantine.Answered,
			TrialUnsent:    n.quarantine.TrialUnsent,
		},
		Limits: serving.Limits{
			Take:   n.chargeLimit,
			Refund: n.refundLimit,
		},
		Streams: serving.Streams{
			Began:  n.streams.began,
			Origin: n.streams.origin,
		},
		Throttle: serving.Throttle{
			Take:          n.acquirePermit,
			UsePermit:     n.usePermit,
			ObserveNotice: n.observeNotice,
			CallerRetryAt: n.retryAt,
		},
		Timeline: n.timeline,
		Metrics:  n.metrics,
	})
}

func (n *Node) newCallerServer() *http.Server {
	ingress := platform.NewIngress(platform.IngressOptions{
		Now:    n.now,
		Log:    n.log,
		Admit:  n.admit,
		Limits: n.limits,
		Rand:   mathrand.Uint64,
		Serve:  n.serve,

		Draining: n.draining.Load,
		Waited:   n.callerWaited,
		Shed:     n.shed,
		Acquire:  n.saturation.acquire,
		Release:  n.saturation.release,

		BodyShare: n.bodies.requestShare,
	})
	server := ingress.Server()
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	server.BaseContext = func(net.Listener) context.Context { return n.stopState.callsCtx }
	server.ErrorLog = slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
	return server
}

// admit looks up a request in the current routing table. What a table from before a pause does not
// allow may be allowed by now.
func (n *Node) admit(a route.AdmitRequest) (route.Admission, *result.Refusal) {
	admission, refusal := n.admitNow(a)
	if refusal == nil || !isFinalRefusal(refusal) {
		return admission, refusal
	}
	if waitRefusal := n.awaitFreshState(n.stopState.callsCtx); waitRefusal != nil {
		return admission, waitRefusal
	}
	if !n.isConfigurationFresh() {
		return admission, result.Refuse(result.NotReady, "VM %s has paused and its configuration is not confirmed yet", n.deployment.VM).WithRetryAt(n.now().Add(notReadyRetryAfter))
	}
	return n.admitNow(a)
}

// isFinalRefusal reports whether callers do not retry after a refusal.
func isFinalRefusal(r *result.Refusal) bool {
	return r.Code == result.UnknownRoute || r.Code == result.Unauthenticated
}

// admitNow looks up a request without waiting.
func (n *Node) admitNow(a route.AdmitRequest) (route.Admission, *result.Refusal) {
	table := n.control.snapshot().table
	if table == nil {
		return route.Admission{}, result.Refuse(result.NotReady, "no configuration is known yet").WithRetryAt(n.now().Add(notReadyRetryAfter))
	}
	if table.RequiresKey() && n.keysTooStale() {
		return route.Admission{}, result.Refuse(result.NotReady, "VM %s has not heard of the store for too long to know which keys have ended", n.deployment.VM).WithRetryAt(n.now().Add(notReadyRetryAfter))
	}
	return table.Admit(a)
}

// notReadyRetryAfter is when callers may retry on a VM without a configuration.
const notReadyRetryAfter = 300 * time.Millisecond

func (n *Node) limits() route.Limits {
	table := n.control.snapshot().table
	if table == nil {
		return route.Limits{}
	}
	return table.Limits
}

// ready reports whether this VM accepts calls.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.control.snapshot().table != nil
}

// entryAddrs returns the addresses of VMs for a client: those of its region that accept
// calls, or of other regions if there are none.
func (n *Node) entryAddrs(l platform.Lookup) []string {
	snap := n.control.snapshot()
	vms := snap.members.AcceptingVMs(l.Region)
	if len(vms) == 0 {
		vms = n.entryVMsElsewhere(l.Host, snap)
	}
	var out []string
	for _, vm := range n.selectVMs(l, vms) {
		out = append(out, vm.CallerAddr)
	}
	return out
}

// entryVMsElsewhere returns VMs of other regions, or none without a table, as home
// regions are unknown then. A caller without an answer asks another VM.
func (n *Node) entryVMsElsewhere(host string, snap *snapshot) []fleet.VM {
	if snap.table == nil {
		return nil
	}
	var out []fleet.VM
	for _, other := range entry.FallbackRegions(n.deployment.Region, snap.table.RegionRestrictions(host), snap.members.AcceptingRegions()) {
		out = append(out, snap.members.AcceptingVMs(other)...)
	}
	return out
}

// Reload applies changed settings at run time. The location of the VM and its listen
// addresses stay unchanged.
func (n *Node) Reload(ctx context.Context, d *platform.Deployment) {
	n.bounds.Store(&d.Bounds)
	n.store.SetURL(d.StoreURL)
	n.control.send(ctx, func(c *control, _ time.Time) {
		c.roster.SetSeeds(d.Seeds)
		c.discovery.SetGrace(d.Bounds.EntryRenewalTimeout)
	})
	n.log.Info("reloaded", "seeds", len(d.Seeds), "store", d.StoreURL)
}

// Run listens and serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	var group run.Group
	if err := n.addServers(&group); err != nil {
		return err
	}
	worker.Add(&group, n.control.run)
	worker.Add(&group, n.followStore)
	worker.Add(&group, n.pools.run)
	worker.Add(&group, n.pools.probeWarming)
	worker.Add(&group, n.pools.sharePendingPrompts)
	worker.Add(&group, n.quarantine.Run)
	worker.Add(&group, n.sendLimitNotes)
	worker.Add(&group, n.streams.run)
	worker.Add(&group, n.evidence.prepare)
	worker.Add(&group, n.streams.findInterrupted)
	worker.Add(&group, n.saturation.run)
	worker.Add(&group, n.watchBodyMemory)
	worker.AddShutdown(ctx, &group, n.stopped, n.stop)
	n.log.Info("started",
		"region", n.deployment.Region,
		"incarnation", n.incarnation,
	)
	return group.Run()
}

// entriesTTL returns how long callers may cache the addresses of VMs.
func (n *Node) entriesTTL() time.Duration {
	if bound := n.bounds.Load().EntriesTTL; bound > 0 {
		return min(bound, maxEntriesTTL)
	}
	return maxEntriesTTL
}

// self returns this VM with the addresses at which others reach it.
func (n *Node) self() fleet.VM {
	return fleet.VM{
		ID:         n.deployment.VM,
		Region:     n.deployment.Region,
		DataCentre: n.deployment.DataCentre,
		CallerAddr: n.deployment.CallerAddr,
		PeerAddr:   n.deployment.PeerAddr,
		State:      fleet.StateLive,
		Millicores: millicores(n.deployment.Cores),
	}
}
