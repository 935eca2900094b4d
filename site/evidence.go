package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// prepareDelay is when a VM that has just started knows the others.
	prepareDelay = time.Second
	// evidenceTimeout bounds the questions of one call to the VMs of other regions.
	evidenceTimeout = 800 * time.Millisecond
	// memoryRoundTimeout bounds the questions of one round to the engines of the region.
	memoryRoundTimeout = 300 * time.Millisecond
	// memoryRoundInterval is the least time between two rounds, as lists delay an engine's work.
	memoryRoundInterval = 100 * time.Millisecond
	// historyWait bounds the wait for the store's history. VMs far from the store read it more
	// slowly, and the answer of any region counts.
	historyWait = 100 * time.Millisecond
	// maxMemoryEngines bounds the engines of a region that are asked; in larger regions
	// versions are not deduced.
	maxMemoryEngines = 256
	// maxRememberedParts bounds the parts that are kept of one engine's events.
	maxRememberedParts = 1 << 13
)

// evidence finds which software version began a stream of which no VM has a record. One VM of
// each region asks its engines what they have read.
type evidence struct {
	node    *Node
	history storeHistory

	// contentsKnown is closed once this VM holds contents of the store, which may be empty at first.
	contentsKnown chan struct{}

	mu sync.Mutex
	// pending are the rounds that have not begun, by service.
	pending map[string]*memoryRound
	begun   map[string]time.Time
	engines map[string]*engineMemory
}

// memoryRound is one round of questions to the engines of a service.
type memoryRound struct {
	done    chan struct{}
	engines []engineAnswer
}

// engineAnswer is what one engine had read when it answered.
type engineAnswer struct {
	endpoint fleet.Endpoint
	parts    map[uint64]bool
	complete bool
}

// engineMemory is what is kept of an engine from one round to the next.
type engineMemory struct {
	service string
	// incarnation is that of the engine's entry.
	incarnation int64
	cursor      endpoint.MemoryCursor
	evicted     map[uint64]bool
	complete    bool
}

func newEvidence(n *Node) *evidence {
	e := &evidence{
		node:    n,
		pending: make(map[string]*memoryRound),
		begun:   make(map[string]time.Time),
		engines: make(map[string]*engineMemory),

		contentsKnown: make(chan struct{}),
	}
	e.history.node = n
	return e
}

// prepare asks all regions once after the start, so that connections, the engines' events and
// the store's history are there when callers resume the streams of lost VMs.
func (e *evidence) prepare(ctx context.Context) error {
	now := e.node.now()
	worker.SleepUntil(ctx, now, now.Add(prepareDelay))
	for service := range e.node.pools.all() {
		since := e.node.streams.oldestStream()
		found, ok := e.node.control.snapshot().service(service)
		if !ok || !found.IsEngine || len(e.node.pools.index.softwareVersions(service)) < 2 || e.node.streams.register.KnownSince(service, since) {
			continue
		}
		if listed, err := e.listed(ctx, service); err == nil {
			e.ask(ctx, origin.Question{
				Service: service,
				Since:   since,
			}, regionsWith(listed))
		}
	}
	<-ctx.Done()
	return nil
}

// deduce returns the software version that began a stream, or why what the endpoints have read
// leaves a doubt.
func (e *evidence) deduce(ctx context.Context, q origin.Question) (version string, doubt origin.Doubt) {
	timeoutCtx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	listed, err := e.listed(timeoutCtx, q.Service)
	if err != nil || e.node.isViewTooOld() {
		return "", origin.DoubtDeparturesUnknown
	}
	found := e.ask(timeoutCtx, q, regionsWith(listed))
	found.Serving = make(map[string]string, len(listed))
	for _, l := range listed {
		found.Serving[l.ID] = l.SoftwareVersion
	}
	departures, known := e.departures(q)
	found.Departures = append(found.Departures, departures...)
	found.DeparturesKnown = found.DeparturesKnown || known
	return found.Version()
}

// ask collects the evidence of the regions.
func (e *evidence) ask(ctx context.Context, q origin.Question, regions []string) origin.Evidence {
	replies := make(chan origin.Evidence, len(regions))
	for _, region := range regions {
		go func() { replies <- e.askRegion(ctx, q, region) }()
	}
	var found origin.Evidence
	for range regions {
		reply := <-replies
		found.Endpoints = append(found.Endpoints, reply.Endpoints...)
		found.Departures = append(found.Departures, reply.Departures...)
		found.DeparturesKnown = found.DeparturesKnown || reply.DeparturesKnown
	}
	return found
}

// askRegion asks the VM of a region that answers for its engines.
func (e *evidence) askRegion(ctx context.Context, q origin.Question, region string) origin.Evidence {
	vms := entry.Rank(q.Service, e.node.control.snapshot().members.ReachableVMs(region))
	if len(vms) == 0 {
		return origin.Evidence{}
	}
	if vms[0].ID == e.node.deployment.VM {
		return e.answer(ctx, q)
	}
	reply, err := e.node.peers.Evidence(ctx, vms[0], q)
	if err != nil {
		e.node.log.Debug("evidence_not_asked", "peer", vms[0].ID, "reason", err.Error())
	}
	return reply
}

// answer returns what the engines of this region have read, and which endpoints have left.
func (e *evidence) answer(ctx context.Context, q origin.Question) origin.Evidence {
	register := e.node.streams.register
	var asked sync.WaitGroup
	if !register.KnownSince(q.Service, e.earliest(q)) {
		asked.Go(func() {
			timeoutCtx, cancel := context.WithTimeout(ctx, historyWait)
			defer cancel()
			e.history.read(timeoutCtx)
		})
	}
	engines := e.memories(ctx, q.Service)
	asked.Wait()
	var out origin.Evidence
	for _, engine := range engines {
		out.Endpoints = append(out.Endpoints, origin.EndpointEvidence{
			Endpoint: engine.endpoint.ID,
			Version:  engine.endpoint.SoftwareVersion,
			HasRead:  engine.parts[q.Part],
			Complete: engine.complete,
		})
	}
	out.Departures, out.DeparturesKnown = e.departures(q)
	return out
}

// departures returns the endpoints that may have left since a stream began; known is false if this
// VM does not know that time whole, or the route may have led to another service.
func (e *evidence) departures(q origin.Question) (list []origin.Departure, known bool) {
	streams := e.node.streams
	since := e.earliest(q)
	list, known = streams.register.Departures(q.Service, since)
	known = known && !e.node.control.snapshot().members.StoreUnreadable() && !e.node.isViewTooOld()
	return list, known && streams.ledOnlyTo(q.Service, q.Host, q.Target, since)
}

// earliest returns when a stream began at the earliest. This VM may know better than the one that
// asks how long streams last.
func (e *evidence) earliest(q origin.Question) time.Time {
	if oldest := e.node.streams.oldestStream().Add(-evidenceTimeout); oldest.After(q.Since) {
		return oldest
	}
	return q.Since
}

// listed returns the endpoints of a service that have an entry.
func (e *evidence) listed(ctx context.Context, service string) ([]fleet.Endpoint, error) {
	return query(ctx, e.node.control, func(c *control, _ time.Time) []fleet.Endpoint {
		return c.discovery.Listed(service)
	})
}

func regionsWith(endpoints []fleet.Endpoint) []string {
	var out []string
	for _, e := range endpoints {
		if !slices.Contains(out, e.Region) {
			out = append(out, e.Region)
		}
	}
	return out
}

// memories returns the answers of the region's engines in a round that begins after now, as an
// earlier answer may be older than the stream. Calls share a round.
func (e *evidence) memories(ctx context.Context, service string) []engineAnswer {
	e.mu.Lock()
	round := e.pending[service]
	if round == nil {
		round = &memoryRound{
			done: make(chan struct{}),
		}
		e.pending[service] = round
		go e.run(context.WithoutCancel(ctx), service, round, e.begun[service].Add(memoryRoundInterval))
	}
	e.mu.Unlock()
	select {
	case <-round.done:
		return round.engines
	case <-ctx.Done():
		return nil
	}
}

// run asks the engines of the region at the given time.
func (e *evidence) run(ctx context.Context, service string, round *memoryRound, at time.Time) {
	defer close(round.done)
	worker.SleepUntil(ctx, e.node.now(), at)
	e.mu.Lock()
	delete(e.pending, service)
	e.begun[service] = e.node.now()
	e.mu.Unlock()
	timeoutCtx, cancel := context.WithTimeout(ctx, memoryRoundTimeout)
	defer cancel()
	listed, err := e.listed(timeoutCtx, service)
	if err != nil {
		return
	}
	listed = slices.DeleteFunc(listed, func(l fleet.Endpoint) bool { return l.Region != e.node.deployment.Region })
	found, ok := e.node.control.snapshot().service(service)
	if !ok || !found.IsEngine || len(listed) > maxMemoryEngines {
		return
	}
	e.forget(service, listed)
	answers := make([]engineAnswer, len(listed))
	var asked sync.WaitGroup
	for i, l := range listed {
		asked.Go(func() { answers[i] = e.askEngine(timeoutCtx, l, found.HealthPath) })
	}
	asked.Wait()
	round.engines = answers
}

// askEngine asks one engine what it has read.
func (e *evidence) askEngine(ctx context.Context, l fleet.Endpoint, healthPath string) engineAnswer {
	answer := engineAnswer{
		endpoint: l,
		parts:    make(map[uint64]bool),
	}
	e.mu.Lock()
	known := e.engines[l.ID]
	if known == nil {
		known = &engineMemory{
			service:     l.Service,
			incarnation: l.Incarnation,
			evicted:     make(map[uint64]bool),
			complete:    true,
		}
	}
	delete(e.engines, l.ID)
	e.mu.Unlock()
	if !e.node.acquireProbePermit(ctx, l, throttle.KindReport) {
		return answer
	}
	m, err := e.node.endpointClient.FetchMemory(ctx, l, healthPath, known.cursor)
	if err != nil {
		e.node.log.Debug("memory_failed", "endpoint", l.ID, "reason", err.Error())
		return answer
	}
	if m.Restarted {
		known.evicted = make(map[uint64]bool)
		// The former life counts as a departure if the entry named it.
		known.complete = l.Incarnation != known.incarnation
	}
	known.incarnation = l.Incarnation
	known.cursor = m.Cursor
	known.complete = known.complete && m.Complete
	for _, part := range m.Events {
		known.evicted[part] = true
	}
	answer.complete = known.complete && e.isListedLife(ctx, l)
	for part := range known.evicted {
		answer.parts[part] = true
	}
	for _, part := range m.Held {
		answer.parts[part] = true
	}
	if len(known.evicted) <= maxRememberedParts {
		e.mu.Lock()
		e.engines[l.ID] = known
		e.mu.Unlock()
	}
	return answer
}

// isListedLife reports whether an endpoint has not restarted under its id since its entry. One that
// has lost what it had read before. Endpoints whose entries name no incarnation get a new id at
// each start.
func (e *evidence) isListedLife(ctx context.Context, l fleet.Endpoint) bool {
	if l.Incarnation == 0 {
		return true
	}
	load, _, err := e.node.endpointClient.FetchLoad(ctx, l)
	return err == nil && load.Incarnation == l.Incarnation
}

// forget drops what is kept of engines of a service that are no longer listed.
func (e *evidence) forget(service string, listed []fleet.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, known := range e.engines {
		if known.service != service {
			continue
		}
		if !slices.ContainsFunc(listed, func(l fleet.Endpoint) bool { return l.ID == id }) {
			delete(e.engines, id)
		}
	}
}
