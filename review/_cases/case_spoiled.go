package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents   = 30
	streamReplicas = 6
	// faultyStreamReplicas are within the share of the site file.
	faultyStreamReplicas = 3
	streamClients        = 24
	// The trouble begins once the gateways have been up for RetryWindowS, as they don't repeat
	// before, and lasts as long as in the site file.
	streamSpoilFrom = 12 * time.Second
	streamSpoilFor  = 5 * time.Second
	// spoiledAt is the event that a faulty replica spoils before it breaks off.
	spoiledAt = 13
)

func init() { cases["spoiled-event"] = spoiledEvent }

// spoiledEvent has some replicas spoil an event of a small part of their streams and break off.
// It looks for events that clients get twice.
func spoiledEvent(b *bed, trouble bool) (bool, error) {
	b.publish(true, routeText{
		Name: "tourney-brief", PathPrefix: "/brief/", Kind: "streaming", TimeoutMs: 10000, SloMs: 1500,
		MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 800,
	})
	var spoils atomic.Bool
	var answers, spoiled atomic.Int64
	for i := range streamReplicas {
		var r *replica
		faulty := trouble && i < faultyStreamReplicas
		mayspoil := func() bool {
			if !faulty || !spoils.Load() {
				return false
			}
			if float64(spoiled.Load()+1) > spoiledShare*float64(answers.Add(1)) {
				return false
			}
			spoiled.Add(1)
			return true
		}
		var err error
		if r, err = b.startReplica(fmt.Sprintf("i-%d", i+1), zone, 64, func(c *replicaConn, q *request) error {
			return r.streamSpoiled(c, q, mayspoil())
		}); err != nil {
			return false, err
		}
	}
	if err := b.startVMs(zone, zone); err != nil {
		return false, err
	}
	time.AfterFunc(streamSpoilFrom, func() { spoils.Store(true) })
	time.AfterFunc(streamSpoilFrom+streamSpoilFor, func() { spoils.Store(false) })
	end := time.Now().Add(streamSpoilFrom + streamSpoilFor)
	var streams, cut, repeated atomic.Int64
	var group sync.WaitGroup
	for i := range streamClients {
		front := b.vms[i%len(b.vms)].front
		group.Go(func() {
			for time.Now().Before(end) {
				c, err := dial(front, 0)
				if err != nil {
					return
				}
				attempt := newAttempt()
				resp, body, err := c.do(http.MethodPost, "/brief/2f", attempt, promptHeaders(attempt, 600, 300), "prompt", 10*time.Second)
				_ = c.Close()
				if resp == nil || resp.StatusCode != http.StatusOK {
					b.logf("client  attempt %s: %v, %v", attempt, resp, err)
					time.Sleep(retryAfter(resp))
					continue
				}
				streams.Add(1)
				if err != nil {
					cut.Add(1)
				}
				ids, again := eventIDs(body)
				repeated.Add(int64(again))
				if again > 0 || err != nil {
					b.logf("client  attempt %s: error %v, events %s", attempt, err, strings.Join(ids, " "))
				}
			}
		})
	}
	group.Wait()
	b.logf("%d streams, %d of them cut off; the faulty replicas spoiled %d of %d in the time of trouble; events that came again: %d",
		streams.Load(), cut.Load(), spoiled.Load(), answers.Load(), repeated.Load())
	return repeated.Load() > 0, nil
}

// streamSpoiled answers with a stream that goes on after the event that the request names. If
// spoil is set, it spoils the id of an event and resets the connection.
func (r *replica) streamSpoiled(c *replicaConn, q *request, spoil bool) error {
	r.begin(q)
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if from > 0 {
		r.bed.logf("stream  replica %s: attempt %s goes on after event %d", r.id, q.attempt, from)
	}
	if _, err := io.WriteString(c, r.head(q)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for i := from + 1; i <= streamEvents; i++ {
		time.Sleep(20 * time.Millisecond)
		data := event(i)
		if spoil && i == spoiledAt {
			data = strings.Replace(data, "id: ", "\x96\x9b\xc5 ", 1)
		}
		if _, err := io.WriteString(c, chunk(data)); err != nil {
			return err
		}
		if spoil && i == spoiledAt {
			r.bed.logf("spoiled replica %s: attempt %s, event %d, and breaks off", r.id, q.attempt, i)
			time.Sleep(20 * time.Millisecond)
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			return io.ErrClosedPipe
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// eventIDs returns the ids of the events in a stream and how many don't follow the one before.
func eventIDs(body []byte) (ids []string, again int) {
	last := 0
	for line := range strings.Lines(string(body)) {
		text, ok := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !ok {
			continue
		}
		ids = append(ids, text)
		id, _ := strconv.Atoi(text)
		if id <= last {
			again++
		}
		last = max(last, id)
	}
	return ids, again
}
