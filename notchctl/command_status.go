package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/console"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// queryFlags are the flags of commands that query VMs.
type queryFlags struct {
	vms     *[]string
	timeout *time.Duration
	output  *string
}

func addQueryFlags(command *kingpin.CmdClause, front string) queryFlags {
	return queryFlags{
		vms:     command.Flag("vm", "Address of a VM's "+front+" front, IP number and port; may be repeated.").Required().Strings(),
		timeout: command.Flag("timeout", "Bound of the whole question.").Default("5s").Duration(),
		output:  command.Flag("output", "Output format.").Default(outputTable).Enum(outputTable, outputJSON),
	}
}

func (f queryFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), *f.timeout)
}

// tableFormatter is output that can be written as a table.
type tableFormatter interface {
	WriteTable(w io.Writer) error
}

func (f queryFlags) write(stdout io.Writer, value tableFormatter) error {
	if *f.output == outputTable {
		return value.WriteTable(stdout)
	}
	return writeJSON(stdout, value)
}

func writeJSON(stdout io.Writer, value any) error {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func newConsole() *console.Client {
	return console.New(console.Options{
		HTTP: &http.Client{},
	})
}

// statusCommand adds "notchctl status".
func statusCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("status", "Show for every VM the revision in force of each document, refused documents with the reason, its view and its load.")
	flags := addQueryFlags(command, "operator")
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := flags.context()
		defer cancel()
		fleet := newConsole().Fleet(ctx, *flags.vms)
		if err := flags.write(stdout, &fleet); err != nil {
			return err
		}
		return statusError(&fleet)
	})
}

func statusError(fleet *console.Fleet) error {
	switch {
	case len(fleet.Unreachable) > 0:
		return exitErrorf(exitUnreached, "%d VMs were not reached", len(fleet.Unreachable))
	case !fleet.Converged():
		return exitErrorf(exitFailed, "the VMs do not all hold the same documents, or one refuses a document")
	}
	return nil
}
