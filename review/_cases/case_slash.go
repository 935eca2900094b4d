package main

import (
	"net/http"
	"time"
)

// doubleSlash sends requests whose path begins with two slashes, and looks for requests that
// reach a replica with another path.
func doubleSlash(b *bed, trouble bool) (bool, error) {
	b.publish(false, routeText{
		Name: "all", PathPrefix: "/", Kind: "idempotent", TimeoutMs: 4000, SloMs: 400, MaxAttempts: 2,
	})
	var r *replica
	r, err := b.startReplica("i-one", zone, 6, func(c *replicaConn, q *request) error {
		r.begin(q)
		return r.reply(c, q, q.RequestURI)
	})
	if err != nil {
		return false, err
	}
	if err := b.startVMs(zone); err != nil {
		return false, err
	}
	target := "/members/2f?week=49"
	if trouble {
		target = "//members/2f?week=49"
	}
	c, err := dial(b.vms[0].front, 0)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	changed := 0
	for range 5 {
		attempt := newAttempt()
		resp, _, err := c.do(http.MethodGet, target, attempt, "", "", 4*time.Second)
		if err != nil {
			return false, err
		}
		b.logf("client  attempt %s: GET %s got %d", attempt, target, resp.StatusCode)
		for _, run := range b.runsOf(attempt) {
			if run.target != target {
				changed++
				b.logf("UNASKED attempt %s was sent as GET %s and ran as GET %s", attempt, target, run.target)
			}
		}
	}
	b.logf("requests that ran with another path: %d", changed)
	return changed > 0, nil
}

func init() { cases["double-slash"] = doubleSlash }
