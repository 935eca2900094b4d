package scenario

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
)

// streamsWithin bounds a crowd of streams.
const streamsWithin = 60 * time.Second

// crowd sums up the answers of many streams at once.
type crowd struct {
	mu sync.Mutex
	// Whole are whole own answers, Errors explicit errors with a result code.
	whole  int
	errors int
	// Silent ended with neither; Wrong are answers of class done that are not
	// the whole own one, and errors after another's text.
	silent int
	wrong  int
	// lines explain what was silent or wrong, and the first error of each code.
	lines []string
	// codes counts the explicit errors.
	codes map[result.Code]int
}

// streams WORKSPACES N [tokens=N] [vm=LIST] [stream=false] [bare=ENDPOINT]
// sends N chats at once, each with its own mark and one try, and counts the
// whole own answers, the explicit errors, and the silent or wrong ones. With
// bare they go to an endpoint itself, past the gateway.
func streams(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "streams WORKSPACE N [tokens=N] [vm=LIST] [stream=false] [bare=ENDPOINT]")
	ctx, cancel := context.WithTimeout(context.Background(), streamsWithin)
	defer cancel()
	n := number(ts, []string{"n=" + args[1]}, "n", "1")
	tokens := number(ts, args, "tokens", "8")
	c := crowd{
		codes: make(map[result.Code]int),
	}
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	send := w.crowdSender(ctx, ts, client, args, tokens)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			own := fmt.Sprintf("%s%d", option(args, "mark", "s"), i)
			c.take(send(own), own, expectedText(own, tokens))
		})
	}
	wg.Wait()
	for _, line := range c.lines[:min(len(c.lines), 20)] {
		ts.Logf("%s", line)
	}
	ts.Logf("explicit errors by code: %v", c.codes)
	printf(ts, "whole=%d errors=%d silent=%d wrong=%d sum=%d\n", c.whole, c.errors, c.silent, c.wrong, c.whole+c.errors+c.silent+c.wrong)
}

// crowdSender returns what sends one chat of the crowd.
func (w *world) crowdSender(ctx context.Context, ts *testscript.TestScript, client *http.Client, args []string, tokens int) func(mark string) caller.Result {
	if bare := option(args, "bare", ""); bare != "" {
		addr := w.endpoint(ts, bare).Fleet.Addr
		return func(mark string) caller.Result { return bareChat(ctx, addr, w.model(), mark, tokens) }
	}
	vms := w.rig.VMs
	if list := option(args, "vm", ""); list != "" {
		vms = w.find(ts, list)
	}
	c := caller.New(caller.Options{
		VMs:      w.addrs(vms),
		Key:      key(args[0]),
		Client:   client,
		Direct:   slices.Contains(args, "direct"),
		MaxTries: 1,
	})
	return func(mark string) caller.Result {
		return c.Chat(ctx, caller.Chat{
			Model:     w.model(),
			Message:   "marker=" + mark + " hello",
			MaxTokens: tokens,
			Stream:    option(args, "stream", "true") == "true",
		})
	}
}

func (c *crowd) take(r caller.Result, own, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.Class == result.ClassDone && r.Text == want:
		c.whole++
	case r.Class == result.ClassDone || !isOwnPart(r.Text, want):
		c.wrong++
		c.lines = append(c.lines, fmt.Sprintf("%s got %q (%d)", own, r.Text, r.Code))
	case r.Code == 0 || r.Code == result.Done:
		c.silent++
		c.lines = append(c.lines, fmt.Sprintf("%s ended silently: %s", own, r.Message))
	default:
		c.errors++
		c.codes[r.Code]++
		if c.codes[r.Code] == 1 {
			c.lines = append(c.lines, fmt.Sprintf("%s ended with %d: %s (vm %s)", own, r.Code, r.Message, r.VM))
		}
	}
}

// isOwnPart reports whether a broken answer's text is a beginning of the own one.
func isOwnPart(text, want string) bool {
	return len(text) <= len(want) && want[:len(text)] == text
}
