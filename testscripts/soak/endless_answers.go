package main

import (
	"context"
	// For the answers without end.
	_ "embed"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

// maxMemoryRatio is the part of its memory that a VM may hold. The rest is for the system.
const maxMemoryRatio = 0.8

var enginePaths = []string{"/stream/resume/x", "/stream/once/x"}

//go:embed testdata/endless_answers.json
var endlessAnswerData []byte

// namedAnswer is an answer without end.
type namedAnswer struct {
	Name string
	replica.EndlessAnswer
}

func endlessAnswers() (answers []namedAnswer) {
	if err := json.Unmarshal(endlessAnswerData, &answers); err != nil {
		panic(fmt.Sprintf("endless_answers.json: %v", err))
	}
	return answers
}

func endlessNames() (names []string) {
	for _, a := range endlessAnswers() {
		names = append(names, a.Name)
	}
	return names
}

// endlessAnswer returns what every second engine answers; nil for answers that end.
func (tb *testbed) endlessAnswer(id, service string) *replica.EndlessAnswer {
	number, _ := strconv.Atoi(strings.TrimPrefix(id, "i-"))
	if tb.EndlessAnswers == "" || service != serviceEngine || number%2 == 0 {
		return nil
	}
	for _, a := range endlessAnswers() {
		if a.Name == tb.EndlessAnswers {
			return &a.EndlessAnswer
		}
	}
	return nil
}

// runEndlessAnswers has clients call engines of which half send answers without end. No VM may
// come near its memory, and calls of other services must be served.
func runEndlessAnswers(ctx context.Context, tb *testbed, l *loadGenerator) (out []Violation) {
	sleep(ctx, settleTime)
	watched, stop := context.WithTimeout(ctx, tb.FaultDuration)
	defer stop()
	var group sync.WaitGroup
	for i := range tb.EndlessClients {
		c := tb.newClient(regionName(i%tb.Regions), &l.lastID)
		c.enginesOnly = true
		group.Go(func() { c.run(watched) })
	}
	from := time.Now()
	tb.ledger.recordDisturbance(from)
	out = tb.watchMemory(watched, int(float64(tb.MemoryMB)*maxMemoryRatio))
	group.Wait()
	tb.ledger.recordDisturbance(time.Now())
	for _, service := range []string{servicePlain, serviceEngine} {
		served, sent := tb.ledger.servedOf(service, from, time.Now().Add(-clientDeadline))
		tb.logSchedule("%s: %.4f of %d calls were served", service, served, sent)
		if service == servicePlain && served < minRecoveredShare {
			out = append(out, Violation{
				Check:  "recovery",
				Detail: fmt.Sprintf("%.4f of %d calls of another service were served", served, sent),
			})
		}
	}
	return out
}

// servedOf returns the number of attempts of a service sent between from and to that expect to be
// served, and the share of them that got complete responses.
func (l *ledger) servedOf(service string, from, to time.Time) (share float64, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	complete := 0
	for _, a := range l.attempts {
		if a.service != service || !a.expectServed || a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		sent++
		if a.complete {
			complete++
		}
	}
	return float64(complete) / float64(max(sent, 1)), sent
}
