package main

import (
	"errors"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/console"
)

// entriesCommand adds "notchctl entries".
func entriesCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("entries", "Show which VMs the callers of a workspace should use.")
	flags := addQueryFlags(command, "caller")
	key := command.Flag("key", "A caller's key, WORKSPACE.SECRET.").Envar("NOTCHCTL_KEY").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := flags.context()
		defer cancel()
		client := newConsole()
		var err error
		for _, addr := range *flags.vms {
			var entries *console.Entries
			if entries, err = client.Entries(ctx, addr, *key); err == nil {
				return flags.write(stdout, entries)
			}
		}
		var answerErr *console.ResponseError
		if errors.As(err, &answerErr) {
			return exitErrorf(exitFailed, "%v", err)
		}
		return exitErrorf(exitUnreached, "%v", err)
	})
}
