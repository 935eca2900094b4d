package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/replay"
)

// replayFlags are the flags of "notchctl replay".
type replayFlags struct {
	file      *string
	vms       *[]string
	endpoints *[]string
	keys      *[]string
	speed     *float64
	timeout   *time.Duration
	output    *string
}

// replayCommand adds "notchctl replay".
func replayCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("replay", "Send a recorded trace to VMs and print each outcome that is not as expected.")
	f := replayFlags{
		file:      command.Arg("file", "The trace, JSON lines.").Required().String(),
		vms:       command.Flag("vm", "Address of a VM's caller front, IP number and port; may be repeated.").Required().Strings(),
		endpoints: command.Flag("endpoint", "Address of an endpoint's stand-in that counts runs; may be repeated.").Strings(),
		keys:      command.Flag("key", "Key of a workspace of the trace, WORKSPACE.SECRET; may be repeated.").Envar("NOTCHCTL_KEYS").Required().Strings(),
		speed:     command.Flag("speed", "How many times faster than recorded the steps follow each other.").Default("1").Float64(),
		timeout:   command.Flag("timeout", "Bound of the whole replay.").Default("10m").Duration(),
		output:    command.Flag("output", "Output format.").Default(outputTable).Enum(outputTable, outputJSON),
	}
	command.Action(func(*kingpin.ParseContext) error {
		return f.run(stdout)
	})
}

func (f replayFlags) run(stdout io.Writer) error {
	steps, err := f.steps()
	if err != nil {
		return err
	}
	options, err := f.options()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), *f.timeout)
	defer cancel()
	report := replay.New(options).Run(ctx, steps)
	if err := f.write(stdout, report); err != nil {
		return err
	}
	return replayError(report)
}

func (f replayFlags) steps() ([]replay.Step, error) {
	data, err := os.ReadFile(*f.file)
	if err != nil {
		return nil, exitErrorf(exitUsage, "%v", err)
	}
	steps, problem := replay.Read(*f.file, data)
	if problem != nil {
		return nil, exitErrorf(exitUsage, "%v", problem)
	}
	return steps, nil
}

func (f replayFlags) options() (replay.Options, error) {
	if *f.speed <= 0 {
		return replay.Options{}, exitErrorf(exitUsage, "--speed: want a number above 0")
	}
	keys := make([]replay.Key, 0, len(*f.keys))
	for _, text := range *f.keys {
		workspace, secret, found := strings.Cut(text, ".")
		if !found {
			return replay.Options{}, exitErrorf(exitUsage, "--key: want WORKSPACE.SECRET")
		}
		keys = append(keys, replay.Key{
			Workspace: workspace,
			Secret:    secret,
		})
	}
	return replay.Options{
		HTTP:      &http.Client{},
		VMs:       *f.vms,
		Endpoints: *f.endpoints,
		Keys:      keys,
		Speed:     *f.speed,
		Now:       time.Now,
		Wait:      waitUntil,
	}, nil
}

func waitUntil(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

func (f replayFlags) write(stdout io.Writer, report replay.Report) error {
	if *f.output == outputJSON {
		return writeJSON(stdout, report)
	}
	for _, m := range report.Mismatches {
		_, _ = fmt.Fprintf(stdout, "%s:%d: want %s, got %s\n", *f.file, m.Line, m.Want, m.Got)
	}
	_, _ = fmt.Fprintf(stdout, "%d steps, %d mismatches, %d unanswered\n", report.Steps, len(report.Mismatches), report.Unanswered)
	return nil
}

func replayError(report replay.Report) error {
	switch {
	case report.Unanswered > 0:
		return exitErrorf(exitUnreached, "%d steps had no valid response", report.Unanswered)
	case len(report.Mismatches) > 0:
		return exitErrorf(exitFailed, "%d outcomes were not as expected", len(report.Mismatches))
	}
	return nil
}
