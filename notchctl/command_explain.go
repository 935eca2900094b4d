package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/explain"
)

// explainTime shows the time of a line to the millisecond.
const explainTime = "15:04:05.000"

// explainCommand adds "notchctl explain".
func explainCommand(app *kingpin.Application, stdout io.Writer) {
	command := app.Command("explain", "Show what became of a request, from the logs of several processes: "+
		"its own lines, and what the VMs that had it came to believe shortly before and meanwhile.")
	id := command.Arg("request", "The request's id.").Required().String()
	files := command.Arg("log", "Log files, one JSON line each; - is standard input.").Required().Strings()
	command.Action(func(*kingpin.ParseContext) error {
		lines, err := readLogs(*files)
		if err != nil {
			return err
		}
		found := explain.Request(lines, *id)
		if len(found) == 0 {
			return exit(exitFailed, "no line names request %s; one that went well is logged only if it is in the sample", *id)
		}
		writeExplained(stdout, found)
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
				return nil, exit(exitUsage, "%s: want a file that can be read: %v", name, err)
			}
			in = file
		}
		read, err := explain.Read(in)
		_ = in.Close()
		if err != nil {
			return nil, exit(exitUsage, "%s: %v", name, err)
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// writeExplained writes a line each; what the VMs believe is marked by a bar.
func writeExplained(w io.Writer, lines []explain.Line) {
	for _, l := range lines {
		mark := " "
		if l.IsBelief {
			mark = "|"
		}
		_, _ = fmt.Fprintf(w, "%s %s %s %s", l.At.In(time.UTC).Format(explainTime), mark, l.VM, l.Event)
		for _, f := range l.Fields {
			if f.Name != "request" {
				_, _ = fmt.Fprintf(w, " %s=%s", f.Name, f.Value)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
}
