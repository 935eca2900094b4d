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

const counterReadTimeout = 10 * time.Second

// Counters that a VM exports.
const (
	counterSentAway     = "fuchsianotch_sent_away_total"
	counterForwards     = "fuchsianotch_forwards_total"
	counterRetries      = "fuchsianotch_retries_total"
	counterControlBytes = "fuchsianotch_control_bytes_total"
)

// Measure reads the counters of endpoints and VMs before and after Send, and
// adds the differences to the record. An endpoint or VM that cannot be read
// counts as zero, so a process that ends during the run is missing.
func (r *Run) Measure(ctx context.Context) *Record {
	before := r.readCounters(ctx)
	record := r.Send(ctx)
	after := r.readCounters(ctx)
	r.addEndpointCounts(record, before, after)
	r.addVMCounts(record, before, after)
	r.addOperationRuns(record, after)
	return record
}

// counterSnapshot holds the counters of all endpoints and VMs at one time.
type counterSnapshot struct {
	endpoints []*fault.Report
	vms       []VMCount
}

func (r *Run) readCounters(ctx context.Context) counterSnapshot {
	ctx, cancel := context.WithTimeout(ctx, counterReadTimeout)
	defer cancel()
	var c counterSnapshot
	for _, e := range r.options.Targets.Endpoints {
		report := &fault.Report{}
		if body, err := httpGet(ctx, e.Addr, "/admin/runs"); err == nil {
			_ = json.Unmarshal(body, report)
		}
		c.endpoints = append(c.endpoints, report)
	}
	for _, addr := range r.options.Targets.Operators {
		body, err := httpGet(ctx, addr, "/metrics")
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

func httpGet(ctx context.Context, addr, path string) ([]byte, error) {
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

// SumCounter sums all series of a counter in the Prometheus text format.
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

func (r *Run) addEndpointCounts(record *Record, before, after counterSnapshot) {
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

func (r *Run) addVMCounts(record *Record, before, after counterSnapshot) {
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

func (r *Run) addOperationRuns(record *Record, after counterSnapshot) {
	runs := make(map[string]int)
	for i, e := range r.options.Targets.Endpoints {
		if !e.Service {
			continue
		}
		for operation, n := range after.endpoints[i].Runs {
			runs[operation] += n
		}
	}
	for _, b := range r.collector.nonIdempotent {
		record.Runs.add(b, runs[b.operation])
	}
}

func (r *Runs) add(b operationOutcome, runs int) {
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
