package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = rollingStop }

// Figures of rollingStop. Each machine is told to stop rollGap after the one before, those of the
// region that runs the streams first.
const (
	rollStreams  = 12
	rollEvents   = 80
	rollEvery    = 100 * time.Millisecond
	rollGap      = time.Second
	rollLead     = 200 * time.Millisecond
	rollDeadline = 10 * time.Second
	chatPrefix   = "/chat/"
	graceTime    = 8 * time.Second
)

// chatConfiguration has one route of streams that can't be resumed.
func chatConfiguration() map[string]any {
	return map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "chat", "Host": shopHost, "PathPrefix": chatPrefix, "Kind": "streaming", "TimeoutMs": rollDeadline.Milliseconds(),
			"SloMs": 1000, "GapTargetMs": 800, "Priority": 1, "Service": "model", "MaxAttempts": 1, "Resumable": false, "Sticky": true,
		}},
		"Services": []map[string]any{{
			"Name": "model", "HealthPath": "/health", "MaxConns": 370, "ColdS": 3, "ColdPerS": 1.8,
			"Engine": map[string]any{"Slots": 64, "KvCapacity": 300000, "Stride": 9},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	}
}

// rollingStop stops all machines one after the other. Streams that machines of one region have sent to
// the other are under way.
func rollingStop(t *trial) error {
	t.regions = []string{"east", "west"}
	for region := range t.regions {
		for range 2 {
			if _, err := t.addReplica(replicaOptions{service: "model", pieces: rollEvents, pause: rollEvery, stream: true}, region); err != nil {
				return err
			}
		}
	}
	if err := t.store.put("op/config", chatConfiguration()); err != nil {
		return err
	}
	if err := t.startVMs(2, 284); err != nil {
		return err
	}
	if err := t.store.put("op/evacuate/"+t.zone(0), map[string]any{}); err != nil {
		return err
	}
	time.Sleep(t.contact)
	east, west := t.vms[:2], t.vms[2:]
	stoppedAt := map[*vm]time.Time{}
	var mu sync.Mutex
	var asked sync.WaitGroup
	for n := range rollStreams {
		asked.Go(func() {
			v := east[n%len(east)]
			end, ok := t.readStream(v, n)
			mu.Lock()
			defer mu.Unlock()
			after := end.Sub(stoppedAt[v])
			if !ok && !stoppedAt[v].IsZero() && after > 0 && after < graceTime-graceTime/6 {
				t.violate("LOST: stream %d broke off %d ms after the SIGTERM of %s, which had it from its client", n, after.Milliseconds(), v.name)
			}
		})
	}
	time.Sleep(rollLead)
	if t.trouble {
		for _, v := range append(west, east...) {
			mu.Lock()
			t.signal(v, syscall.SIGTERM)
			stoppedAt[v] = time.Now()
			mu.Unlock()
			go t.startAgain(v)
			time.Sleep(rollGap)
		}
	}
	asked.Wait()
	if t.runCount() < rollStreams {
		return errors.New("streams have not begun")
	}
	return nil
}

// startAgain starts a machine's process once it has ended, as the platform does; it kills it after
// GraceS.
func (t *trial) startAgain(v *vm) {
	select {
	case <-v.exited:
	case <-time.After(graceTime):
		_ = v.process.Kill()
		<-v.exited
	case <-t.stopped:
		return
	}
	t.note("%s has ended", v.name)
	if err := t.startVM(v); err != nil {
		t.note("%s has not started again: %v", v.name, err)
	}
}

// readStream asks for a stream and returns when it ended, and whether it is whole.
func (t *trial) readStream(v *vm, n int) (end time.Time, ok bool) {
	r := request{id: fmt.Sprintf("%016x", 0xd0000+n), method: "POST", path: fmt.Sprintf("%s%d", chatPrefix, n), body: "{}", deadline: rollDeadline}
	a := t.ask(v, r)
	return time.Now(), a.whole && strings.Count(a.body, "data: ") == rollEvents
}
