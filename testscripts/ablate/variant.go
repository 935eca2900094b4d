package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// settingsFile is the settings file that a variant changes.
const settingsFile = "deploy/gateway.json"

// runVariant benchmarks all deployments with one mechanism disabled.
func (o options) runVariant(ctx context.Context, name string) (variant, error) {
	out := variant{
		name: name,
	}
	dir := filepath.Join(o.workDir, "without-"+strings.Trim(name, "()"))
	if err := copyTree(ctx, dir); err != nil {
		return out, err
	}
	if name != baseline {
		if err := disableMechanism(filepath.Join(dir, settingsFile), name); err != nil {
			return out, err
		}
	}
	var errs error
	for _, site := range o.sites {
		var results []dayResult
		for range o.runs {
			runResults, err := o.runBenchmark(ctx, dir, site, "ablation, without "+name)
			results = append(results, runResults...)
			errs = errors.Join(errs, err)
		}
		out.sites = append(out.sites, summarize(results))
	}
	return out, errs
}

// copyTree copies the working tree, including uncommitted changes.
func copyTree(ctx context.Context, dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return exec.CommandContext(ctx, "cp", "-r", ".", dir).Run()
}

// disableMechanism adds the mechanism to the settings file, which is JSON with comments.
func disableMechanism(file, mechanism string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	at := bytes.IndexByte(data, '{')
	if at < 0 {
		return fmt.Errorf("%s contains no JSON object", file)
	}
	entry := fmt.Sprintf("\n  \"without\": [%q],", mechanism)
	changed := append(append(bytes.Clone(data[:at+1]), entry...), data[at+1:]...)
	return os.WriteFile(file, changed, 0o600)
}

// runBenchmark runs the standard days of a deployment once.
func (o options) runBenchmark(ctx context.Context, dir, site, reason string) ([]dayResult, error) {
	cmd := exec.CommandContext(ctx, o.bench, "score", site, "--jobs", strconv.Itoa(o.jobs), "--why", reason)
	cmd.Dir = dir
	output, err := cmd.CombinedOutput()
	results := parseResults(string(output))
	if len(results) == 0 {
		return nil, fmt.Errorf("benchmark of %s printed no results: %w", site, err)
	}
	return results, nil
}

// randomDayPrefix marks days that are generated for one run and can't be compared.
const randomDayPrefix = "fresh"

// dayResult is the benchmark's result for one day.
type dayResult struct {
	name       string
	worth      float64
	ruleBroken bool
}

// resultPattern matches a line of results and captures the day's name and its worth.
var resultPattern = regexp.MustCompile(`^([a-z]+-\d+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)`)

func parseResults(output string) []dayResult {
	var out []dayResult
	for _, line := range strings.Split(output, "\n") {
		fields := resultPattern.FindStringSubmatch(line)
		if fields == nil || strings.HasPrefix(fields[1], randomDayPrefix) {
			continue
		}
		worth, err := strconv.ParseFloat(fields[2], 64)
		if err != nil {
			continue
		}
		out = append(out, dayResult{
			name:       fields[1],
			worth:      worth,
			ruleBroken: strings.Contains(line, "BROKEN"),
		})
	}
	return out
}
