package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyBytes is MaxBodyBytes of the configuration.
	bodyBytes     = 4 << 20
	bodiesClients = 32
	bodiesFor     = 20 * time.Second
	bodiesWork    = 1500 * time.Millisecond
	// evacuateAt is when the zone is evacuated, after the start of the traffic.
	evacuateAt = 6 * time.Second
	// memoryCheck is how often the platform reads the memory of a process.
	memoryCheck = 10 * time.Millisecond
)

// bodies has clients send bodies of the largest size. Their zone is evacuated, so that their
// machine sends the requests on to another region. The platform kills a process that exceeds
// its memory. It looks for requests that are lost with such a process.
func bodies(b *bed, trouble bool) (bool, error) {
	b.publish(true, routeText{
		Name: "scan", PathPrefix: "/scan/", Kind: "idempotent", TimeoutMs: 10000, SloMs: 5000, MaxAttempts: 2,
	})
	for i, ownZone := range []string{zone, zone, otherZone, otherZone} {
		var r *replica
		var err error
		if r, err = b.startReplica(fmt.Sprintf("i-%d", i+1), ownZone, 64, func(c *replicaConn, q *request) error {
			r.begin(q)
			time.Sleep(bodiesWork)
			return r.reply(c, q, "read")
		}); err != nil {
			return false, err
		}
	}
	if err := b.startVMs(zone, otherZone); err != nil {
		return false, err
	}
	var killed atomic.Bool
	highest := make([]float64, len(b.vms))
	var watchers sync.WaitGroup
	for i, v := range b.vms {
		watchers.Go(func() {
			for b.ctx.Err() == nil && !killed.Load() {
				mb := v.rssMB()
				highest[i] = max(highest[i], mb)
				if mb > memoryMB {
					killed.Store(true)
					b.logf("platform %s holds %.0f MB of %d and is killed", v.name, mb, memoryMB)
					v.kill()
				}
				time.Sleep(memoryCheck)
			}
		})
	}
	if trouble {
		time.AfterFunc(evacuateAt, func() {
			b.logf("operator evacuates %s", zone)
			b.store.put("op/evacuate/"+zone, map[string]any{})
		})
	}
	body := strings.Repeat("b", bodyBytes)
	var lost, served, other atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(bodiesFor)
	for range bodiesClients {
		group.Go(func() {
			var c *client
			for time.Now().Before(end) && !killed.Load() {
				var err error
				if c == nil {
					if c, err = dial(b.vms[0].front, 0); err != nil {
						return
					}
				}
				attempt := newAttempt()
				resp, _, err := c.do(http.MethodPost, "/scan/2f", attempt, promptHeaders(attempt, 600, 30), body, 10*time.Second)
				switch {
				case err == nil && resp.StatusCode == http.StatusOK:
					served.Add(1)
					continue
				case err == nil:
					other.Add(1)
					b.logf("client  attempt %s: %d", attempt, resp.StatusCode)
				case len(b.runsOf(attempt)) > 0:
					lost.Add(1)
					b.logf("client  attempt %s: passed on, no answer: %v", attempt, err)
				default:
					b.logf("client  attempt %s: not passed on, no answer: %v", attempt, err)
				}
				_ = c.Close()
				c = nil
				time.Sleep(200*time.Millisecond + retryAfter(resp))
			}
		})
	}
	group.Wait()
	b.stopped()
	watchers.Wait()
	b.logf("%d clients; most memory %.0f MB; served %d, other answers %d, passed on to a sound replica and without an answer %d (the rule allows 3); killed for its memory: %v",
		bodiesClients, highest, served.Load(), other.Load(), lost.Load(), killed.Load())
	return killed.Load() && lost.Load() > 3, nil
}

func init() { cases["bodies"] = bodies }
