package scenario

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
)

// load generates calls at a constant rate in the background.
type load struct {
	deployment *deployment
	kind       string
	tokens     int
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu      sync.Mutex
	counts  loadCounts
	results []bookedCall
	wrong   []string
	// codes counts the calls that are not done by result code.
	codes map[result.Code]int
}

// loadCounts counts the calls of a load by outcome.
type loadCounts struct {
	Sent    int
	Done    int
	NotRun  int
	Unknown int
	// Wrong counts incomplete responses and responses to other calls.
	Wrong int
	// Retried counts calls that took more than one attempt.
	Retried int
}

// bookedCall is the outcome of one non-idempotent call.
type bookedCall struct {
	operation string
	class     result.Class
	code      result.Code
}

// load NAME chat|book WORKSPACE[,WORKSPACE] [rate=N] [tokens=N] [vm=LIST]
// [direct] [once] starts calls in the background.
func startLoad(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 3, "load NAME chat|book WORKSPACES [rate=N] [tokens=N] [vm=LIST] [direct] [once]")
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		deployment: w,
		kind:       args[1],
		tokens:     number(ts, args, "tokens", "8"),
		cancel:     cancel,
		codes:      make(map[result.Code]int),
	}
	w.loads[args[0]] = l
	ts.Defer(cancel)
	every := time.Second / time.Duration(number(ts, args, "rate", "50"))
	var callers []*caller.Caller
	for workspace := range strings.SplitSeq(args[2], ",") {
		callers = append(callers, w.newCaller(ts, workspace, args))
	}
	l.wg.Go(func() { l.generate(ctx, args[0], callers, every) })
}

func (l *load) generate(ctx context.Context, name string, callers []*caller.Caller, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		mark := fmt.Sprintf("%s-%d", name, i)
		c := callers[i%len(callers)]
		l.wg.Go(func() { l.send(c, mark) })
	}
}

// send sends one call. Calls in flight finish after the load has ended.
func (l *load) send(c *caller.Caller, mark string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if l.kind == "book" {
		r := c.Service(ctx, l.deployment.booking(mark, ""))
		l.record(r, mark, r.Class != result.ClassDone || strings.Contains(r.Text, mark) || r.Text != "")
		return
	}
	r := c.Chat(ctx, caller.Chat{
		Model:     l.deployment.model(),
		Message:   "marker=" + mark + " hello",
		MaxTokens: l.tokens,
		Stream:    true,
	})
	l.record(r, mark, r.Class != result.ClassDone || r.Text == expectedText(mark, l.tokens))
}

func (l *load) record(r caller.Result, mark string, correct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Sent++
	switch r.Class {
	case result.ClassDone:
		l.counts.Done++
	case result.ClassNotRun:
		l.counts.NotRun++
	default:
		l.counts.Unknown++
	}
	if !correct {
		l.counts.Wrong++
		l.wrong = append(l.wrong, fmt.Sprintf("%s: %q", mark, r.Text))
	}
	if r.Attempts > 1 {
		l.counts.Retried++
	}
	if r.Class != result.ClassDone {
		l.codes[r.Code]++
		l.wrong = append(l.wrong, fmt.Sprintf("%s: %d %s %s (tries %d, vm %s)", mark, r.Code, r.Class, r.Message, r.Attempts, r.VM))
	}
	if l.kind == "book" {
		l.results = append(l.results, bookedCall{
			operation: mark,
			class:     r.Class,
			code:      r.Code,
		})
	}
}

// ended NAME stops a load, waits for its calls, compares bookings with the number
// of runs at the services, and prints the totals.
func endLoad(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "ended NAME")
	l := w.loads[args[0]]
	if l == nil {
		ts.Fatalf("no load %q", args[0])
	}
	l.cancel()
	l.wg.Wait()
	c := l.counts
	printf(ts, "sent=%d done=%d not_run=%d unknown=%d wrong=%d retried=%d\n", c.Sent, c.Done, c.NotRun, c.Unknown, c.Wrong, c.Retried)
	for _, line := range l.wrong[:min(len(l.wrong), 20)] {
		ts.Logf("%s", line)
	}
	ts.Logf("calls not done by code: %v", l.codes)
	if l.kind == "book" {
		l.checkRuns(ts)
	}
}

// checkRuns compares the outcome of each booking with its runs at the services.
func (l *load) checkRuns(ts *testscript.TestScript) {
	total, err := l.deployment.countRuns()
	ts.Check(err)
	doubled, ranNotRun, lost := 0, 0, 0
	for _, b := range l.results {
		n := total[b.operation]
		if n > 1 {
			doubled++
			ts.Logf("%s ran %d times, class %s", b.operation, n, b.class)
		}
		if b.class == result.ClassNotRun && n > 0 {
			ranNotRun++
			ts.Logf("%s was told not run (%d) and ran", b.operation, b.code)
		}
		if b.class == result.ClassDone && n == 0 {
			lost++
		}
	}
	printf(ts, "doubled=%d ran_though_not_run=%d done_though_lost=%d\n", doubled, ranNotRun, lost)
}
