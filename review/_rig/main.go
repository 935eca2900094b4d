// Command rig shows the cases 6 to 10 of the review. It starts the gateway's processes with the
// command of the deploy file, on loopback addresses, beside small stand-ins for the platform's
// store, replicas and clients, and checks one rule by what clients and replicas have seen.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their numbers.
var cases = map[string]func(t *trial) error{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		os.Exit(replicaMain(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case, writes its record into a folder, and returns the exit code.
func runCase(name, folder string) int {
	t, err := newTrial(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer t.close()
	go t.closeOnSignal()
	if err := cases[name](t); err != nil {
		t.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if len(t.violations) > 0 {
		for _, v := range t.violations {
			t.note("broken: %s", v)
		}
		t.close()
		fmt.Println(strings.Join(t.violations, "\n"))
		return exitBroken
	}
	t.note("held")
	t.close()
	fmt.Println("held")
	return exitHeld
}
