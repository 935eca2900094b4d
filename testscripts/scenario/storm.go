package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
)

// repeatAfter is when a storm asks again with the same ticket.
const repeatAfter = 250 * time.Millisecond

// storm is bookings that are each asked at every VM of a region with the same
// ticket: at two at once, at the others while the first still run, and at all
// again when those have ended. No ask is repeated by its caller.
type storm struct {
	world  *world
	name   string
	ticket *caller.Caller
	vms    []*caller.Caller
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	asks map[string][]told
}

// storm NAME WORKSPACE REGION [rate=N] starts a storm in the background.
func startStorm(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 3, "storm NAME WORKSPACE REGION [rate=N]")
	ctx, cancel := context.WithCancel(context.Background())
	s := &storm{
		world:  w,
		name:   args[0],
		ticket: w.newCaller(ts, args[1], []string{"vm=" + args[2]}),
		cancel: cancel,
		asks:   make(map[string][]told),
	}
	for _, vm := range w.find(ts, args[2]) {
		s.vms = append(s.vms, w.newCaller(ts, args[1], []string{"vm=" + vm.Fleet.ID, "direct", "once"}))
	}
	w.once.storms = put(w.once.storms, args[0], s)
	ts.Defer(cancel)
	every := time.Second / time.Duration(number(ts, args, "rate", "20"))
	s.wg.Go(func() { s.arrive(ctx, every) })
}

func (s *storm) arrive(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		operation := fmt.Sprintf("%s-%d", s.name, i)
		s.wg.Go(func() { s.book(operation, i) })
	}
}

// book asks for one operation in all ways. Without a ticket nothing is asked.
func (s *storm) book(operation string, first int) {
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	t, err := s.ticket.Ticket(ctx)
	if err != nil {
		return
	}
	for range 2 {
		var wg sync.WaitGroup
		for i := range s.vms {
			c := s.vms[(first+i)%len(s.vms)]
			wg.Go(func() {
				time.Sleep(time.Duration(i/2) * repeatAfter)
				s.ask(ctx, c, operation, t.Ticket)
			})
		}
		wg.Wait()
	}
}

func (s *storm) ask(ctx context.Context, c *caller.Caller, operation, ticket string) {
	t := timed(func() caller.Result { return c.Service(ctx, s.world.booking(operation, ticket)) })
	if t.code == 0 && t.class == result.ClassNotRun {
		// No VM was asked: the caller could not connect.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asks[operation] = append(s.asks[operation], t)
}

// stormed NAME [FAULT] ends a storm, compares it with the services' counts and
// prints the verdict.
func endStorm(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "stormed NAME [FAULT]")
	s := w.once.storms[args[0]]
	if s == nil {
		ts.Fatalf("no storm %q", args[0])
	}
	s.cancel()
	s.wg.Wait()
	all, err := w.allRuns()
	ts.Check(err)
	runs := all.Runs
	var v verdict
	for operation, asks := range s.asks {
		before := v
		v.judge(asks, runs[operation], all.FirstRuns[operation])
		if v.Doubled != before.Doubled || v.RanThoughNotRun != before.RanThoughNotRun || v.Lost != before.Lost {
			ts.Logf("%s ran %d times: %s", operation, runs[operation], describe(asks))
		}
	}
	printf(ts, "operations=%d asks=%d done=%d not_run=%d unknown=%d\n", v.Operations, v.Asks, v.Done, v.NotRun, v.Unknown)
	printf(ts, "doubled=%d ran_though_not_run=%d lost=%d differing=%d\n", v.Doubled, v.RanThoughNotRun, v.Lost, v.Differing)
	if len(args) > 1 {
		printf(ts, "fault=%s operations=%d unknown=%d share=%.2f%%\n", args[1], v.Operations, v.UnknownOperations, percent(v.UnknownOperations, v.Operations))
	}
}

func describe(asks []told) string {
	text := ""
	start := asks[0].beganAt
	for _, a := range asks {
		text += fmt.Sprintf(" [%d %s %s..%s]", a.code, a.class, a.beganAt.Sub(start).Round(time.Millisecond), a.endedAt.Sub(start).Round(time.Millisecond))
	}
	return text
}
