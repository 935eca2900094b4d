package load

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

const askWithin = 10 * time.Second

// Names of the VMs' counters.
const (
	counterSentAway     = "fuchsianotch_sent_away_total"
	counterForwards     = "fuchsianotch_forwards_total"
	counterRetries      = "fuchsianotch_retries_total"
	counterControlBytes = "fuchsianotch_control_bytes_total"
)

// Measure sends the run between two counts of the endpoints and VMs, and adds
// what they counted in between. A VM or endpoint that does not answer counts
// nothing, so a process that ends in the run is missing.
func (r *Run) Measure(ctx context.Context) *Record {
	before := r.ask(ctx)
	record := r.Send(ctx)
	after := r.ask(ctx)
	r.addEndpoints(record, before, after)
	r.addVMs(record, before, after)
	r.addRuns(record, after)
	return record
}

// counts is what all endpoints and VMs counted up to a moment.
type counts struct {
	endpoints []*fault.Report
	vms       []VMCount
}

func (r *Run) ask(ctx context.Context) counts {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	var c counts
	for _, e := range r.options.Targets.Endpoints {
		report := &fault.Report{}
		if body, err := get(ctx, e.Addr, "/admin/runs"); err == nil {
			_ = json.Unmarshal(body, report)
		}
		c.endpoints = append(c.endpoints, report)
	}
	for _, addr := range r.options.Targets.Operators {
		body, err := get(ctx, addr, "/metrics")
		if err != nil {
			body = nil
		}
		c.vms = append(c.vms, VMCount{
			SentAway:     int(SumCounter(string(body), counterSentAway)),
			Forwards:     int(SumCounter(string(body), counterForwards)),
			Retries:      int(SumCounter(string(body), counterRetries)),
			ControlBytes: int(SumCounter(string(body), counterControlBytes)),
		})
	}
	return c
}

func get(ctx context.Context, addr, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get %s: status %d", path, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

// SumCounter sums all series of one counter in the text format of metrics.
func SumCounter(text, name string) float64 {
	sum := 0.0
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), name)
		if !ok || rest == "" || rest[0] != '{' && rest[0] != ' ' {
			continue
		}
		value, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
		if err == nil {
			sum += value
		}
	}
	return sum
}

func (r *Run) addEndpoints(record *Record, before, after counts) {
	byRegion := make(map[string]*RegionCount)
	for i, e := range r.options.Targets.Endpoints {
		if e.Service {
			continue
		}
		c, ok := byRegion[e.Region]
		if !ok {
			c = &RegionCount{
				Region: e.Region,
			}
			byRegion[e.Region] = c
		}
		c.add(before.endpoints[i], after.endpoints[i])
	}
	for _, c := range byRegion {
		record.Endpoints = append(record.Endpoints, *c)
	}
	slices.SortFunc(record.Endpoints, func(a, b RegionCount) int { return cmp.Compare(a.Region, b.Region) })
}

func (c *RegionCount) add(before, after *fault.Report) {
	c.Runs += max(after.Total-before.Total, 0)
	c.ColdPrefills += max(after.ColdPrefills-before.ColdPrefills, 0)
	c.PromptTokens += max(after.PromptTokens-before.PromptTokens, 0)
	c.CachedTokens += max(after.CachedTokens-before.CachedTokens, 0)
	c.GeneratedTokens += max(after.GeneratedTokens-before.GeneratedTokens, 0)
}

func (r *Run) addVMs(record *Record, before, after counts) {
	for i := range after.vms {
		record.VMs.SentAway += max(after.vms[i].SentAway-before.vms[i].SentAway, 0)
		record.VMs.Forwards += max(after.vms[i].Forwards-before.vms[i].Forwards, 0)
		record.VMs.Retries += max(after.vms[i].Retries-before.vms[i].Retries, 0)
		record.VMs.ControlBytes += max(after.vms[i].ControlBytes-before.vms[i].ControlBytes, 0)
	}
	if n := len(r.arrivals); n > 0 {
		record.SentAwayShare = float64(record.VMs.SentAway) / float64(n)
	}
}

func (r *Run) addRuns(record *Record, after counts) {
	runs := make(map[string]int)
	for i, e := range r.options.Targets.Endpoints {
		if !e.Service {
			continue
		}
		for operation, n := range after.endpoints[i].Runs {
			runs[operation] += n
		}
	}
	for _, b := range r.tally.booked {
		record.Runs.add(b, runs[b.operation])
	}
}

func (r *Runs) add(b booked, runs int) {
	r.Operations++
	switch {
	case runs > 1:
		r.Doubled++
	case runs > 0 && b.class == result.ClassNotRun:
		r.RanNotRun++
	case runs == 0 && b.class == result.ClassDone:
		r.Lost++
	}
}
