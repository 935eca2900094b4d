// Command losses says where the worth of a played day went: it reads the lines
// that all processes wrote, and the users' file with the kinds of calls, and
// adds up what was lost by kind, reason and moment. A line is as the users'
// tools print it: seconds, the VM, and the JSON object that the VM wrote.
//
// It needs plays with log_sample_every at 1. It sees attempts and not what a
// caller made of several of them: an attempt that was refused counts as lost,
// also where the caller came back and was served.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("losses", "Add up what a played day lost, by kind of call, reason and moment.")
	site := app.Flag("site", "The users' file of the deployment, for the kinds of calls.").Required().ExistingFile()
	window := app.Flag("window", "The length of a moment.").Default("2s").Duration()
	files := app.Arg("log", "Files of lines; the losses are added up over all.").Required().ExistingFiles()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*site, *window, *files); err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
}

func run(site string, window time.Duration, files []string) error {
	kinds, err := readKinds(site)
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
	addUp(all, kinds, window).print(&out)
	_, err = os.Stdout.WriteString(out.String())
	return err
}
