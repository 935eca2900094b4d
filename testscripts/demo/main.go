// Command demo starts a deployment on loopback, sends calls along each routing
// path, and prints their results and the timeline of a forwarded call.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

const (
	callTimeout = 30 * time.Second
	demoTokens  = 24
	greensClub  = "hawassa-greens-club"
	fairwayClub = "addis-fairway-club"
	starters    = "bahir-dar-starters"
	keyInfix    = ".example-secret-of-"
	model       = "members-assistant"
	service     = "tee-sheet"
)

func main() {
	app := kingpin.New("demo", "Start a deployment, send calls, print what happened.")
	bin := app.Flag("bin", "Folder of the built binaries.").Required().String()
	examples := app.Flag("examples", "Folder of the example documents.").Default("examples").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*bin, *examples); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(bin, examples string) error {
	dir, err := os.MkdirTemp("", "fuchsianotch-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o := rig.Tesfaye(examples)
	o.Bin = bin
	o.Dir = dir
	r, err := rig.Start(o)
	if err != nil {
		return err
	}
	defer r.Close()
	fmt.Printf("started: %d VMs, %d endpoints, 1 platform\n", len(r.VMs), len(r.Endpoints))
	return runDemo(&demo{
		rig:  r,
		http: caller.NewClient(),
	})
}

// demo holds a running deployment and an HTTP client.
type demo struct {
	rig  *rig.Rig
	http *http.Client
}

func runDemo(d *demo) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	addis := d.rig.VMsInRegion("addis-ababa")
	hawassa := d.rig.VMsInRegion("hawassa")
	bahirDar := d.rig.VMsInRegion("bahir-dar")

	d.newCaller(fairwayClub, addis).printChat(ctx, "a chat through the VMs that the system names")
	d.newCaller(greensClub, hawassa).printChat(ctx, "a chat of another region's workspace")
	forwarded := d.chatEachVM(ctx, greensClub, bahirDar)

	d.newCaller(starters, hawassa).printChat(ctx, "a bound chat asked for at a VM of another region")
	d.bookTwice(ctx, bahirDar)
	return d.printTimeline(forwarded)
}

// workspaceCaller sends calls with the API key of a workspace.
type workspaceCaller struct {
	workspace string
	caller    *caller.Caller
}

func (d *demo) newCaller(workspace string, vms []*rig.VM, adjust ...func(*caller.Options)) workspaceCaller {
	o := caller.Options{
		Key:    workspace + keyInfix + workspace,
		Client: d.http,
	}
	for _, vm := range vms {
		o.VMs = append(o.VMs, vm.Fleet.CallerAddr)
	}
	for _, f := range adjust {
		f(&o)
	}
	return workspaceCaller{
		workspace: workspace,
		caller:    caller.New(o),
	}
}

func (a workspaceCaller) printChat(ctx context.Context, title string) caller.Result {
	r := a.caller.Chat(ctx, caller.Chat{
		Model:     model,
		System:    "You answer for a golf club.",
		Message:   "marker=" + a.workspace + " which slots are open",
		MaxTokens: demoTokens,
		Stream:    true,
	})
	printResult(title, a.workspace, r)
	return r
}

// chatEachVM sends the same call to each VM without asking which VM serves the
// workspace, and returns the id of the last request that was forwarded.
func (d *demo) chatEachVM(ctx context.Context, workspace string, vms []*rig.VM) string {
	forwarded := ""
	for _, vm := range vms {
		a := d.newCaller(workspace, []*rig.VM{vm}, withDirect)
		r := a.printChat(ctx, "a chat sent straight to "+vm.Fleet.ID)
		if d.wasForwarded(vm, r.RequestID) {
			forwarded = r.RequestID
		}
	}
	return forwarded
}

func (d *demo) wasForwarded(vm *rig.VM, request string) bool {
	t, err := rig.GetJSON[operator.Timeline](d.rig, vm.Fleet.OperatorAddr, "/v1/timeline?request="+request)
	return err == nil && slices.ContainsFunc(t.Events, func(e timeline.Event) bool {
		return e.Kind == "call_forwarded"
	})
}

func withDirect(o *caller.Options) {
	o.Direct = true
}

// bookTwice confirms a booking, repeats the call with the same ticket, and prints
// how often the service ran it.
func (d *demo) bookTwice(ctx context.Context, vms []*rig.VM) {
	a := d.newCaller(starters, vms)
	first := a.caller.Service(ctx, bookingCall(""))
	printResult("a booking confirmed", starters, first)
	again := a.caller.Service(ctx, bookingCall(first.Ticket))
	printResult("the same ticket again", starters, again)
	runs, err := d.countRuns("booking-17")
	fmt.Printf("  the service ran it %d time(s) %v\n", runs, errText(err))
}

func bookingCall(ticket string) caller.Service {
	return caller.Service{
		Service:        service,
		Method:         http.MethodPost,
		Path:           "/confirm/17",
		Body:           []byte(`{"booking":17}`),
		Ticket:         ticket,
		WithTicket:     ticket == "",
		IdempotencyKey: "booking-17",
	}
}

// runsResponse is a stand-in service's number of runs by operation.
type runsResponse struct {
	Runs map[string]int `json:"runs"`
}

func (d *demo) countRuns(operation string) (int, error) {
	total := 0
	for _, e := range d.rig.EndpointsServing(service) {
		body, err := rig.GetJSON[runsResponse](d.rig, e.Fleet.Addr, "/admin/runs")
		if err != nil {
			return total, err
		}
		total += body.Runs[operation]
	}
	return total, nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func printResult(title, workspace string, r caller.Result) {
	fmt.Printf("%s (%s)\n  %d %s from %s in %s after %d tries, %d generated tokens %s\n",
		title, workspace, r.Code, r.Class, r.VM, r.DoneAt.Sub(r.StartedAt).Round(time.Millisecond),
		r.Attempts, r.Usage.GeneratedTokens, r.Message)
}

func (d *demo) printTimeline(request string) error {
	addr := d.rig.VMs[0].Fleet.OperatorAddr
	t, err := rig.GetJSON[operator.Timeline](d.rig, addr, "/v1/timeline?merge=true&request="+request)
	if err != nil {
		return err
	}
	fmt.Printf("time line of request %s (not reached: %v)\n", request, t.Unreachable)
	for _, e := range t.Events {
		printEvent(e)
	}
	return nil
}

func printEvent(e timeline.Event) {
	outcome := ""
	if e.Code != 0 {
		outcome = e.Code.String()
	}
	at := e.Stamp.Time().UTC().Format("15:04:05.000")
	fmt.Printf("  %s %-18s %-15s %s %s %s %s\n", at, e.VM, e.Kind, e.Peer, e.Endpoint, outcome, e.Detail)
}
