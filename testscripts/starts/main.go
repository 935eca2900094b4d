// Command starts reports what engines get in their first seconds after they start, become
// warm or recover, from the logs of all processes of a simulated day. The logs need
// log_sample_every set to 1. A log line holds the seconds, the VM and the JSON record.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("starts", "Report the calls that engines get in their first seconds.")
	files := app.Arg("log", "Log files; days are reported one by one.").Required().ExistingFiles()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	var out strings.Builder
	fmt.Fprintln(&out, header)
	for _, name := range *files {
		calls, err := readFile(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, "starts:", err)
			os.Exit(1)
		}
		fmt.Fprintln(&out, newReport(calls).row(name))
	}
	fmt.Print(out.String())
}
