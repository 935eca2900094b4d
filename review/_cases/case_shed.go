package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shedSlots    = 6
	shedReplicas = 10
	shedFaulty   = 6
	shedClients  = 24
	// shedShare is the share of requests that the replicas shed, as they do when they are full.
	shedShare = 0.1
	// shedThink is the mean pause of a client between two requests.
	shedThink = 120 * time.Millisecond
	shedFor   = 24 * time.Second
	// The trouble begins once the gateways have been up for RetryWindowS, and lasts as long as in
	// the site file.
	spoilFrom = 14 * time.Second
	spoilFor  = 5 * time.Second
	shedWork  = 60 * time.Millisecond
	// spoiledShare is the share of answers that the faulty replicas send twice.
	spoiledShare = 0.03
)

// shedTwice has some replicas send a small part of their answers twice, the second copy
// late. All replicas shed a part of the requests. It looks for requests of a
// non-idempotent route that run twice.
func shedTwice(b *bed, trouble bool) (bool, error) {
	b.publish(false, routeText{
		Name: "tee-confirm", PathPrefix: "/confirm/", Kind: "non_idempotent", TimeoutMs: 4000, SloMs: 400, MaxAttempts: 1,
	})
	var answers, shed, copies atomic.Int64
	var spoils atomic.Bool
	for i := range shedReplicas {
		id := fmt.Sprintf("i-%d", i+1)
		var r *replica
		faulty := trouble && i < shedFaulty
		serve := func(c *replicaConn, q *request) error {
			answeredLate := c.late != ""
			if answeredLate {
				late := c.late
				c.late = ""
				b.logf("copy    replica %s: the second copy of an earlier refusal arrives before attempt %s is answered", r.id, q.attempt)
				if _, err := c.Write([]byte(late)); err != nil {
					return err
				}
			}
			full := !answeredLate && rand.Float64() < shedShare
			if faulty && spoils.Load() {
				answers.Add(1)
			}
			if full {
				shed.Add(1)
				if faulty && spoils.Load() && float64(copies.Load()+1) <= spoiledShare*float64(answers.Load()) {
					copies.Add(1)
					c.late = shedAnswer
				}
				_, err := c.Write([]byte(shedAnswer))
				return err
			}
			r.begin(q)
			time.Sleep(shedWork)
			return r.reply(c, q, "confirmed "+q.attempt)
		}
		var err error
		if r, err = b.startReplica(id, zone, shedSlots, serve); err != nil {
			return false, err
		}
	}
	if err := b.startVMs(zone, zone); err != nil {
		return false, err
	}
	time.AfterFunc(spoilFrom, func() { spoils.Store(true) })
	time.AfterFunc(spoilFrom+spoilFor, func() { spoils.Store(false) })
	attempts, failures := b.pressClients(shedClients, shedFor)
	twice, falselyRefused := 0, 0
	for attempt, status := range attempts {
		runs := b.runsOf(attempt)
		if len(runs) > 1 {
			twice++
			b.logf("TWICE   attempt %s ran %d times, on %s and %s; the client got %d", attempt, len(runs), runs[0].replica, runs[1].replica, status)
		}
		if len(runs) > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			falselyRefused++
			b.logf("REFUSED attempt %s ran on %s; the client got %d", attempt, runs[0].replica, status)
		}
	}
	b.logf("sent %d requests, %d without an answer; the faulty replicas gave %d answers in the time of trouble, %d of them twice; refusals by all replicas: %d",
		len(attempts), failures, answers.Load(), copies.Load(), shed.Load())
	b.logf("ran twice: %d; refused although they ran: %d", twice, falselyRefused)
	return twice+falselyRefused > 0, nil
}

// pressClients has clients send requests one after the other on kept connections, and returns
// the status by attempt; zero for none.
func (b *bed) pressClients(clients int, duration time.Duration) (attempts map[string]int, failures int) {
	attempts = make(map[string]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range clients {
		front := b.vms[i%len(b.vms)].front
		group.Go(func() {
			var c *client
			for time.Now().Before(end) {
				var err error
				if c == nil {
					if c, err = dial(front, 0); err != nil {
						return
					}
				}
				attempt := newAttempt()
				status := 0
				resp, _, err := c.do(http.MethodPost, "/confirm/2f", attempt, "", "tee time", 4*time.Second)
				if err == nil {
					status = resp.StatusCode
				}
				mu.Lock()
				attempts[attempt] = status
				if err != nil {
					failures++
				}
				mu.Unlock()
				b.logf("client  attempt %s: %d", attempt, status)
				time.Sleep(rand.N(2*shedThink) + retryAfter(resp))
				if err != nil || resp.Close {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	group.Wait()
	return attempts, failures
}

func init() { cases["shed-twice"] = shedTwice }
