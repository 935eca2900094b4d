package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// A stream has streamEvents events, one every streamEventInterval.
	streamEvents        = 20
	streamEventInterval = 100 * time.Millisecond
	streamDeadline      = 8 * time.Second
	// streamLifetime is how long after its first event a stream may be resumed.
	streamLifetime = streamDeadline + 2*time.Second
	// streamGap is the pause after which a caller abandons a stream, streamCheckInterval how
	// soon it notices that its VM is gone.
	streamGap           = 2 * time.Second
	streamCheckInterval = 50 * time.Millisecond
	// maxStreamTries bounds the requests of a caller for one stream, maxStreamRuns the
	// endpoints that a VM tries for one request.
	maxStreamTries = 4
	maxStreamRuns  = 2
	// noEndpointRetryDelay equals the gateway's.
	noEndpointRetryDelay = time.Second
	// originAskTimeout equals the gateway's.
	originAskTimeout = 400 * time.Millisecond
	streamRandStream = 13
	// maxMixedStreams is how many streams of one run may hold events of two versions.
	maxMixedStreams = 2
	// While two engines of their version serve, streams that callers resume must go on at
	// least at minResumedShare of the rate at which new ones begin, from minResumed on.
	minResumed      = 12
	minResumedShare = 0.5
)

// Streams configures streams that engines of several software versions serve.
type Streams struct {
	PerSecond float64 `json:"per_second"`
	// Versions is the number of versions side by side at the start; later engines have later
	// versions.
	Versions int `json:"versions"`
	// CrashSeconds are the times after the warm-up at which one engine crashes, and
	// DrainSeconds those at which one of each region leaves.
	CrashSeconds []float64 `json:"crashes"`
	DrainSeconds []float64 `json:"drains"`
}

// streamState is the state of all streams of a run.
type streamState struct {
	Streams
	rand    *rand.Rand
	engines int
	all     []*clientStream
	// began and resumed count the requests at converged VMs, for new streams and for
	// resumed ones while their version serves; those that brought an event are in the others.
	began, beganOn, resumed, resumedOn int
	// deduced counts the resumed streams whose version followed from what engines have read.
	deduced int
}

// clientStream is one stream as its caller sees it.
type clientStream struct {
	id        int
	deadline  time.Time
	region    string
	tries     int
	current   *streamRequest
	lastEvent int
	versions  []string
	eventAt   time.Time
}

// streamRequest is one request of a caller for a stream.
type streamRequest struct {
	stream *clientStream
	id     int
	after  int
	// countedOn is the counter of requests that brought an event.
	countedOn *int
	pin       fleet.VersionPin
	// vm is the VM that the caller asked, in one incarnation.
	vm          *vm
	incarnation uint64
	began       bool
}

// softwareVersion returns the version of the next engine.
func (s *streamState) softwareVersion() string {
	s.engines++
	return fmt.Sprintf("v%d", s.engines%max(s.Versions, 1)+s.engines/releaseSize)
}

// releaseSize is the number of engines added before the next release begins.
const releaseSize = 12

func (w *world) scheduleStreams() {
	s := &w.streams
	if s.PerSecond == 0 {
		return
	}
	for r := range w.topology.regions {
		c := &caller{region: regionName(r)}
		rate := s.PerSecond / float64(w.topology.regions)
		for at := w.clock.now.Add(warmup); at.Before(w.end); at = at.Add(time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))) {
			w.clock.at(at, func() { c.beginStream(w) })
		}
	}
	for _, at := range s.CrashSeconds {
		w.after(warmup+seconds(at), func() { w.crashEngine(0) })
	}
	for _, at := range s.DrainSeconds {
		w.after(warmup+seconds(at), func() {
			for range w.topology.regions {
				w.drainEngine(0)
			}
		})
	}
}

func (c *caller) beginStream(w *world) {
	s := &clientStream{
		id:       w.nextID(),
		region:   c.region,
		deadline: w.clock.now.Add(streamDeadline),
	}
	w.streams.all = append(w.streams.all, s)
	c.requestStream(w, s)
}

// requestStream sends the next request for a stream to any VM that the directory lists.
func (c *caller) requestStream(w *world, s *clientStream) {
	if s.tries >= maxStreamTries || !w.clock.now.Before(s.deadline) {
		return
	}
	if c.findVMs(w); len(c.vms) == 0 {
		// All VMs are down, as after a loss of power; the caller tries again later.
		w.after(noEndpointRetryDelay, func() { c.requestStream(w, s) })
		return
	}
	s.tries++
	to := c.vms[w.streams.rand.IntN(len(c.vms))]
	r := &streamRequest{
		stream:      s,
		id:          w.nextID(),
		after:       s.lastEvent,
		vm:          to,
		incarnation: to.incarnation,
	}
	if s.lastEvent == 0 {
		s.id = r.id
	}
	s.current = r
	s.eventAt = w.clock.now
	w.countStreamRequest(r)
	w.network.send(c.region, to.member.Region, func() { to.run(r.incarnation, func() { to.handleStream(r) }) })
	c.watchStream(w, r)
}

// findVMs looks up the VMs of the caller's region, or those of another one if none of them
// answers.
func (c *caller) findVMs(w *world) {
	for r := range w.topology.regions + 1 {
		from := &caller{region: c.region}
		if r > 0 {
			from.region = regionName(r - 1)
		}
		from.refreshDirectory(w)
		if c.vms = from.vms; len(c.vms) > 0 {
			return
		}
	}
}

// countStreamRequest counts a request at a converged VM, a resumed one only while two engines
// of its version serve.
func (w *world) countStreamRequest(r *streamRequest) {
	s := &w.streams
	if !w.ledger.converged(r.vm) {
		return
	}
	if r.after == 0 {
		s.began++
		r.countedOn = &s.beganOn
		return
	}
	serving := 0
	for _, e := range w.engines {
		if e.endpoint.SoftwareVersion == r.stream.versions[0] && w.serves(e) {
			serving++
		}
	}
	if serving >= 2 {
		s.resumed++
		r.countedOn = &s.resumedOn
	}
}

// serves reports whether an engine takes requests, for long enough that VMs can know it. Only
// VMs of its region reach it, and none may while its data centre is evacuated.
func (w *world) serves(e *engine) bool {
	warmSince := w.clock.now.Sub(e.coldUntil)
	reached := slices.ContainsFunc(w.vms, func(v *vm) bool { return v.member.Region == e.endpoint.Region && v.running(v.incarnation) })
	return e.up && e.registered && e.endpoint.State == fleet.StateLive && warmSince >= coldNoticeDelay && reached && !w.store.evacuates(e.endpoint.DataCentre)
}

// watchStream has the caller notice that its VM is gone, or that the stream stands still.
func (c *caller) watchStream(w *world, r *streamRequest) {
	w.after(streamCheckInterval, func() {
		s := r.stream
		switch {
		case s.current != r || s.lastEvent == streamEvents:
		case !r.vm.up || r.vm.incarnation != r.incarnation || w.clock.now.Sub(s.eventAt) > streamGap:
			c.requestStream(w, s)
		default:
			c.watchStream(w, r)
		}
	})
}

// end tells the caller that a request ended before the last event. The caller resumes the
// stream after a delay, which refusals name.
func (r *streamRequest) end(w *world, retryAfter time.Duration) {
	w.network.send(r.vm.member.Region, r.stream.region, func() {
		if r.stream.current != r || r.stream.lastEvent == streamEvents {
			return
		}
		r.stream.current = nil
		w.after(retryAfter, func() {
			c := &caller{region: r.stream.region}
			c.requestStream(w, r.stream)
		})
	})
}

// deliver passes an event on to the caller.
func (r *streamRequest) deliver(w *world, number int, version string) {
	w.network.send(r.vm.member.Region, r.stream.region, func() {
		s := r.stream
		if s.current != r || number != s.lastEvent+1 {
			return
		}
		s.lastEvent = number
		s.eventAt = w.clock.now
		if r.countedOn != nil {
			*r.countedOn++
			r.countedOn = nil
		}
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	})
}

// handleStream serves a caller's request for a stream, or refuses to resume it.
func (v *vm) handleStream(r *streamRequest) {
	if r.after == 0 || v.world.defect == IgnoreVersions {
		v.runStream(r, 0)
		return
	}
	v.findOrigin(r, func(version string, ok bool) {
		if !ok {
			r.end(v.world, 0)
			return
		}
		r.pin = fleet.PinTo(version)
		v.runStream(r, 0)
	})
}

// runStream sends the request to an endpoint of the own region, or of the next one that has
// one which may serve it.
func (v *vm) runStream(r *streamRequest, runs int) {
	regions := []string{v.member.Region}
	for _, m := range v.snapshot().Members {
		if m.Reachable && m.Ready && !slices.Contains(regions, m.VM.Region) {
			regions = append(regions, m.VM.Region)
		}
	}
	for _, region := range regions {
		if v.streamFrom(r, region, runs) {
			return
		}
	}
	r.end(v.world, noEndpointRetryDelay)
}

// streamFrom streams from an endpoint of a region, over a VM there if it is another one. It
// returns false if none may serve the request.
func (v *vm) streamFrom(r *streamRequest, region string, runs int) bool {
	w, by := v.world, v
	if region != v.member.Region {
		by = v.memberOf(region)
	}
	if by == nil || !by.up || by.frozen {
		return false
	}
	choice, ok := by.pool.Choose(routing.Request{Pin: r.pin}, by.now())
	if !ok {
		return false
	}
	e := w.engineByAddr(choice.Endpoint.Addr)
	byIncarnation := by.incarnation
	next := r.stream.lastEvent + 1
	if e == nil || !e.up || e.endpoint.ID != choice.Endpoint.ID {
		by.pool.Done(choice, routing.Outcome{Code: result.EndpointFailed}, by.now())
		return false
	}
	e.readPrompt(r.stream.id)
	var emit func(number int)
	emit = func(number int) {
		switch {
		case !by.up || by.incarnation != byIncarnation:
		case !e.up:
			by.pool.Done(choice, routing.Outcome{Code: result.EndpointCut, Sent: true}, by.now())
			v.run(r.incarnation, func() { v.resumeWithinAnswer(r, runs+1) })
		case number > streamEvents:
			by.pool.Done(choice, routing.Outcome{Code: result.Done, Sent: true}, by.now())
		default:
			w.network.send(by.member.Region, v.member.Region, func() {
				v.run(r.incarnation, func() { v.passEvent(r, number, choice.Endpoint.SoftwareVersion) })
			})
			w.after(streamEventInterval, func() { emit(number + 1) })
		}
	}
	w.after(streamEventInterval, func() { emit(next) })
	return true
}

func (v *vm) memberOf(region string) *vm {
	for _, m := range v.snapshot().Members {
		if m.Reachable && m.Ready && m.VM.Region == region {
			return v.world.vmByID(m.VM.ID)
		}
	}
	return nil
}

// passEvent passes an event on. The first one of a stream records its origin.
func (v *vm) passEvent(r *streamRequest, number int, version string) {
	if !r.began {
		r.began = true
		if v.world.defect != IgnoreVersions {
			r.pin = fleet.PinTo(version)
		}
		v.recordOrigin(r, version)
	}
	r.deliver(v.world, number, version)
}

// resumeWithinAnswer continues a stream that broke off at its endpoint.
func (v *vm) resumeWithinAnswer(r *streamRequest, runs int) {
	if runs >= maxStreamRuns || r.stream.current != r {
		r.end(v.world, 0)
		return
	}
	v.runStream(r, runs)
}

func (v *vm) recordOrigin(r *streamRequest, version string) {
	o := origin.Origin{
		Request:   strconv.Itoa(r.stream.id),
		Service:   serviceName,
		Version:   version,
		KeepUntil: v.now().Add(streamLifetime),
	}
	v.origins.Add(o, v.now())
	if v.world.defect == KeepOriginsLocally {
		return
	}
	for _, keeper := range origin.Keepers(o.Request, v.originFleet()) {
		to := v.world.vmByID(keeper.ID)
		v.world.network.send(v.member.Region, to.member.Region, func() {
			to.run(to.incarnation, func() { to.origins.Add(o, to.now()) })
		})
	}
}

// originFleet returns the VMs that this one reaches.
func (v *vm) originFleet() origin.Fleet {
	f := origin.Fleet{
		Self:    v.member,
		Regions: make(map[string][]fleet.VM),
	}
	for r := range v.world.topology.regions {
		if vms := v.snapshot().ReachableVMs(regionName(r)); len(vms) > 0 {
			f.Regions[regionName(r)] = vms
		}
	}
	return f
}

// localOrigin returns the version that began a stream, as far as this VM knows.
func (v *vm) localOrigin(request string) (string, bool) {
	if o, ok := v.origins.Find(request, v.now()); ok {
		return o.Version, true
	}
	if v.snapshot().StoreUnreadable() {
		return "", false
	}
	return v.origins.Sole(serviceName, v.now().Add(-streamLifetime))
}

// findOrigin finds out which version began a stream, asking other VMs if need be.
func (v *vm) findOrigin(r *streamRequest, then func(version string, ok bool)) {
	w, request := v.world, strconv.Itoa(r.stream.id)
	if version, ok := v.localOrigin(request); ok {
		then(version, true)
		return
	}
	done := false
	answer := func(version string, ok bool) {
		v.run(r.incarnation, func() {
			if !done {
				done = true
				then(version, ok)
			}
		})
	}
	for _, asked := range origin.Asked(request, v.originFleet()) {
		to := w.vmByID(asked.ID)
		w.network.send(v.member.Region, to.member.Region, func() {
			to.run(to.incarnation, func() {
				version, ok := to.localOrigin(request)
				if ok {
					w.network.send(to.member.Region, v.member.Region, func() { answer(version, true) })
				}
			})
		})
	}
	w.after(originAskTimeout, func() {
		v.run(r.incarnation, func() {
			if done {
				return
			}
			done = true
			v.deduceOrigin(r, func(version string, ok bool) {
				if ok {
					w.streams.deduced++
				}
				then(version, ok)
			})
		})
	})
}

// observeVersions records which versions are published.
func (v *vm) observeVersions() {
	accepting := v.discovery.Endpoints(v.now())
	v.observeDepartures(accepting)
	var versions []string
	for _, e := range accepting {
		if !slices.Contains(versions, e.SoftwareVersion) {
			versions = append(versions, e.SoftwareVersion)
		}
	}
	slices.Sort(versions)
	v.origins.Observe(serviceName, versions, v.now())
}

// checkStreams checks at the end that streams hold events of one version, and that resumed
// ones went on.
func (l *ledger) checkStreams() {
	s := &l.world.streams
	mixed := 0
	for _, stream := range s.all {
		if len(stream.versions) > 1 {
			mixed++
		}
	}
	if mixed > maxMixedStreams {
		l.addViolation(CheckStreamVersions, "%d of %d streams hold events of two software versions", mixed, len(s.all))
	}
	if s.resumed < minResumed || s.began == 0 {
		return
	}
	share, newShare := float64(s.resumedOn)/float64(s.resumed), float64(s.beganOn)/float64(s.began)
	if share < minResumedShare*newShare {
		l.addViolation(CheckResumedStreams, "%d of %d resumed streams went on, %.2f of new ones began", s.resumedOn, s.resumed, newShare)
	}
}
