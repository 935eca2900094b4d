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

// streamsTimeout bounds one streams command.
const streamsTimeout = 60 * time.Second

// streamResults counts the outcomes of concurrent streams.
type streamResults struct {
	mu sync.Mutex
	// whole counts complete responses, errors failures with a result code.
	whole  int
	errors int
	// silent counts streams that ended with neither. wrong counts incomplete
	// responses reported as done, and text that belongs to another stream.
	silent int
	wrong  int
	// lines describes silent and wrong streams, and the first error of each code.
	lines []string
	// codes counts errors by result code.
	codes map[result.Code]int
	// connected and continued are the longest times until a stream had a connection, and until
	// the VM asked for its body.
	connected time.Duration
	continued time.Duration
}

// streams WORKSPACES N [tokens=N] [vm=LIST] [stream=false] [bare=ENDPOINT]
// sends N concurrent chats, each with its own mark and without retries, and
// prints the counts of streamResults. With bare the chats go directly to an
// endpoint instead of a gateway.
func streams(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "streams WORKSPACE N [tokens=N] [vm=LIST] [stream=false] [bare=ENDPOINT]")
	ctx, cancel := context.WithTimeout(context.Background(), streamsTimeout)
	defer cancel()
	n := number(ts, []string{"n=" + args[1]}, "n", "1")
	tokens := number(ts, args, "tokens", "8")
	c := streamResults{
		codes: make(map[result.Code]int),
	}
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	send := w.streamSender(ctx, ts, client, args, tokens)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			own := fmt.Sprintf("%s%d", option(args, "mark", "s"), i)
			c.record(send(own), own, expectedText(own, tokens))
		})
	}
	wg.Wait()
	for _, line := range c.lines[:min(len(c.lines), 20)] {
		ts.Logf("%s", line)
	}
	ts.Logf("explicit errors by code: %v", c.codes)
	ts.Logf("longest until connected: %s, until 100 Continue: %s", c.connected, c.continued)
	printf(ts, "whole=%d errors=%d silent=%d wrong=%d sum=%d\n", c.whole, c.errors, c.silent, c.wrong, c.whole+c.errors+c.silent+c.wrong)
}

// streamSender returns the function that sends one chat.
func (w *deployment) streamSender(ctx context.Context, ts *testscript.TestScript, client *http.Client, args []string, tokens int) func(mark string) caller.Result {
	if bare := option(args, "bare", ""); bare != "" {
		addr := w.endpoint(ts, bare).Fleet.Addr
		return func(mark string) caller.Result { return chatUnchecked(ctx, addr, w.model(), mark, tokens) }
	}
	vms := w.rig.VMs
	if list := option(args, "vm", ""); list != "" {
		vms = w.parseVMs(ts, list)
	}
	c := caller.New(caller.Options{
		VMs:      w.addrs(vms),
		Key:      apiKey(args[0]),
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

func (c *streamResults) record(r caller.Result, own, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connected = max(c.connected, r.ConnectedAt.Sub(r.StartedAt))
	c.continued = max(c.continued, r.ContinuedAt.Sub(r.StartedAt))
	switch {
	case r.Class == result.ClassDone && r.Text == want:
		c.whole++
	case r.Class == result.ClassDone || !isPrefixOf(r.Text, want):
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

// isPrefixOf reports whether text is a prefix of want.
func isPrefixOf(text, want string) bool {
	return len(text) <= len(want) && want[:len(text)] == text
}
