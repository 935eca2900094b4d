package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slowPath is the prefix of calls that run once and take as long as they say.
	slowPath = "/slow/"
	// keptConnsPerVM is the number of clients of each VM that use a connection until it ends.
	keptConnsPerVM = 24
	// lostSlack is how long after its last byte a request may cross the end of a connection.
	lostSlack = 200 * time.Millisecond
	// lateRequest is how long after SIGTERM a request counts as one that the VM could refuse.
	lateRequest = 3 * time.Second
)

// keptCall is a call on a kept connection. half is the pause in the middle of its body.
type keptCall struct {
	path, query, service string
	half                 time.Duration
}

func randomKeptCall() keptCall {
	switch n := rand.IntN(10); {
	case n < 4:
		return keptCall{path: "/post/x", service: servicePlain}
	case n < 6:
		return keptCall{path: "/stream/once/x", service: serviceEngine}
	case n < 9:
		return keptCall{path: slowPath + "x", query: fmt.Sprintf("?ms=%d", 100+rand.IntN(6000)), service: servicePlain}
	default:
		return keptCall{path: slowPath + "x", service: servicePlain, half: time.Duration(rand.IntN(3000)) * time.Millisecond}
	}
}

// useConnection sends calls to a VM on one connection after the other, each until it ends,
// whatever the directory says.
func (tb *testbed) useConnection(ctx context.Context, v *vm, lastID *atomic.Int64) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", v.ip+":8149", time.Second)
		if err != nil {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		unblock := context.AfterFunc(ctx, func() { _ = conn.Close() })
		reader := bufio.NewReader(conn)
		for open := true; open && ctx.Err() == nil; {
			// Some connections are idle from before a stop until after it.
			sleep(ctx, time.Duration(rand.ExpFloat64()*float64(time.Second)))
			open = tb.callOnce(ctx, conn, reader, v, lastID)
		}
		unblock()
		_ = conn.Close()
	}
}

// callOnce sends a call, records its outcome, and reports whether the connection stays open.
func (tb *testbed) callOnce(ctx context.Context, conn net.Conn, reader *bufio.Reader, v *vm, lastID *atomic.Int64) bool {
	k := randomKeptCall()
	tb.mu.Lock()
	// VMs that read the configuration early or late know this version's key.
	version := max(tb.version-1, 1)
	tb.mu.Unlock()
	a := attempt{
		id:         fmt.Sprintf("a%x", lastID.Add(1)),
		path:       k.path,
		target:     k.path + k.query,
		service:    k.service,
		vm:         v.name,
		kept:       true,
		workspace:  workspaceUnlimited,
		key:        workspaceKey(workspaceUnlimited, version),
		keyVersion: version,
		sentAt:     time.Now(),
	}
	body := strings.Repeat("b", 512)
	_, err := fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		k.path, k.query, attemptHeader, a.id, a.key, len(body), body[:256])
	if err == nil {
		sleep(ctx, k.half)
		_, err = conn.Write([]byte(body[256:]))
	}
	a.sentAt = time.Now()
	open := false
	if err != nil {
		a.connectionLost = true
	} else if resp, err := http.ReadResponse(reader, nil); err != nil {
		a.connectionLost = true
	} else {
		a.status = resp.StatusCode
		(&client{}).checkResponse(&a, resp)
		open = !resp.Close && a.complete
		_ = resp.Body.Close()
	}
	a.endedAt = time.Now()
	if ctx.Err() != nil {
		a.connectionLost = false
	}
	tb.ledger.recordAttempt(a)
	return open
}

// runStops stops VMs in series that overlap, beside signals and changes of the configuration,
// while clients use connections until the processes are gone.
func runStops(ctx context.Context, tb *testbed, l *loadGenerator) []Violation {
	var clients, stops sync.WaitGroup
	clientCtx, endClients := context.WithCancel(ctx)
	for _, v := range tb.vms {
		for range keptConnsPerVM {
			clients.Go(func() { tb.useConnection(clientCtx, v, &l.lastID) })
		}
	}
	sleep(ctx, 2*time.Second)
	end := time.Now().Add(tb.FaultDuration)
	for time.Now().Before(end) && ctx.Err() == nil {
		d := faultParams{
			vm:      tb.rand.IntN(len(tb.vms)),
			variant: tb.rand.IntN(4),
			long:    time.Duration(200+tb.rand.IntN(2300)) * time.Millisecond,
		}
		if !tb.vms[d.vm].isBusy() {
			tb.logSchedule("stop %+v", d)
			stops.Go(func() { _ = tb.stopAndStart(ctx, d) })
			tb.disturbStop(ctx, d)
		}
		sleep(ctx, d.long)
	}
	stops.Wait()
	endClients()
	clients.Wait()
	return nil
}

// disturbStop sends a second SIGTERM or a SIGHUP, pauses the process as a CPU quota does, or
// changes the configuration, while a VM stops.
func (tb *testbed) disturbStop(ctx context.Context, d faultParams) {
	v := tb.vms[d.vm]
	sleep(ctx, d.long/8)
	switch d.variant {
	case 0:
		v.signal(syscall.SIGTERM)
	case 1:
		_ = tb.reloadSettings(ctx, d)
	case 2:
		for range 5 {
			v.signal(syscall.SIGSTOP)
			sleep(ctx, 90*time.Millisecond)
			v.signal(syscall.SIGCONT)
			sleep(ctx, 10*time.Millisecond)
		}
	default:
		_ = tb.changeConfiguration(ctx, d)
	}
}

// checkStopAnswers checks that a call which a VM has accepted gets a whole answer though the
// VM stops: one that was passed on, and one that did not cross the end of its connection. A
// call may be cut off if its replica was still at work in the last sixth of the time to stop
// and it was sent early.
func (l *ledger) checkStopAnswers() (out []string) {
	for _, a := range l.attempts {
		if !a.kept || !a.connectionLost || l.isCutExcused(a) {
			continue
		}
		if l.hasRun(a.id) || a.endedAt.Sub(a.sentAt) > lostSlack {
			out = append(out, fmt.Sprintf("%s %s got no answer from %s for %v, run: %v, %v after SIGTERM",
				a.id, a.path, a.vm, a.endedAt.Sub(a.sentAt), l.hasRun(a.id), a.sentAt.Sub(l.stoppedAt(a))))
		}
	}
	return out
}

func (l *ledger) isCutExcused(a attempt) bool {
	stoppedAt := l.stoppedAt(a)
	return !stoppedAt.IsZero() && a.sentAt.Sub(stoppedAt) <= lateRequest && a.endedAt.Sub(stoppedAt) >= stopGracePeriod*5/6
}

// stoppedAt returns when the VM of an attempt was last told to stop before the attempt ended.
func (l *ledger) stoppedAt(a attempt) (at time.Time) {
	for _, down := range l.vmDown[a.vm] {
		if down.from.Before(a.endedAt) {
			at = down.from
		}
	}
	return at
}

// stopCounts count the calls on kept connections to stopping VMs, by their outcome.
type stopCounts struct {
	stops, served, refused, failed, unread int
}

func (l *ledger) countStopCalls() (n stopCounts) {
	for _, downs := range l.vmDown {
		n.stops += len(downs)
	}
	for _, a := range l.attempts {
		stopping := slices.ContainsFunc(l.vmDown[a.vm], func(s interval) bool { return s.contains(a.sentAt) })
		switch {
		case !a.kept || !stopping:
		case a.complete:
			n.served++
		case a.reportedNotRun():
			n.refused++
		case a.connectionLost:
			n.unread++
		case a.status > 0:
			n.failed++
		}
	}
	return n
}
