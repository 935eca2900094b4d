package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// runsTimeout bounds a question for the runs of an engine.
	runsTimeout = 300 * time.Millisecond
	// maxInterruptedEngines bounds the engines of a service that a VM asks for their runs. In
	// larger regions each asks some at random, so that VMs that start together cover them.
	maxInterruptedEngines = 8
)

// findInterrupted records the origins of the streams that engines still work on as this VM starts.
// They were begun by VMs that may all be lost, and engines drop them once the connections of
// these VMs are reset, so that it asks as soon as it knows the engines.
func (s *streams) findInterrupted(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-s.node.evidence.contentsKnown:
	}
	// The contents are in force once the control goroutine takes the next command. The only error is
	// the end of the context.
	services, _ := query(ctx, s.node.control, func(c *control, _ time.Time) []string { return c.discovery.Services() })
	var found []origin.Origin
	for _, service := range services {
		if len(s.node.pools.index.softwareVersions(service)) > 1 {
			found = append(found, s.interrupted(ctx, service)...)
		}
	}
	for _, o := range found {
		s.register.Add(o, s.node.now())
	}
	s.node.log.Info("interrupted_streams_found", "streams", len(found))
	worker.SleepUntil(ctx, s.node.now(), s.node.startedAt.Add(prepareDelay))
	for _, o := range found {
		s.tellKeepers(o)
	}
	<-ctx.Done()
	return nil
}

// interrupted returns the origins of the streams that engines of a service in this region work on.
func (s *streams) interrupted(ctx context.Context, service string) []origin.Origin {
	snap := s.node.control.snapshot()
	found, ok := snap.service(service)
	listed, err := s.node.evidence.listed(ctx, service)
	if err != nil || !ok || !found.IsEngine {
		return nil
	}
	var local []fleet.Endpoint
	for _, e := range listed {
		if e.Region == s.node.deployment.Region {
			local = append(local, e)
		}
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	local = local[:min(len(local), maxInterruptedEngines)]
	runs := make([][]string, len(local))
	var asked sync.WaitGroup
	for i, e := range local {
		asked.Go(func() { runs[i] = s.runsOf(ctx, e, found.HealthPath) })
	}
	asked.Wait()
	return originsOfRuns(service, local, runs, s.node.now().Add(s.streamLifetime()))
}

func (s *streams) runsOf(ctx context.Context, e fleet.Endpoint, healthPath string) []string {
	if !s.node.acquireProbePermit(ctx, e, throttle.KindReport) {
		return nil
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	runs, err := s.node.endpointClient.FetchRuns(timeoutCtx, e, healthPath)
	if err != nil {
		s.node.log.Debug("runs_failed", "endpoint", e.ID, "reason", err.Error())
	}
	return runs
}

// originsOfRuns returns the origins of streams from the runs of engines. It leaves out requests
// that engines of several versions work on.
func originsOfRuns(service string, engines []fleet.Endpoint, runs [][]string, keepUntil time.Time) []origin.Origin {
	versions := make(map[string]string)
	disputed := make(map[string]bool)
	for i, e := range engines {
		for _, request := range runs[i] {
			version, known := versions[request]
			disputed[request] = disputed[request] || (known && version != e.SoftwareVersion)
			versions[request] = e.SoftwareVersion
		}
	}
	var out []origin.Origin
	for request, version := range versions {
		if !disputed[request] {
			out = append(out, origin.Origin{
				Request:   request,
				Service:   service,
				Version:   version,
				KeepUntil: keepUntil,
			})
		}
	}
	return out
}
