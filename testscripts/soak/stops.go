package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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
	// firstRequestTimeout is how long VMs wait on a new connection for the head of the first request.
	firstRequestTimeout = 5 * time.Second
	// lateRequest is how long after SIGTERM a request counts as one that the VM could refuse.
	lateRequest = 3 * time.Second
)

// keptCall is a call on a kept connection. half is the pause in the middle of its body.
type keptCall struct {
	path, query, service string
	half                 time.Duration
	// deadline is the time that the request states; zero for none.
	deadline time.Duration
	// padding is the number of bytes that the answer has beside the usual ones.
	padding int
	// chunked is set for a body in chunks, readsSlowly for a caller that reads slowly, ahead for
	// one that sends its next request before it reads the answer.
	chunked, readsSlowly, ahead bool
}

func (tb *testbed) randomCall() keptCall {
	if tb.OverlappingStops {
		return randomLongCall(tb.OnceLimit)
	}
	return randomKeptCall()
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
		before := idleConn{
			unusedSince: time.Now(),
		}
		for open := true; open && ctx.Err() == nil; {
			// Some connections are idle from before a stop until after it.
			before.endArrivedAt = idle(ctx, conn, reader, time.Duration(rand.ExpFloat64()*float64(time.Second)))
			open = tb.callOnce(ctx, conn, reader, v, lastID, before)
			before = idleConn{}
		}
		unblock()
		_ = conn.Close()
	}
}

// idle waits, and returns when the end of the connection arrived meanwhile; zero if it didn't.
func idle(ctx context.Context, conn net.Conn, reader *bufio.Reader, wait time.Duration) (endArrivedAt time.Time) {
	until := time.Now().Add(wait)
	_ = conn.SetReadDeadline(until)
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		endArrivedAt = time.Now()
	}
	sleep(ctx, time.Until(until))
	return endArrivedAt
}

// callOnce sends a call, or two ahead of the first answer, records the outcomes, and reports
// whether the connection stays open.
func (tb *testbed) callOnce(ctx context.Context, conn net.Conn, reader *bufio.Reader, v *vm, lastID *atomic.Int64, before idleConn) bool {
	first := tb.randomCall()
	calls := []keptCall{first}
	if first.ahead {
		calls = append(calls, tb.randomCall())
	}
	var attempts []attempt
	var err error
	for _, k := range calls {
		a := tb.newKeptAttempt(v, k, lastID)
		a.before = before
		if err == nil {
			err = a.write(ctx, conn, k)
		}
		a.sentAt = time.Now()
		attempts = append(attempts, a)
	}
	// A refusal may be sent before a request has been written.
	open := true
	for i, a := range attempts {
		a.afterClose = !open
		if i > 0 {
			a.behind = attempts[i-1].describe()
		}
		open = open && a.readAnswer(ctx, reader, calls[i])
		a.connectionLost = a.connectionLost || a.status == 0
		a.endedAt = time.Now()
		if ctx.Err() != nil {
			a.connectionLost = false
		}
		attempts[i] = a
		tb.ledger.recordAttempt(a)
	}
	return open
}

func (tb *testbed) newKeptAttempt(v *vm, k keptCall, lastID *atomic.Int64) attempt {
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
		padding:    k.padding,
		begunAt:    time.Now(),
	}
	if tb.OverlappingStops {
		a.key = lastingKey
		a.keyVersion = 0
	}
	if k.deadline > 0 {
		a.deadlineAt = a.begunAt.Add(k.deadline)
	}
	return a
}

// write sends an attempt's request, its body with a length or in chunks and in two halves.
func (a *attempt) write(ctx context.Context, conn net.Conn, k keptCall) error {
	body := strings.Repeat("b", 256)
	parts := []string{fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(body), body), body}
	if k.chunked {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		parts = []string{"Transfer-Encoding: chunked\r\n\r\n" + chunk, chunk + "0\r\n\r\n"}
	}
	deadline := ""
	if k.deadline > 0 {
		deadline = fmt.Sprintf("X-Fuchsianotch-Deadline-Ms: %d\r\n", k.deadline.Milliseconds())
	}
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s%s",
		a.target, attemptHeader, a.id, a.key, deadline, parts[0])
	if err != nil {
		return err
	}
	sleep(ctx, k.half)
	_, err = conn.Write([]byte(parts[1]))
	return err
}

// readAnswer reads the answer to an attempt and reports whether its connection stays open.
func (a *attempt) readAnswer(ctx context.Context, reader *bufio.Reader, k keptCall) bool {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	a.status = resp.StatusCode
	if k.readsSlowly {
		resp.Body = slowBody{
			ReadCloser: resp.Body,
			wait:       func() { sleep(ctx, slowReadPause) },
		}
	}
	(&client{}).checkResponse(a, resp)
	_ = resp.Body.Close()
	return !resp.Close && !a.connectionLost && a.failure == ""
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
	watched, unwatch := context.WithCancel(ctx)
	clients.Go(func() { tb.recordPeakMemory(watched) })
	sleep(ctx, 2*time.Second)
	end := time.Now().Add(tb.FaultDuration)
	for number := 1; time.Now().Before(end) && ctx.Err() == nil; number++ {
		d := faultParams{
			vm:      tb.rand.IntN(len(tb.vms)),
			variant: tb.rand.IntN(4),
			long:    time.Duration(200+tb.rand.IntN(2300)) * time.Millisecond,
		}
		if tb.OverlappingStops {
			d.long = time.Duration(300+tb.rand.IntN(2700)) * time.Millisecond
			if number%stopsInSeries == 0 {
				sleep(ctx, seriesPause)
			}
		}
		if tb.mayStop(tb.vms[d.vm]) {
			tb.logSchedule("stop %+v", d)
			stops.Go(func() { _ = tb.stopAndStart(ctx, d) })
			tb.disturbStop(ctx, d)
		}
		sleep(ctx, d.long)
	}
	stops.Wait()
	unwatch()
	endClients()
	clients.Wait()
	return nil
}

// disturbStop sends a second SIGTERM or a SIGHUP, pauses the process as a CPU quota does, or
// changes the configuration, while a VM stops.
func (tb *testbed) disturbStop(ctx context.Context, d faultParams) {
	v := tb.vms[d.vm]
	sleep(ctx, d.long/8)
	switch {
	case d.variant == 0:
		v.signal(syscall.SIGTERM)
	case d.variant == 1:
		_ = tb.reloadSettings(ctx, d)
	case d.variant == 2 && tb.OverlappingStops:
		d.vm = (d.vm + 1) % len(tb.vms)
		_ = tb.reloadSettings(ctx, d)
	case d.variant == 2:
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

// checkStopAnswers checks that a call which a VM has accepted gets a whole answer though VMs
// stop: one that was passed on, and one that did not cross the end of its connection; and that no
// idle connection ends while callers may still use it.
func (l *ledger) checkStopAnswers() (out []string) {
	for _, a := range l.attempts {
		if at := a.before.endArrivedAt; a.before.endedEarly() {
			for _, down := range l.vmDown[a.vm] {
				if down.contains(at) && at.Sub(down.from) < lateRequest {
					out = append(out, fmt.Sprintf("the idle connection of %s to %s ended %v after its SIGTERM", a.describe(), a.vm, at.Sub(down.from)))
				}
			}
		}
		if !a.kept || !a.connectionLost || l.isCutExcused(a) {
			continue
		}
		run := l.hasRun(a.id)
		if run || !a.afterClose && a.endedAt.Sub(a.sentAt) > lostSlack {
			out = append(out, fmt.Sprintf("%s got no whole answer from %s, run: %v, sent for %v, cut %v later; since SIGTERMs: %s; behind %s",
				a.describe(), a.vm, run, a.sentAt.Sub(a.begunAt), a.endedAt.Sub(a.sentAt), l.stopsAround(a), a.behind))
		}
	}
	return out
}

// isCutExcused reports whether a call may be cut off: its deadline was reached, or its replica
// was still at work in the last sixth of the time to stop and it was sent early.
func (l *ledger) isCutExcused(a attempt) bool {
	if !a.deadlineAt.IsZero() && !a.endedAt.Before(a.deadlineAt.Add(-deadlineSlack)) {
		return true
	}
	stoppedAt := l.stoppedAt(a)
	lastSixth := stoppedAt.Add(stopGracePeriod * 5 / 6)
	return !stoppedAt.IsZero() && a.sentAt.Sub(stoppedAt) <= lateRequest && !a.endedAt.Before(lastSixth) && !l.runEnds[a.id].Before(lastSixth)
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
	stops, served, refused, failed int
	// cut counts calls whose connection ended after they had begun to run or to be answered.
	cut int
	// afterEnd counts requests that were sent though the end of their connection had arrived,
	// behindClose those that were sent ahead of an answer that ended it, and unread all others
	// whose connection ended without an answer.
	afterEnd, behindClose, unread int
	// peakMB is the most memory of a VM.
	peakMB int
}

func (l *ledger) countStopCalls() (n stopCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, downs := range l.vmDown {
		n.stops += len(downs)
	}
	for _, mb := range l.peakMB {
		n.peakMB = max(n.peakMB, mb)
	}
	for _, a := range l.attempts {
		switch {
		case !l.sentToStopping(a):
		case a.complete:
			n.served++
		case a.reportedNotRun():
			n.refused++
		case !a.connectionLost && a.status > 0:
			n.failed++
		case !a.connectionLost:
		case a.status > 0 || l.hasRun(a.id):
			n.cut++
		case !a.before.endArrivedAt.IsZero():
			n.afterEnd++
		case a.afterClose:
			n.behindClose++
		}
	}
	n.unread = len(l.unreadCalls())
	return n
}

func (l *ledger) sentToStopping(a attempt) bool {
	return a.kept && slices.ContainsFunc(l.vmDown[a.vm], func(s interval) bool { return s.contains(a.sentAt) })
}

// unreadCalls returns the calls to stopping VMs that crossed the end of their connection. It
// requires l.mu.
func (l *ledger) unreadCalls() (out []attempt) {
	for _, a := range l.attempts {
		gotNothing := a.connectionLost && a.status == 0 && !l.hasRun(a.id)
		if gotNothing && l.sentToStopping(a) && a.before.endArrivedAt.IsZero() && !a.afterClose {
			out = append(out, a)
		}
	}
	return out
}

// describeUnreadCalls tells when each of unreadCalls was sent and its connection ended.
func (l *ledger) describeUnreadCalls() (lines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.unreadCalls() {
		stoppedAt := l.stoppedAt(a)
		lines = append(lines, fmt.Sprintf("%s to %s, sent %v to %v after SIGTERM, ended %v after; behind %s",
			a.describe(), a.vm, a.begunAt.Sub(stoppedAt), a.sentAt.Sub(stoppedAt), a.endedAt.Sub(stoppedAt), a.behind))
	}
	return lines
}
