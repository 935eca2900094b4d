package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	commentEvents = 30
	// commentReplicas is so large that one of them is within the share that crashes at once.
	commentReplicas = 6
	// commentAt is the event after which the first replica sends a comment.
	commentAt = 12
	// commentWarmUp is longer than RetryWindowS: a gateway that has just started doesn't repeat.
	commentWarmUp = 13 * time.Second
)

// comment has a replica send a comment line in a stream and crash soon after, and looks for
// events that the client gets twice.
func comment(b *bed, trouble bool) (bool, error) {
	b.publish(true, routeText{
		Name: "tourney-brief", PathPrefix: "/brief/", Kind: "streaming", TimeoutMs: 10000, SloMs: 1500,
		MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 800,
	})
	var armed, crashed atomic.Bool
	for i := range commentReplicas {
		id := fmt.Sprintf("i-%d", i+1)
		var r *replica
		var err error
		r, err = b.startReplica(id, zone, 64, func(c *replicaConn, q *request) error {
			r.begin(q)
			from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			b.logf("stream  replica %s: attempt %s after event %d", r.id, q.attempt, from)
			if _, err := io.WriteString(c, r.head(q)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
				return err
			}
			for i := from + 1; i <= commentEvents; i++ {
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(c, chunk(event(i))); err != nil {
					return err
				}
				if i != commentAt || from > 0 {
					continue
				}
				if _, err := io.WriteString(c, chunk(": keep-alive\n\n")); err != nil {
					return err
				}
				time.Sleep(20 * time.Millisecond)
				if armed.Load() && crashed.CompareAndSwap(false, true) {
					b.logf("crash   replica %s", r.id)
					r.crash()
					return io.ErrClosedPipe
				}
			}
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err
		})
		if err != nil {
			return false, err
		}
	}
	if err := b.startVMs(zone); err != nil {
		return false, err
	}
	c, err := dial(b.vms[0].front, 0)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	for end := time.Now().Add(commentWarmUp); time.Now().Before(end); {
		attempt := newAttempt()
		if _, _, err := c.do(http.MethodPost, "/brief/2f", attempt, promptHeaders(attempt, 600, 300), "prompt", 10*time.Second); err != nil {
			return false, err
		}
	}
	armed.Store(trouble)
	attempt := newAttempt()
	resp, body, err := c.do(http.MethodPost, "/brief/2f", attempt, promptHeaders(attempt, 600, 300), "prompt", 10*time.Second)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("the stream did not end: %v, %v", resp, err)
	}
	var ids []string
	repeated, last := 0, 0
	for line := range strings.Lines(string(body)) {
		text, ok := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !ok {
			continue
		}
		ids = append(ids, text)
		id, _ := strconv.Atoi(text)
		if id <= last {
			repeated++
		}
		last = max(last, id)
	}
	b.logf("client  attempt %s: status %d, whole stream, events %s", attempt, resp.StatusCode, strings.Join(ids, " "))
	b.logf("events that came again: %d", repeated)
	return repeated > 0, nil
}

func init() { cases["comment"] = comment }
