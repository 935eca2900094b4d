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

// attemptInterval is the delay between pairs of attempts with the same ticket.
const attemptInterval = 250 * time.Millisecond

// storm generates bookings and sends each to every VM of a region with the same
// ticket: to two VMs at a time, and to all again after the first round. The
// callers themselves do not retry.
type storm struct {
	deployment *deployment
	name       string
	ticket     *caller.Caller
	vms        []*caller.Caller
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu       sync.Mutex
	attempts map[string][]attempt
}

// storm NAME WORKSPACE REGION [rate=N] starts a storm in the background.
func startStorm(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 3, "storm NAME WORKSPACE REGION [rate=N]")
	ctx, cancel := context.WithCancel(context.Background())
	s := &storm{
		deployment: w,
		name:       args[0],
		ticket:     w.newCaller(ts, args[1], []string{"vm=" + args[2]}),
		cancel:     cancel,
		attempts:   make(map[string][]attempt),
	}
	for _, vm := range w.parseVMs(ts, args[2]) {
		s.vms = append(s.vms, w.newCaller(ts, args[1], []string{"vm=" + vm.Fleet.ID, "direct", "once"}))
	}
	w.bookings.storms = put(w.bookings.storms, args[0], s)
	ts.Defer(cancel)
	every := time.Second / time.Duration(number(ts, args, "rate", "20"))
	s.wg.Go(func() { s.generate(ctx, every) })
}

func (s *storm) generate(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		operation := fmt.Sprintf("%s-%d", s.name, i)
		s.wg.Go(func() { s.repeatEverywhere(operation, i) })
	}
}

// repeatEverywhere sends one operation to all VMs in two rounds. It sends nothing
// if it cannot get a ticket.
func (s *storm) repeatEverywhere(operation string, first int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
				time.Sleep(time.Duration(i/2) * attemptInterval)
				s.ask(ctx, c, operation, t.Ticket)
			})
		}
		wg.Wait()
	}
}

func (s *storm) ask(ctx context.Context, c *caller.Caller, operation, ticket string) {
	t := timed(func() caller.Result { return c.Service(ctx, s.deployment.booking(operation, ticket)) })
	if t.code == 0 && t.class == result.ClassNotRun {
		// The caller could not connect, so no VM received the call.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[operation] = append(s.attempts[operation], t)
}

// stormed NAME [FAULT] ends a storm, compares its outcomes with the runs at the
// services, and prints the tally.
func endStorm(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "stormed NAME [FAULT]")
	s := w.bookings.storms[args[0]]
	if s == nil {
		ts.Fatalf("no storm %q", args[0])
	}
	s.cancel()
	s.wg.Wait()
	all, err := w.allRuns()
	ts.Check(err)
	runs := all.Runs
	var v tally
	for operation, attempts := range s.attempts {
		before := v
		v.add(attempts, runs[operation], all.FirstRuns[operation])
		if v.Doubled != before.Doubled || v.RanThoughNotRun != before.RanThoughNotRun || v.Lost != before.Lost {
			ts.Logf("%s ran %d times: %s", operation, runs[operation], describe(attempts))
		}
	}
	printf(ts, "operations=%d asks=%d done=%d not_run=%d unknown=%d\n", v.Operations, v.Asks, v.Done, v.NotRun, v.Unknown)
	printf(ts, "doubled=%d ran_though_not_run=%d lost=%d differing=%d\n", v.Doubled, v.RanThoughNotRun, v.Lost, v.Differing)
	if len(args) > 1 {
		printf(ts, "fault=%s operations=%d unknown=%d share=%.2f%%\n", args[1], v.Operations, v.UnknownOperations, percentOf(v.UnknownOperations, v.Operations))
	}
}

func describe(attempts []attempt) string {
	text := ""
	start := attempts[0].beganAt
	for _, a := range attempts {
		text += fmt.Sprintf(" [%d %s %s..%s]", a.code, a.class, a.beganAt.Sub(start).Round(time.Millisecond), a.endedAt.Sub(start).Round(time.Millisecond))
	}
	return text
}
