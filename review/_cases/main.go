// Command cases plays the cases of the review: each starts gateway processes with the command
// of the deploy file, and stand-ins for the store, the replicas and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration leaves some time to end the processes within 120 s.
const maxDuration = 110 * time.Second

// cases are the cases by name. Each writes what it saw to the bed's record.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){}

// The main goroutine starts the gateways. It stays on the main thread, as they are killed at the end
// of the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD; names:", strings.Join(names, " "))
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
		return exitFailed
	}
	defer b.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupts:
			b.logf("result: the case was interrupted")
		case <-time.After(maxDuration):
			b.logf("result: the case did not end in %v", maxDuration)
		}
		b.close()
		os.Exit(exitFailed)
	}()
	b.logf("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](b, trouble)
	switch {
	case err != nil:
		b.logf("result: the case could not run: %v", err)
		return exitFailed
	case broken:
		b.logf("result: the rule was broken")
		return exitBroken
	default:
		b.logf("result: the rule held")
		return exitHeld
	}
}
