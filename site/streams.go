package site

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/origin"
)

const (
	// originSendInterval is the least time between two rounds of notes, to batch records.
	originSendInterval = 20 * time.Millisecond
	// originNoteTimeout bounds one note, including a new connection between the most distant
	// regions.
	originNoteTimeout = time.Second
	// originAskTimeout bounds the questions of one call, including a lost packet within the
	// region or a round trip between the most distant ones.
	originAskTimeout = 400 * time.Millisecond
	// resumeMargin covers the time in which a caller notices that a stream broke off and
	// resumes it, after its deadline.
	resumeMargin = 2 * time.Second
	// requestDelay bounds the way of a request to this VM, and that of a change of the store to
	// the VMs.
	requestDelay = 500 * time.Millisecond
	// defaultStreamLifetime applies while no route has a timeout, or it is not known how long
	// the timeouts have been in force.
	defaultStreamLifetime = time.Minute
)

// streams holds the origins of streams and passes them on between VMs.
type streams struct {
	node     *Node
	register *origin.Register
	patience *origin.Patience
	// due is signalled when outgoing gets its first record.
	due chan struct{}

	mu       sync.Mutex
	outgoing map[string]*originNote
}

// originNote is the records to send to one VM.
type originNote struct {
	to      fleet.VM
	origins []origin.Origin
}

func newStreams(n *Node) *streams {
	return &streams{
		node:     n,
		register: origin.NewRegister(),
		patience: origin.NewPatience(),
		due:      make(chan struct{}, 1),
		outgoing: make(map[string]*originNote),
	}
}

// began records the origin of a stream whose first event a caller gets now, and queues copies
// for other VMs. Copies are not needed while the service has one version only.
func (s *streams) began(c *call.Call, softwareVersion string) {
	if !c.Stream || !c.Routed.Resumable {
		return
	}
	o := origin.Origin{
		Request:   c.ID,
		Service:   c.Target(),
		Version:   softwareVersion,
		KeepUntil: lastResume(c),
	}
	if c.Routed.ResumeAfter != "" {
		o.Request = c.Routed.Resumes
	}
	if o.Request == "" {
		return
	}
	s.register.Add(o, s.node.now())
	if _, known := s.sole(c.Target(), c.Routed.Host, c.Path, s.oldestStream()); !known || s.node.isViewTooOld() {
		s.tellKeepers(o)
	}
}

// tellKeepers queues copies of a record for other VMs.
func (s *streams) tellKeepers(o origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range origin.Keepers(o.Request, s.fleet()) {
		note := s.outgoing[vm.ID]
		if note == nil {
			note = &originNote{}
			s.outgoing[vm.ID] = note
		}
		note.to = vm
		note.origins = append(note.origins, o)
	}
	select {
	case s.due <- struct{}{}:
	default:
	}
}

// lastResume returns when a caller resumes its stream at the latest.
func lastResume(c *call.Call) time.Time {
	last := c.Deadline
	if c.Routed.CallerDeadline.After(last) {
		last = c.Routed.CallerDeadline
	}
	return last.Add(resumeMargin)
}

// fleet returns the VMs that this one reaches.
func (s *streams) fleet() origin.Fleet {
	members := s.node.control.snapshot().members
	f := origin.Fleet{
		Self:    members.Self,
		Regions: make(map[string][]fleet.VM),
	}
	for _, region := range regionsOf(s.node.deployment.Regions) {
		if vms := members.ReachableVMs(region); len(vms) > 0 {
			f.Regions[region] = vms
		}
	}
	return f
}

// run sends the queued records until ctx ends.
func (s *streams) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.due:
		}
		for _, note := range s.takeOutgoing() {
			go s.send(ctx, note)
		}
		now := s.node.now()
		worker.SleepUntil(ctx, now, now.Add(originSendInterval))
	}
}

func (s *streams) takeOutgoing() map[string]*originNote {
	s.mu.Lock()
	defer s.mu.Unlock()
	notes := maps.Clone(s.outgoing)
	clear(s.outgoing)
	return notes
}

func (s *streams) send(ctx context.Context, note *originNote) {
	timeoutCtx, cancel := context.WithTimeout(ctx, originNoteTimeout)
	defer cancel()
	if err := s.node.peers.Origins(timeoutCtx, note.to, note.origins); err != nil {
		s.node.log.Debug("origins_not_told", "peer", note.to.ID, "origins", len(note.origins), "reason", err.Error())
	}
}

// receive takes records from another VM.
func (s *streams) receive(origins []origin.Origin) {
	now := s.node.now()
	for _, o := range origins {
		s.register.Add(o, now)
	}
}

// answer tells another VM what this one knows of the origin of a stream.
func (s *streams) answer(q origin.RecordQuestion) origin.Reply {
	since := s.oldestStream()
	if q.Since.After(since) {
		since = q.Since
	}
	reply := origin.Reply{
		Versions: s.register.Versions(q.Service, since),
	}
	reply.Origin, reply.Known = s.register.Find(q.Request, s.node.now())
	if !reply.Known && s.node.viewAge() <= currentViewAge {
		reply.Origin, reply.Known = s.sole(q.Service, q.Host, q.Target, since)
	}
	return reply
}

// origin returns the origin of the stream that a caller resumes. The route must still lead to
// its service.
func (s *streams) origin(ctx context.Context, c *call.Call) (origin.Origin, bool) {
	o, found := s.findOrigin(ctx, c)
	if found != metrics.StreamOriginUnknown && !s.mayServe(c, o.Service) {
		found = metrics.StreamOriginUnknown
	}
	s.node.metrics.CountResumedStream(found)
	return o, found != metrics.StreamOriginUnknown
}

func (s *streams) findOrigin(ctx context.Context, c *call.Call) (origin.Origin, metrics.StreamOrigin) {
	if o, ok := s.register.Find(c.Routed.Resumes, s.node.now()); ok {
		return o, metrics.StreamOriginOwn
	}
	since := s.beganSince(c)
	sole, isSole := s.sole(c.Target(), c.Routed.Host, c.Path, since)
	if isSole && s.node.viewAge() <= currentViewAge {
		return sole, metrics.StreamOriginSole
	}
	if c.Routed.Resumes == "" && !isSole {
		return origin.Origin{}, metrics.StreamOriginUnknown
	}
	if c.Routed.Resumes == "" {
		if found, ok := s.ask(ctx, c, since); ok {
			return found, metrics.StreamOriginSole
		}
		return origin.Origin{}, metrics.StreamOriginUnknown
	}
	return s.findElsewhere(ctx, c, since)
}

// findElsewhere asks other VMs for a record and, if there is none, the endpoints for evidence.
// While this VM has not run for longer than the stream, the others may have lost their records
// too, so that it asks for both at once.
func (s *streams) findElsewhere(ctx context.Context, c *call.Call, since time.Time) (origin.Origin, metrics.StreamOrigin) {
	deduced := make(chan origin.Doubt, 1)
	o := origin.Origin{
		Request:   c.Routed.Resumes,
		Service:   c.Target(),
		KeepUntil: lastResume(c),
	}
	q := origin.Question{
		Service: c.Target(),
		Since:   since,
		Host:    c.Routed.Host,
		Target:  c.Path,
	}
	prompt := c.Routed.PromptParts
	if len(prompt) > 0 {
		q.Part = prompt[len(prompt)-1].ID
	}
	deduce := func() {
		if len(prompt) == 0 {
			deduced <- origin.DoubtNoPrompt
			return
		}
		version, doubt := s.node.evidence.deduce(ctx, q)
		o.Version = version
		deduced <- doubt
	}
	startedLate := s.node.startedAt.After(since)
	if startedLate {
		go deduce()
	}
	if found, ok := s.ask(ctx, c, since); ok {
		if found.Request == "" {
			return found, metrics.StreamOriginSole
		}
		return found, metrics.StreamOriginAsked
	}
	if !startedLate {
		deduce()
	}
	if doubt := <-deduced; doubt != "" {
		c.Log.Add("stream_origin_unknown", slog.String("doubt", string(doubt)), slog.Int64("since_ms", s.node.now().Sub(since).Milliseconds()))
		return origin.Origin{}, metrics.StreamOriginUnknown
	}
	s.register.Add(o, s.node.now())
	s.tellKeepers(o)
	return o, metrics.StreamOriginDeduced
}

// ask asks the VMs that may have a record and returns the first that is found. Without one, the
// only version that this VM knows of counts if those VMs confirm it.
func (s *streams) ask(ctx context.Context, c *call.Call, since time.Time) (origin.Origin, bool) {
	asked := origin.Asked(c.Routed.Resumes, s.fleet())
	q := origin.RecordQuestion{
		Request: c.Routed.Resumes,
		Service: c.Target(),
		Host:    c.Routed.Host,
		Target:  c.Path,
		Since:   since,
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	arriving := make(chan origin.Reply, len(asked))
	for _, vm := range asked {
		go func() {
			reply, err := s.node.peers.Origin(timeoutCtx, vm, q)
			if err != nil {
				s.node.log.Debug("origin_not_asked", "peer", vm.ID, "reason", err.Error())
			}
			arriving <- reply
		}()
	}
	var replies []origin.Reply
	for range asked {
		reply := <-arriving
		if reply.Known && (reply.Origin.Request != "" || s.knowsOnly(q, reply.Origin.Version)) {
			return reply.Origin, true
		}
		replies = append(replies, reply)
	}
	return s.confirmedSole(c, q, replies)
}

// knowsOnly reports whether this VM knows of no other version since a stream began.
func (s *streams) knowsOnly(q origin.RecordQuestion, version string) bool {
	isOther := func(v string) bool { return v != version }
	return !slices.ContainsFunc(s.register.Versions(q.Service, q.Since), isOther)
}

// confirmedSole returns the only version that this VM knows of, if its view is not too old and the
// VMs that were asked confirm it.
func (s *streams) confirmedSole(c *call.Call, q origin.RecordQuestion, replies []origin.Reply) (origin.Origin, bool) {
	sole, ok := s.sole(q.Service, q.Host, q.Target, q.Since)
	if !ok {
		return origin.Origin{}, false
	}
	isAlone := s.node.control.snapshot().members.FleetSize == 1
	confirmed := !s.node.isViewTooOld() && (isAlone || origin.Confirms(replies, sole.Version))
	answered := 0
	for _, r := range replies {
		if r.Answered {
			answered++
		}
	}
	c.Log.Add("only_version_checked",
		slog.String("software_version", sole.Version),
		slog.Int64("view_age_ms", s.node.viewAge().Milliseconds()),
		slog.Int("asked", len(replies)),
		slog.Int("answered", answered),
		slog.Bool("confirmed", confirmed),
	)
	return sole, confirmed
}

// sole returns the origin of all streams of a route that has led to one service only since they
// began, with one version only.
func (s *streams) sole(service, host, target string, since time.Time) (origin.Origin, bool) {
	if s.node.control.snapshot().members.StoreUnreadable() || !s.ledOnlyTo(service, host, target, since) {
		return origin.Origin{}, false
	}
	version, ok := s.register.Sole(service, since)
	return origin.Origin{
		Service: service,
		Version: version,
	}, ok
}

// ledOnlyTo reports whether the route of a request target has led to a service and no other since
// the given time.
func (s *streams) ledOnlyTo(service, host, target string, since time.Time) bool {
	table := s.node.control.snapshot().table
	if table == nil {
		return false
	}
	found, ok := table.MatchTarget(host, target)
	return ok && s.node.routePast.ledOnlyTo(service, found, since)
}

// oldestStream returns when the oldest stream began that may still be resumed.
func (s *streams) oldestStream() time.Time {
	return s.node.now().Add(-s.streamLifetime())
}

// beganSince returns when the stream that a caller resumes began at the earliest. What the caller
// has left of the time that callers of its route have, or of a longer timeout, tells how long it
// has waited.
func (s *streams) beganSince(c *call.Call) time.Time {
	since := s.oldestStream()
	timeout, timeoutsKnown := s.node.routePast.longestTimeout(s.node.now())
	stated, statedKnown := s.patience.Longest(c.Routed.Route)
	if !timeoutsKnown || !statedKnown || c.Routed.CallerDeadline.IsZero() {
		return since
	}
	if at := c.Routed.CallerDeadline.Add(-max(timeout, stated) - requestDelay); at.After(since) {
		return at
	}
	return since
}

// observe records how long the caller of a stream's first request has.
func (s *streams) observe(c *call.Call) {
	if c.Stream && !c.Forwarded && c.Routed.ResumeAfter == "" && !c.Routed.CallerDeadline.IsZero() {
		s.patience.Observe(c.Routed.Route, c.Routed.CallerDeadline.Sub(c.Routed.ArrivedAt))
	}
}

// streamLifetime returns how long after its first event a stream may be resumed.
func (s *streams) streamLifetime() time.Duration {
	longest, known := s.node.routePast.longestTimeout(s.node.now())
	lifetime := longest + resumeMargin
	if !known || longest == 0 {
		return max(lifetime, defaultStreamLifetime)
	}
	return lifetime
}

// mayServe reports whether the route of a call leads to a service.
func (s *streams) mayServe(c *call.Call, service string) bool {
	table := s.node.control.snapshot().table
	if service == c.Target() || table == nil {
		return service == c.Target()
	}
	found, ok := table.MatchTarget(c.Routed.Host, c.Path)
	return ok && found.Serves(service)
}
