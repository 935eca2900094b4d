package main

import (
	"syscall"
	"time"
)

func init() { cases["stale"] = staleMachine }

// Figures of staleMachine. staleFreeze is that of node_freeze in the site files, staleConfig the
// ConfigMs of the settings.
const (
	staleFreeze   = 4 * time.Second
	staleRequests = 400
	// All machines stand still one after the other.
	staleRounds  = 4
	staleRest    = 3 * time.Second
	staleConfig  = 3 * time.Second
	staleContact = 5 * time.Second
	// staleMargin is how long after ConfigMs the requests are sent.
	staleMargin = 300 * time.Millisecond
)

// staleMachine has a machine stand still while the operator adds a route of requests that may run
// once. Clients send such requests to it later than ConfigMs after the acknowledgement.
func staleMachine(t *trial) error {
	t.regions = []string{"east", "west"}
	t.contact, t.config = staleContact, staleConfig
	for n := range 4 {
		o := replicaOptions{service: "lookup", pieces: 3, pause: workTime, errorOne: errorOne}
		if _, err := t.addReplica(o, n%2); err != nil {
			return err
		}
	}
	if err := t.store.put("op/config", nestedConfiguration(1)); err != nil {
		return err
	}
	if err := t.startVMs(2, 284); err != nil {
		return err
	}
	if err := t.sendUsual(); err != nil {
		return err
	}
	for round := range staleRounds {
		if err := staleRound(t, t.vms[round], 2+round); err != nil {
			return err
		}
	}
	return nil
}

// staleRound has one machine stand still while the operator publishes a version.
func staleRound(t *trial, frozen *vm, version int) error {
	var clients []*client
	for range staleRequests {
		c, err := t.dial(frozen.front(), shopHost)
		if err != nil {
			return err
		}
		defer func() { _ = c.conn.Close() }()
		clients = append(clients, c)
	}
	time.Sleep(100 * time.Millisecond)
	if t.trouble {
		t.signal(frozen, syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	if err := t.store.put("op/config", nestedConfiguration(version)); err != nil {
		return err
	}
	t.note("the store has acknowledged version %d", version)
	time.Sleep(time.Until(frozenAt.Add(staleConfig + staleMargin)))
	var sent []request
	for n, c := range clients {
		r := confirmation(version, version*staleRequests+n)
		if err := c.send(r); err != nil {
			return err
		}
		sent = append(sent, r)
	}
	time.Sleep(time.Until(frozenAt.Add(staleFreeze)))
	if t.trouble {
		t.signal(frozen, syscall.SIGCONT)
	}
	for n, c := range clients {
		_, _ = c.receive(sent[n], shopDeadline)
	}
	time.Sleep(staleRest)
	t.checkOnce(sent, "lookup")
	return nil
}

// nestedConfiguration is shopConfiguration with one service.
func nestedConfiguration(version int) map[string]any {
	c := shopConfiguration(version)
	routes, _ := c["Routes"].([]map[string]any)
	for _, r := range routes {
		r["Service"] = "lookup"
	}
	c["Services"] = []map[string]any{{"Name": "lookup", "HealthPath": "/health", "MaxConns": 400}}
	return c
}
