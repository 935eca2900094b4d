// Command losses reports where a simulated day lost worth. It reads the logs of all
// processes and the deployment file, and sums the losses by class of calls, reason and
// time window. A log line holds the seconds, the VM and the JSON record.
//
// The logs need log_sample_every set to 1. Attempts are counted separately: a refused
// attempt counts as lost even if the caller retried successfully.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("losses", "Sum the losses of a simulated day by class of calls, reason and time window.")
	site := app.Flag("site", "The deployment file with the classes of calls.").Required().ExistingFile()
	window := app.Flag("window", "The length of a time window.").Default("2s").Duration()
	files := app.Arg("log", "Log files; losses are summed over all of them.").Required().ExistingFiles()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*site, *window, *files); err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
}

func run(site string, window time.Duration, files []string) error {
	classes, err := readClasses(site)
	if err != nil {
		return err
	}
	var all []attempt
	for _, file := range files {
		attempts, err := readFile(file)
		if err != nil {
			return err
		}
		all = append(all, attempts...)
	}
	var out strings.Builder
	summarize(all, classes, window).print(&out)
	_, err = os.Stdout.WriteString(out.String())
	return err
}
