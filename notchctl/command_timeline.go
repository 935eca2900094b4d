package main

import (
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// timelineCommand adds "notchctl timeline".
func timelineCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("timeline", "Show the events of all processes in causal order. "+
		"The first VM that responds merges them; VMs that it cannot reach are queried directly.")
	flags := addQueryFlags(command, "operator")
	request := command.Flag("request", "Only events of this request id.").String()
	workspace := command.Flag("workspace", "Only events of this workspace.").String()
	from := command.Flag("from", "Only events from this time on, such as 2030-12-31T06:00:00Z.").String()
	to := command.Flag("to", "Only events up to this time.").String()
	command.Action(func(*kingpin.ParseContext) error {
		query := timeline.Query{
			Request:   *request,
			Workspace: *workspace,
		}
		var err error
		if query.From, err = parseTimeFlag("--from", *from); err != nil {
			return err
		}
		if query.To, err = parseTimeFlag("--to", *to); err != nil {
			return err
		}
		ctx, cancel := flags.context()
		defer cancel()
		merged := newConsole().MergedTimeline(ctx, *flags.vms, query)
		if err := flags.write(stdout, &merged); err != nil {
			return err
		}
		if len(merged.Unreachable) > 0 {
			return exitErrorf(exitUnreached, "events of %d VMs are missing", len(merged.Unreachable))
		}
		return nil
	})
}

func parseTimeFlag(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, exitErrorf(exitUsage, "%s: want a time such as 2030-12-31T06:00:00Z", flag)
	}
	return at, nil
}
