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

// settingsFile holds the setting that differs.
const settingsFile = "deploy/gateway.json"

// playVariant plays all deployments with one mechanism off.
func (o options) playVariant(ctx context.Context, name string) (row, error) {
	out := row{
		name: name,
	}
	dir := filepath.Join(o.work, "without-"+strings.Trim(name, "()"))
	if err := copyTree(ctx, dir); err != nil {
		return out, err
	}
	if name != allOn {
		if err := switchOff(filepath.Join(dir, settingsFile), name); err != nil {
			return out, err
		}
	}
	var failed error
	for _, site := range o.sites {
		var days []day
		for range o.plays {
			played, err := o.score(ctx, dir, site, "ablation, without "+name)
			days = append(days, played...)
			failed = errors.Join(failed, err)
		}
		out.sites = append(out.sites, sumUp(days))
	}
	return out, failed
}

// copyTree clones the repository, with what is changed in its working tree.
func copyTree(ctx context.Context, dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return exec.CommandContext(ctx, "cp", "-r", ".", dir).Run()
}

// switchOff adds a mechanism to the settings, which are JSON with comments.
func switchOff(file, mechanism string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	at := bytes.IndexByte(data, '{')
	if at < 0 {
		return fmt.Errorf("%s holds no object", file)
	}
	entry := fmt.Sprintf("\n  \"without\": [%q],", mechanism)
	changed := append(append(bytes.Clone(data[:at+1]), entry...), data[at+1:]...)
	return os.WriteFile(file, changed, 0o600)
}

// score plays the standard days of a deployment once.
func (o options) score(ctx context.Context, dir, site, why string) ([]day, error) {
	cmd := exec.CommandContext(ctx, o.bench, "score", site, "--jobs", strconv.Itoa(o.jobs), "--why", why)
	cmd.Dir = dir
	text, err := cmd.CombinedOutput()
	days := parseDays(string(text))
	if len(days) == 0 {
		return nil, fmt.Errorf("no day was played: %w", err)
	}
	return days, nil
}

// drawnDay begins the name of a day that is drawn for each score, which no two share.
const drawnDay = "fresh"

// day is the line about one played day.
type day struct {
	name   string
	worth  float64
	broken bool
}

// dayLine has the day's name, its machines, its mark, and its worth.
var dayLine = regexp.MustCompile(`^([a-z]+-\d+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)`)

func parseDays(text string) []day {
	var out []day
	for _, line := range strings.Split(text, "\n") {
		fields := dayLine.FindStringSubmatch(line)
		if fields == nil || strings.HasPrefix(fields[1], drawnDay) {
			continue
		}
		worth, err := strconv.ParseFloat(fields[2], 64)
		if err != nil {
			continue
		}
		out = append(out, day{
			name:   fields[1],
			worth:  worth,
			broken: strings.Contains(line, "BROKEN"),
		})
	}
	return out
}
