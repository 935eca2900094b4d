// Command notchctl is the command line for operators. It validates documents and
// settings, shows the state of every VM, and replays traces.
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
	// exitFailed: a document was refused, VMs disagree or a replay has a mismatch.
	exitFailed = 1
	// exitUsage: the command line is wrong or a file cannot be read.
	exitUsage = 2
	// exitUnreached: a VM did not respond.
	exitUnreached = 3
)

const help = `Command line for operators of fuchsianotch.

Exit codes: 0 all is well; 1 a document was refused, VMs disagree or a replay found a mismatch; 2 the command line or a file is wrong; 3 a VM was not reached.`

// exitError is an error with an exit code. The message may be empty.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string {
	return e.message
}

func exitErrorf(code int, format string, args ...any) error {
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
	return reportError(err, stderr)
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
	routeCommand(app, stdout)
	codesCommand(app, stdout)
	return app
}

// reportError prints an error and returns its exit code. Errors without an exit code
// come from the command-line parser.
func reportError(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	var exitErr *exitError
	if !errors.As(err, &exitErr) {
		_, _ = fmt.Fprintf(stderr, "notchctl: %v; see notchctl --help\n", err)
		return exitUsage
	}
	if exitErr.message != "" {
		_, _ = fmt.Fprintf(stderr, "notchctl: %s\n", exitErr.message)
	}
	return exitErr.code
}

// refusalExitCode returns the exit code for a refused file.
func refusalExitCode(r *result.Refusal) int {
	if r.Code == result.SettingFile {
		return exitUsage
	}
	return exitFailed
}
