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
	timelineEvents = 2048
	// headerWithin and idleWithin bound a caller's connection. Callers may reuse
	// one that was idle for most of the published time, which comes only later.
	headerWithin   = 5 * time.Second
	idleWithin     = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// entriesFor is how long a caller may use an answer: a VM that stops or
	// is lost gets no new connection after that.
	entriesFor = time.Second
	// storeReplyWithin bounds a reply of the store, which answers in milliseconds.
	storeReplyWithin = 1500 * time.Millisecond
	// memoryShare is the part of the VM's memory at which the garbage collector
	// works harder; the rest is for stacks, buffers of sockets and the C library.
	memoryShare = 0.6
	// collectAt is the growth, in percent, after which garbage is collected. The
	// live heap is some megabytes, so collecting often costs little.
	collectAt = 50
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
	deployment  *platform.Deployment
	log         *slog.Logger
	settings    *settings.Platform
	dropped     func() int64
	now         func() time.Time
	incarnation uint64
	startedAt   time.Time

	ring     *timeline.Ring
	metrics  *metrics.Metrics
	store    *platform.Client
	decoder  platform.Decoder
	peers    *peer.Client
	transit  *peer.Transit
	client   *endpoint.Client
	pools    *pools
	sent     *placement.Sent
	late     *placement.Late
	crashes  *agent.Agent
	serving  *serving.Server
	meter    *metering.Meter
	throttle *throttle.Throttle
	// endpointLimitsDue is set while the control goroutine is to tell others of endpoints' limits.
	endpointLimitsDue atomic.Bool
	puller            *puller
	control           *control
	callers           *http.Server

	// bounds are those of the settings in force; they may change while the process runs.
	bounds  atomic.Pointer[platform.Bounds]
	leaving atomic.Bool
	// callersListener takes callers' connections, openConns counts those that are open.
	callersListener atomic.Pointer[listen.Stopping]
	openConns       atomic.Int64
	// currentAt is when this VM last knew that it holds what the store holds, in
	// nanoseconds since the epoch, and droppedTold the dropped lines counted so far.
	currentAt   atomic.Int64
	droppedTold atomic.Int64
	// completeAt is when the store held nothing beyond what this VM holds, by the word of
	// the store or of VMs that heard it, in nanoseconds since the epoch.
	completeAt atomic.Int64
	// gone is closed when the planned stop is over.
	gone chan struct{}
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
		deployment:  d,
		log:         o.Logger.With("vm", d.VM),
		settings:    o.Settings,
		dropped:     o.Dropped,
		now:         o.Now,
		incarnation: newIncarnation(o.Now()),
		startedAt:   o.Now(),
		metrics:     metrics.New(),
		decoder: platform.Decoder{
			Regions: d.Regions,
		},
		gone: make(chan struct{}),
		sent: placement.NewSent(),
		late: placement.NewLate(),
	}
	n.bounds.Store(&d.Bounds)
	n.ring = timeline.New(timeline.Options{
		VM:       d.VM,
		Capacity: timelineEvents,
		Now:      n.now,
	})
	n.store = platform.New(platform.Options{
		URL:         d.StoreURL,
		ReplyWithin: storeReplyWithin,
		Now:         n.now,
	})
	n.transit = peer.NewTransit(n.now)
	n.peers = peer.New(peer.Options{
		Dial:       dialPeer,
		CountBytes: n.countBytes,
		Now:        n.now,
		Transit:    n.transit,

		CountMessage: n.countMessage,
		Region:       d.Region,
	})
	n.client = endpoint.New(endpoint.Options{
		Now:     n.now,
		Dialect: platform.Dialect(),
	})
	n.puller = &puller{
		node: n,
	}
	n.control = newControl(n)
	n.pools = newPools(n)
	n.crashes = n.newCrashes()
	n.meter = newMeter(n)
	n.throttle = throttle.New(throttle.Options{
		VM:        d.VM,
		StartedAt: n.startedAt,
		Changed:   n.limitChanged,
	})
	n.serving = n.newServing()
	n.callers = n.newCallers()
	limitMemory(d.MemoryBytes)
	if own != nil {
		own.OnWake(n.woke)
	}
	return n
}

// countBytes counts those on the connections between VMs.
func (n *Node) countBytes(sent, received int) {
	n.metrics.Control(metrics.DirectionOut, sent)
	n.metrics.Control(metrics.DirectionIn, received)
}

// countMessage counts those that this VM asked with and those that it was answered.
func (n *Node) countMessage(kind string, far bool, sent, received int) {
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
	debug.SetGCPercent(collectAt)
	if bytes > 0 {
		debug.SetMemoryLimit(int64(math.Round(float64(bytes) * memoryShare)))
	}
}

// peerDialWithin bounds a connection to another VM: one trip there and back
// between the most distant regions, and a lost packet.
const peerDialWithin = 700 * time.Millisecond

func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	return tcp.Dialer(peerDialWithin).DialContext(ctx, "tcp", addr)
}

func (n *Node) newServing() *serving.Server {
	return serving.New(serving.Options{
		Now:         n.now,
		VM:          n.deployment.VM,
		Region:      n.deployment.Region,
		Pool:        n.pools.find,
		Forward:     n.forward,
		PlaceRouted: n.place,
		Endpoint:    n.client,
		Budget:      n.pools.budget(),
		Crashes: serving.Crashes{
			Admit:     n.crashes.Admit,
			Cut:       n.crashes.Cut,
			EndedWell: n.crashes.EndedWell,
		},
		Limits: serving.Limits{
			Take:     n.takeLimit,
			GiveBack: n.giveBackLimit,
		},
		Throttle: serving.Throttle{
			Take:       n.takePermit,
			Sending:    n.usePermit,
			Answered:   n.answeredRate,
			ComeBackAt: n.comeBackAt,
		},
		Ring:    n.ring,
		Metrics: n.metrics,
	})
}

func (n *Node) newCallers() *http.Server {
	ingress := platform.NewIngress(platform.IngressOptions{
		Now:    n.now,
		Log:    n.log,
		Admit:  n.admit,
		Limits: n.limits,
		Draw:   mathrand.Uint64,
		Serve:  n.serve,

		Closing: n.leaving.Load,
	})
	return &http.Server{
		Handler:           ingress,
		ReadHeaderTimeout: headerWithin,
		IdleTimeout:       idleWithin,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		ConnState:         n.countConn,
	}
}

// admit finds the terms of a request in the table in force.
func (n *Node) admit(a route.Ask) (route.Terms, *result.Refusal) {
	table := n.control.picture().table
	if table == nil {
		return route.Terms{}, result.Refuse(result.NotReady, "no configuration is known yet").Until(n.now().Add(notReadyFor))
	}
	if table.Keyed() && n.keysMayHaveEnded() {
		return route.Terms{}, result.Refuse(result.NotReady, "VM %s has not heard of the store for too long to know which keys have ended", n.deployment.VM).Until(n.now().Add(notReadyFor))
	}
	return table.Admit(a)
}

// notReadyFor is when a VM without a configuration may be asked again: a read
// of the store takes milliseconds.
const notReadyFor = 300 * time.Millisecond

func (n *Node) limits() route.Limits {
	table := n.control.picture().table
	if table == nil {
		return route.Limits{}
	}
	return table.Limits
}

// ready reports whether this VM takes calls.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.control.picture().table != nil
}

// entries returns the addresses of the VMs that a client may use: those of its region
// that take calls, or those of others where none of the client's is known.
func (n *Node) entries(l platform.Lookup) []string {
	pic := n.control.picture()
	vms := pic.members.Taking(l.Region)
	if len(vms) == 0 {
		vms = n.entriesElsewhere(l.Host, pic)
	}
	var out []string
	for _, vm := range entry.Near(l.Addr, l.DataCentre, vms, platform.MaxEntries) {
		out = append(out, vm.CallerAddr)
	}
	return out
}

// entriesElsewhere returns VMs of other regions. Without a table none: which regions are
// homes is not known yet, and a caller that gets no answer asks another VM.
func (n *Node) entriesElsewhere(host string, pic *picture) []fleet.VM {
	if pic.table == nil {
		return nil
	}
	var out []fleet.VM
	for _, other := range entry.Elsewhere(n.deployment.Region, pic.table.Bound(host), pic.members.TakingRegions()) {
		out = append(out, pic.members.Taking(other)...)
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
	if err := n.addFronts(&group); err != nil {
		return err
	}
	worker.Add(&group, n.control.run)
	worker.Add(&group, n.readStore)
	worker.Add(&group, n.pools.run)
	worker.Add(&group, n.pools.tellUnread)
	worker.Add(&group, n.crashes.Run)
	worker.Add(&group, n.tellLimits)
	worker.AddStop(ctx, &group, n.gone, n.stop)
	n.log.Info("started",
		"region", n.deployment.Region,
		"incarnation", n.incarnation,
	)
	return group.Run()
}

// entriesGoodFor is how long callers may use an answer, within the platform's bound.
func (n *Node) entriesGoodFor() time.Duration {
	if bound := n.bounds.Load().EntriesGoodFor; bound > 0 {
		return min(bound, entriesFor)
	}
	return entriesFor
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
