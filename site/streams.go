package site

import (
	"context"
	"maps"
	"strings"
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
	// defaultStreamLifetime applies while no route has a timeout.
	defaultStreamLifetime = time.Minute
)

// streams holds the origins of streams and passes them on between VMs.
type streams struct {
	node     *Node
	register *origin.Register
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
	if _, sole := s.sole(o.Service); sole {
		return
	}
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

// answer returns the origin of a stream of a service to another VM.
func (s *streams) answer(request, service string) (origin.Origin, bool) {
	if o, ok := s.register.Find(request, s.node.now()); ok {
		return o, true
	}
	return s.sole(service)
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
	if o, ok := s.sole(c.Target()); ok {
		return o, metrics.StreamOriginSole
	}
	if c.Routed.Resumes == "" {
		return origin.Origin{}, metrics.StreamOriginUnknown
	}
	if o, ok := s.ask(ctx, c); ok {
		return o, metrics.StreamOriginAsked
	}
	return origin.Origin{}, metrics.StreamOriginUnknown
}

// ask asks the VMs that may have a record and returns the first that is found.
func (s *streams) ask(ctx context.Context, c *call.Call) (origin.Origin, bool) {
	asked := origin.Asked(c.Routed.Resumes, s.fleet())
	timeoutCtx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	found := make(chan *origin.Origin, len(asked))
	for _, vm := range asked {
		go func() {
			o, known, err := s.node.peers.Origin(timeoutCtx, vm, c.Routed.Resumes, c.Target())
			if err != nil {
				s.node.log.Debug("origin_not_asked", "peer", vm.ID, "reason", err.Error())
			}
			if !known {
				found <- nil
				return
			}
			found <- &o
		}()
	}
	for range asked {
		if o := <-found; o != nil {
			return *o, true
		}
	}
	return origin.Origin{}, false
}

// sole returns the origin of all streams of a service that has had one version only for as
// long as a stream lives, as seen without a gap.
func (s *streams) sole(service string) (origin.Origin, bool) {
	snap := s.node.control.snapshot()
	if snap.members.StoreUnreadable() {
		return origin.Origin{}, false
	}
	version, ok := s.register.Sole(service, snap.streamLifetime(), s.node.now())
	return origin.Origin{
		Service: service,
		Version: version,
	}, ok
}

// streamLifetime returns how long after its first event a stream may be resumed.
func (snap *snapshot) streamLifetime() time.Duration {
	if snap.table == nil || snap.table.StreamTimeout() == 0 {
		return defaultStreamLifetime
	}
	return snap.table.StreamTimeout() + resumeMargin
}

// mayServe reports whether the route of a call leads to a service.
func (s *streams) mayServe(c *call.Call, service string) bool {
	table := s.node.control.snapshot().table
	if service == c.Target() || table == nil {
		return service == c.Target()
	}
	path, _, _ := strings.Cut(c.Path, "?")
	found, ok := table.Match(c.Routed.Host, path)
	return ok && found.Serves(service)
}
