// Command notchctl is the operators' tool: it checks documents and settings
// before they are published, shows what every VM does, and replays traces.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Exit codes. They are the same for every command.
const (
	exitOK = 0
	// exitFailed: a document was refused, VMs disagree or a replay found a mismatch.
	exitFailed = 1
	// exitUsage: the command line is wrong or a file cannot be read.
	exitUsage = 2
	// exitUnreached: a VM gave no answer.
	exitUnreached = 3
)

const help = `The operators' tool of fuchsianotch.

Exit codes: 0 all is well; 1 a document was refused, VMs disagree or a replay found a mismatch; 2 the command line or a file is wrong; 3 a VM was not reached.`

// exitError ends the program with an exit code. The message may be empty.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string {
	return e.message
}

func exit(code int, format string, args ...any) error {
	return &exitError{
		code:    code,
		message: fmt.Sprintf(format, args...),
	}
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	app := newApp(stdout)
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	_, err := app.Parse(args)
	return report(err, stderr)
}

func newApp(stdout io.Writer) *kingpin.Application {
	app := kingpin.New("notchctl", help)
	app.HelpFlag.Short('h')
	checkCommand(app, stdout)
	statusCommand(app, stdout)
	timelineCommand(app, stdout)
	explainCommand(app, stdout)
	entriesCommand(app, stdout)
	replayCommand(app, stdout)
	codesCommand(app, stdout)
	return app
}

// report writes the error and gives the exit code. Errors without an exit code
// come from the parser of the command line.
func report(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	var ended *exitError
	if !errors.As(err, &ended) {
		_, _ = fmt.Fprintf(stderr, "notchctl: %v; see notchctl --help\n", err)
		return exitUsage
	}
	if ended.message != "" {
		_, _ = fmt.Fprintf(stderr, "notchctl: %s\n", ended.message)
	}
	return ended.code
}

// refused says which exit code a refused file gives.
func refused(r *result.Refusal) int {
	if r.Code == result.SettingFile {
		return exitUsage
	}
	return exitFailed
}
