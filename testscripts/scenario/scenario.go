// Package scenario gives test scripts the commands to run a deployment as
// separate processes, to send calls along any way, and to bring about
// failures: kills, freezes, cuts, outages of the platform, faults of endpoints
// and races of operators.
package scenario

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	// settleWithin bounds the wait for a state that a script asks for.
	settleWithin = 30 * time.Second
	secretOf     = ".example-secret-of-"
)

// Options say where the parts of a deployment are found.
type Options struct {
	// Bin holds the built binaries, Examples the example documents.
	Bin      string
	Examples string
}

// command is one command of a script.
type command func(w *world, ts *testscript.TestScript, args []string)

// Commands returns the commands for testscript.Params.
func Commands(o Options) map[string]func(*testscript.TestScript, bool, []string) {
	worlds := &worlds{
		options: o,
		byName:  make(map[string]*world),
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	all := commands()
	maps.Copy(all, onceCommands())
	for name, c := range all {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			c(worlds.of(ts), ts, args)
		}
	}
	return out
}

func commands() map[string]command {
	return map[string]command{
		"deploy":       deploy,
		"chat":         chat,
		"book":         book,
		"load":         startLoad,
		"ended":        endLoad,
		"owner":        owner,
		"executor":     executor,
		"crash":        eachVM((*rig.VM).KillProcess),
		"freeze":       eachVM((*rig.VM).SuspendProcess),
		"thaw":         eachVM((*rig.VM).ResumeProcess),
		"shutdown":     shutdown,
		"restart":      restart,
		"rekey":        rekey,
		"roll":         roll,
		"cut":          cut,
		"cutoneway":    cutOneWay,
		"heal":         heal,
		"platform":     switchPlatform,
		"publish":      publish,
		"inforce":      inForce,
		"leaving":      leaving,
		"fault":        fault,
		"runs":         runs,
		"held":         held,
		"forwards":     forwards,
		"pause":        pause,
		"reached":      reached,
		"events":       events,
		"logs":         logs,
		"post":         post,
		"amend":        amend,
		"race":         race,
		"agree":        agree,
		"monitor":      startMonitor,
		"monitored":    endMonitor,
		"mark":         mark,
		"departed":     departed,
		"works":        works,
		"mostforwards": mostForwards,
		"cutplatform":  cutPlatform,
		"seeds":        setSeeds,
		"respawn":      respawn,
		"bounded":      bounded,
		"told":         tellers,
		"refusedby":    refusedBy,
		"watchers":     watchers,
		"streams":      streams,
	}
}

// world is what one script has running.
type world struct {
	options  Options
	rig      *rig.Rig
	loads    map[string]*load
	once     onceState
	monitors map[string]*monitor
	amended  map[string]publishedBucket
	marks    map[string]time.Time
}

// deploy NAME [links] [settings...] starts a deployment; a setting is
// lease_term=, heartbeat_every=, ticket_good_for=, stop_within= or policies.
func deploy(w *world, ts *testscript.TestScript, args []string) {
	if len(args) == 0 {
		ts.Fatalf("usage: deploy tesfaye|planhigion [links] [name=value...]")
	}
	o := rig.Tesfaye(w.options.Examples)
	if args[0] == "planhigion" {
		o = rig.Planhigion(w.options.Examples)
	}
	o.Bin = w.options.Bin
	o.Dir = ts.Getenv("WORK")
	o.Links = slices.Contains(args, "links")
	o.Adjust = func(s *settings.Settings) {
		for _, arg := range args[1:] {
			adjust(ts, s, arg)
		}
	}
	r, err := rig.Start(o)
	ts.Check(err)
	w.rig = r
	ts.Defer(r.Close)
	w.setAddresses(ts)
}

// setAddresses sets CALLER_id, OPERATOR_id and ENDPOINT_id to the addresses of
// each VM and endpoint, for commands that a script runs itself.
func (w *world) setAddresses(ts *testscript.TestScript) {
	for _, vm := range w.rig.VMs {
		ts.Setenv("CALLER_"+variable(vm.Fleet.ID), vm.Fleet.CallerAddr)
		ts.Setenv("OPERATOR_"+variable(vm.Fleet.ID), vm.Fleet.OperatorAddr)
	}
	for _, e := range w.rig.Endpoints {
		ts.Setenv("ENDPOINT_"+variable(e.Fleet.ID), e.Fleet.Addr)
	}
}

func variable(id string) string {
	return strings.ReplaceAll(id, "-", "_")
}

func adjust(ts *testscript.TestScript, s *settings.Settings, arg string) {
	name, value, ok := strings.Cut(arg, "=")
	if !ok {
		return
	}
	durations := map[string]*jsonc.Duration{
		"lease_term":            &s.LeaseTerm,
		"heartbeat_every":       &s.HeartbeatEvery,
		"ticket_good_for":       &s.TicketGoodFor,
		"stop_within":           &s.StopWithin,
		"entries_good_for":      &s.EntriesGoodFor,
		"endpoint_report_every": &s.EndpointReportEvery,
	}
	numbers := map[string]*int{
		"records":        &s.Records.Count,
		"queue":          &s.Queue.Length,
		"max_body_bytes": &s.Limits.MaxBodyBytes,
	}
	texts := map[string]*string{
		"peer_key": &s.PeerKey,
		"limits":   &s.Policies.Limits,
	}
	if t := texts[name]; t != nil {
		*t = value
		return
	}
	if d := durations[name]; d != nil {
		parsed, err := time.ParseDuration(value)
		ts.Check(err)
		d.Duration = parsed
		return
	}
	if n := numbers[name]; n != nil {
		parsed, err := strconv.Atoi(value)
		ts.Check(err)
		*n = parsed
		return
	}
	ts.Fatalf("unknown setting %q", name)
}

// find returns the VMs that a comma-separated list names; a region's name stands
// for all of its VMs.
func (w *world) find(ts *testscript.TestScript, list string) []*rig.VM {
	var out []*rig.VM
	for name := range strings.SplitSeq(list, ",") {
		if vm := w.rig.VM(name); vm != nil {
			out = append(out, vm)
			continue
		}
		region := w.rig.VMsOf(name)
		if len(region) == 0 {
			ts.Fatalf("no VM or region %q", name)
		}
		out = append(out, region...)
	}
	return out
}

func (w *world) addrs(vms []*rig.VM) []string {
	var out []string
	for _, vm := range vms {
		out = append(out, vm.Fleet.CallerAddr)
	}
	return out
}

func key(workspace string) string {
	return workspace + secretOf + workspace
}

// option returns the value of name=value among the arguments.
func option(args []string, name, fallback string) string {
	for _, arg := range args {
		if value, ok := strings.CutPrefix(arg, name+"="); ok {
			return value
		}
	}
	return fallback
}

func number(ts *testscript.TestScript, args []string, name, fallback string) int {
	n, err := strconv.Atoi(option(args, name, fallback))
	ts.Check(err)
	return n
}

func duration(ts *testscript.TestScript, args []string, name, fallback string) time.Duration {
	d, err := time.ParseDuration(option(args, name, fallback))
	ts.Check(err)
	return d
}

func need(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

func printf(ts *testscript.TestScript, format string, args ...any) {
	_, err := fmt.Fprintf(ts.Stdout(), format, args...)
	ts.Check(err)
}

// newCaller makes a caller of a workspace from the options vm=, direct, once
// and tries=.
func (w *world) newCaller(ts *testscript.TestScript, workspace string, args []string) *caller.Caller {
	vms := w.rig.VMs
	if list := option(args, "vm", ""); list != "" {
		vms = w.find(ts, list)
	}
	o := caller.Options{
		VMs:    w.addrs(vms),
		Key:    key(workspace),
		Direct: slices.Contains(args, "direct"),
	}
	if slices.Contains(args, "once") {
		o.MaxTries = 1
	}
	if tries := number(ts, args, "tries", "0"); tries > 0 {
		o.MaxTries = tries
	}
	return caller.New(o)
}

func printResult(ts *testscript.TestScript, r caller.Result) {
	printf(ts, "code=%d class=%s status=%d vm=%s tries=%d text=%q message=%q\n", r.Code, r.Class, r.Status, r.VM, r.Tries, r.Text, r.Message)
	ts.Setenv("TICKET", r.Ticket)
	ts.Setenv("REQUEST", r.RequestID)
}

// file returns the path of a file of the script.
func file(ts *testscript.TestScript, name string) string {
	return filepath.Join(ts.Getenv("WORK"), name)
}
