package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["reborn"] = rebornReplica }

// Figures of rebornReplica.
const (
	rebornRounds   = 8
	rebornReplicas = 6
	rebornPieces   = 12
	rebornPause    = 100 * time.Millisecond
	rebornDeadline = 4 * time.Second
	// cutAfter is when a replica is cut off from all machines, cutTime for how long. Meanwhile it
	// crashes and starts again.
	cutAfter   = 300 * time.Millisecond
	cutTime    = 1300 * time.Millisecond
	crashAfter = 400 * time.Millisecond
	downTime   = 500 * time.Millisecond
)

// rebornReplica has a replica cut off from all machines for a moment, behind which it crashes and
// starts again under its id. Its answers have no length and end with their connections.
func rebornReplica(t *trial) error {
	t.regions = []string{"east"}
	for range rebornReplicas {
		if _, err := t.addReplica(replicaOptions{service: "lookup", pieces: rebornPieces, pause: rebornPause, unframed: true}, 0); err != nil {
			return err
		}
	}
	if err := t.store.put("op/config", shopConfiguration(1)); err != nil {
		return err
	}
	if err := t.startVMs(2, 284); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for n := range rebornRounds {
		if err := rebornRound(t, n); err != nil {
			return err
		}
	}
	return nil
}

func rebornRound(t *trial, n int) error {
	r := request{id: fmt.Sprintf("%016x", 0xc0000+n), method: "GET", path: orderPrefix + "list", deadline: rebornDeadline}
	c, err := t.dial(t.vms[n%len(t.vms)].front(), shopHost)
	if err != nil {
		return err
	}
	defer func() { _ = c.conn.Close() }()
	if err := c.send(r); err != nil {
		return err
	}
	time.Sleep(cutAfter)
	if m := t.runnerOf(r.id); m != nil && t.trouble {
		t.note("replica %s is cut off", m.id)
		m.link.cut()
		time.Sleep(crashAfter)
		m.crash()
		t.note("replica %s has crashed behind the cut", m.id)
		time.Sleep(downTime)
		if err := t.startReplica(m); err != nil {
			return err
		}
		t.note("replica %s has started again", m.id)
		time.Sleep(cutTime - crashAfter - downTime)
		m.link.heal()
		t.note("the cut has healed")
	}
	a, err := c.receive(r, rebornDeadline)
	if err == nil && a.status == 200 && a.whole && a.body != wholeBody(r.id, rebornPieces) {
		t.violate("MIXED: the client of %s has a success with %d of %d pieces", r.id, strings.Count(a.body, "["), rebornPieces)
	}
	time.Sleep(time.Second)
	return nil
}

// runnerOf returns the replica that runs an attempt.
func (t *trial) runnerOf(attempt string) *member {
	for _, m := range t.members {
		if runs := t.runsOf(attempt, ""); len(runs) > 0 && strings.Contains(runs[0], " replica "+m.id+":") {
			return m
		}
	}
	return nil
}
