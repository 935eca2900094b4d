// Package scenario provides testscript commands that run a deployment as separate
// processes, send calls, and inject failures: crashes, suspended processes,
// network partitions, platform outages, endpoint faults and concurrent
// configuration writes.
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
	// awaitTimeout bounds the wait for an expected state.
	awaitTimeout = 30 * time.Second
	keyInfix     = ".example-secret-of-"
)

// Options locates the binaries and documents of a deployment.
type Options struct {
	// Bin is the folder of the binaries, Examples that of the example documents.
	Bin      string
	Examples string
}

// command implements a testscript command.
type command func(w *deployment, ts *testscript.TestScript, args []string)

// Commands returns the commands for testscript.Params.
func Commands(o Options) map[string]func(*testscript.TestScript, bool, []string) {
	byScript := &deployments{
		options: o,
		byName:  make(map[string]*deployment),
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	all := commands()
	maps.Copy(all, atMostOnceCommands())
	for name, c := range all {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			c(byScript.of(ts), ts, args)
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
		"held":         leakedOutside,
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
		"departed":     awaitDeparted,
		"works":        awaitWork,
		"mostforwards": mostForwards,
		"cutplatform":  cutPlatform,
		"seeds":        setSeeds,
		"respawn":      respawn,
		"bounded":      bounded,
		"told":         findExposed,
		"refusedby":    refusedBy,
		"watchers":     watchers,
		"streams":      streams,
	}
}

// deployment holds the deployment of one script and its background activities.
type deployment struct {
	options  Options
	rig      *rig.Rig
	loads    map[string]*load
	bookings bookingState
	monitors map[string]*monitor
	amended  map[string]publishedBucket
	marks    map[string]time.Time
}

// deploy NAME [links] [name=value...] starts an example deployment. applySetting
// lists the settings that can be changed.
func deploy(w *deployment, ts *testscript.TestScript, args []string) {
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
	o.AdjustSettings = func(s *settings.Settings) {
		for _, arg := range args[1:] {
			applySetting(ts, s, arg)
		}
	}
	r, err := rig.Start(o)
	ts.Check(err)
	w.rig = r
	ts.Defer(r.Close)
	w.setAddresses(ts)
}

// setAddresses exports the addresses of VMs and endpoints to the script as
// CALLER_id, OPERATOR_id and ENDPOINT_id.
func (w *deployment) setAddresses(ts *testscript.TestScript) {
	for _, vm := range w.rig.VMs {
		ts.Setenv("CALLER_"+envName(vm.Fleet.ID), vm.Fleet.CallerAddr)
		ts.Setenv("OPERATOR_"+envName(vm.Fleet.ID), vm.Fleet.OperatorAddr)
	}
	for _, e := range w.rig.Endpoints {
		ts.Setenv("ENDPOINT_"+envName(e.Fleet.ID), e.Fleet.Addr)
	}
}

func envName(id string) string {
	return strings.ReplaceAll(id, "-", "_")
}

func applySetting(ts *testscript.TestScript, s *settings.Settings, arg string) {
	name, value, ok := strings.Cut(arg, "=")
	if !ok {
		return
	}
	durations := map[string]*jsonc.Duration{
		"lease_term":            &s.LeaseTerm,
		"heartbeat_every":       &s.HeartbeatEvery,
		"ticket_good_for":       &s.TicketTTL,
		"stop_within":           &s.StopTimeout,
		"entries_good_for":      &s.EntriesTTL,
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

// parseVMs returns the VMs of a comma-separated list of VMs and regions.
func (w *deployment) parseVMs(ts *testscript.TestScript, list string) []*rig.VM {
	var out []*rig.VM
	for name := range strings.SplitSeq(list, ",") {
		if vm := w.rig.VM(name); vm != nil {
			out = append(out, vm)
			continue
		}
		region := w.rig.VMsInRegion(name)
		if len(region) == 0 {
			ts.Fatalf("no VM or region %q", name)
		}
		out = append(out, region...)
	}
	return out
}

func (w *deployment) addrs(vms []*rig.VM) []string {
	var out []string
	for _, vm := range vms {
		out = append(out, vm.Fleet.CallerAddr)
	}
	return out
}

func apiKey(workspace string) string {
	return workspace + keyInfix + workspace
}

// option returns the value of the argument name=value, or the fallback.
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

func requireArgs(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

func printf(ts *testscript.TestScript, format string, args ...any) {
	_, err := fmt.Fprintf(ts.Stdout(), format, args...)
	ts.Check(err)
}

// newCaller returns a caller for a workspace, with the options vm=, direct, once
// and tries=.
func (w *deployment) newCaller(ts *testscript.TestScript, workspace string, args []string) *caller.Caller {
	vms := w.rig.VMs
	if list := option(args, "vm", ""); list != "" {
		vms = w.parseVMs(ts, list)
	}
	o := caller.Options{
		VMs:    w.addrs(vms),
		Key:    apiKey(workspace),
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
	printf(ts, "code=%d class=%s status=%d vm=%s tries=%d text=%q message=%q\n", r.Code, r.Class, r.Status, r.VM, r.Attempts, r.Text, r.Message)
	ts.Setenv("TICKET", r.Ticket)
	ts.Setenv("REQUEST", r.RequestID)
}

// scriptFile returns the path of a file in the script's work folder.
func scriptFile(ts *testscript.TestScript, name string) string {
	return filepath.Join(ts.Getenv("WORK"), name)
}
