package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/explain"
)

const explainTimeLayout = "15:04:05.000"

// explainCommand adds "notchctl explain".
func explainCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("explain", "Show how a request was handled, from the logs of several processes: "+
		"its own lines, and what the VMs that handled it learned shortly before and meanwhile.")
	id := command.Arg("request", "Request id.").Required().String()
	files := command.Arg("log", "Log files of JSON lines; - is standard input.").Required().Strings()
	command.Action(func(*kingpin.ParseContext) error {
		lines, err := readLogs(*files)
		if err != nil {
			return err
		}
		found := explain.Request(lines, *id)
		if len(found) == 0 {
			return exitErrorf(exitFailed, "no log line has request id %s; successful requests are logged only if sampled", *id)
		}
		writeExplainLines(stdout, found)
		return nil
	})
}

func readLogs(files []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range files {
		in := io.NopCloser(os.Stdin)
		if name != "-" {
			file, err := os.Open(name)
			if err != nil {
				return nil, exitErrorf(exitUsage, "cannot read log file %s: %v", name, err)
			}
			in = file
		}
		read, err := explain.Read(in)
		_ = in.Close()
		if err != nil {
			return nil, exitErrorf(exitUsage, "%s: %v", name, err)
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// writeExplainLines prints log lines; a bar marks those that are not the request's own.
func writeExplainLines(w io.Writer, lines []explain.Line) {
	for _, l := range lines {
		mark := " "
		if l.IsProcessState {
			mark = "|"
		}
		_, _ = fmt.Fprintf(w, "%s %s %s %s", l.At.In(time.UTC).Format(explainTimeLayout), mark, l.VM, l.Event)
		for _, f := range l.Fields {
			if f.Name != "request" {
				_, _ = fmt.Fprintf(w, " %s=%s", f.Name, f.Value)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
}
