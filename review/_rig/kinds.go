package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["kinds"] = changedKind }

// Figures of changedKind.
const (
	// The operator adds a route every versionTime, up to lastVersion.
	lastVersion = 5
	versionTime = 1500 * time.Millisecond
	kindsPause  = 12 * time.Millisecond
	// turnedAwayTime is how long the machines are turned away before the first change, changeTime
	// how long after an acknowledgement the first request is sent.
	turnedAwayTime = 2 * time.Second
	changeTime     = 50 * time.Millisecond
)

// Figures of the shop's deployment.
const (
	shopDeadline = 4 * time.Second
	shopHost     = "shop.example"
	orderPrefix  = "/orders/"
	workTime     = 15 * time.Millisecond
	// errorOne has one of seven runs end with the replica's own 500, as the error_share of 0.14 in
	// the site files.
	errorOne = 7
	// usualTime is the time of usual traffic, longer than RetryWindowS.
	usualTime  = 12 * time.Second
	usualPause = 50 * time.Millisecond
)

// confirmPrefix is the path of the route that a version adds.
func confirmPrefix(version int) string { return fmt.Sprintf("%sconfirm-%d/", orderPrefix, version) }

// shopConfiguration has a route of requests that may be repeated and, from version 2 on, routes below
// it of requests that may run once, one more in each version.
func shopConfiguration(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": shopHost, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 4000, "SloMs": 1000,
			"Priority": 1, "Service": service, "MaxAttempts": attempts,
		}
	}
	routes := []map[string]any{route("orders", orderPrefix, "idempotent", "lookup", 2)}
	for v := 2; v <= version; v++ {
		routes = append(routes, route(fmt.Sprintf("confirm-%d", v), confirmPrefix(v), "non_idempotent", "booking", 1))
	}
	return map[string]any{
		"Version": version,
		"Routes":  routes,
		"Services": []map[string]any{
			{"Name": "lookup", "HealthPath": "/health", "MaxConns": 110},
			{"Name": "booking", "HealthPath": "/health", "MaxConns": 110},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	}
}

// changedKind has the store turn the machines of one region away and adds a route of requests that
// may run once. Clients of that region send such requests after the acknowledgement. The region's
// zone is evacuated, so that its machines send all requests to others.
func changedKind(t *trial) error {
	t.regions = []string{"east", "west", "north"}
	for region := range t.regions {
		for range 2 {
			for _, service := range []string{"lookup", "booking"} {
				o := replicaOptions{service: service, pieces: 3, pause: workTime}
				if service == "booking" {
					o.errorOne = errorOne
				}
				if _, err := t.addReplica(o, region); err != nil {
					return err
				}
			}
		}
	}
	if err := t.store.put("op/config", shopConfiguration(1)); err != nil {
		return err
	}
	if err := t.startVMs(2, 284); err != nil {
		return err
	}
	if err := t.store.put("op/evacuate/"+t.zone(0), map[string]any{}); err != nil {
		return err
	}
	if err := t.sendUsual(); err != nil {
		return err
	}
	east := t.vms[:2]
	if t.trouble {
		for _, v := range east {
			t.note("the store turns %s away", v.name)
			v.store.refuse()
		}
	}
	time.Sleep(turnedAwayTime)
	var sent []request
	var asked sync.WaitGroup
	for version := 2; version <= lastVersion; version++ {
		if err := t.store.put("op/config", shopConfiguration(version)); err != nil {
			return err
		}
		t.note("the store has acknowledged version %d", version)
		time.Sleep(changeTime)
		for end := time.Now().Add(versionTime); time.Now().Before(end); time.Sleep(kindsPause) {
			n := len(sent)
			r := confirmation(version, n)
			sent = append(sent, r)
			asked.Go(func() { t.ask(east[n%len(east)], r) })
		}
	}
	if t.trouble {
		for _, v := range east {
			v.store.allow()
			t.note("the store serves %s again", v.name)
		}
	}
	asked.Wait()
	time.Sleep(time.Second)
	t.checkOnce(sent, "booking")
	return nil
}

// confirmation is a request on the route that a version adds.
func confirmation(version, n int) request {
	return request{
		id:       fmt.Sprintf("%016x", 0xb0000+n),
		method:   "POST",
		path:     fmt.Sprintf("%s%d", confirmPrefix(version), n),
		body:     "{}",
		deadline: shopDeadline,
	}
}

// checkOnce checks that requests have run once at most at replicas of a service.
func (t *trial) checkOnce(sent []request, service string) {
	for _, r := range sent {
		if runs := t.runsOf(r.id, service); len(runs) > 1 {
			t.violate("TWICE: %s, which may run once, has run %d times", r.id, len(runs))
		}
	}
}

// sendUsual sends usual requests to all machines, and fails if one of the last is not served.
func (t *trial) sendUsual() error {
	for n, end := 0, time.Now().Add(usualTime); time.Now().Before(end); n++ {
		r := request{id: fmt.Sprintf("%016x", 0xa0000+n), method: "GET", path: orderPrefix + "list", deadline: shopDeadline}
		a := t.ask(t.vms[n%len(t.vms)], r)
		if a.status >= 500 && time.Until(end) < time.Second && a.stamp == "" {
			return fmt.Errorf("status %d on a calm system", a.status)
		}
		time.Sleep(usualPause)
	}
	return nil
}

// ask sends a request on a connection of its own and returns the answer, empty if there is none.
func (t *trial) ask(v *vm, r request) answer {
	c, err := t.dial(v.front(), shopHost)
	if err != nil {
		return answer{}
	}
	defer func() { _ = c.conn.Close() }()
	if c.send(r) != nil {
		return answer{}
	}
	a, err := c.receive(r, r.deadline)
	if err != nil {
		return answer{}
	}
	return a
}
