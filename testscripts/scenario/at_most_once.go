package scenario

import (
	"context"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

// bookingState holds the background bookings and storms of a script.
type bookingState struct {
	pending map[string]chan caller.Result
	cancels map[string]context.CancelFunc
	storms  map[string]*storm
}

func put[T any](m map[string]T, name string, value T) map[string]T {
	if m == nil {
		m = make(map[string]T)
	}
	m[name] = value
	return m
}

// atMostOnceCommands returns the commands that test at-most-once execution.
func atMostOnceCommands() map[string]command {
	return map[string]command{
		"ask":      ask,
		"answer":   answer,
		"leave":    leave,
		"running":  running,
		"inflight": inFlight,
		"stick":    stick,
		"unstick":  unstick,
		"storm":    startStorm,
		"stormed":  endStorm,
		"share":    share,
	}
}

// ask NAME WORKSPACE OPERATION [options of book] sends a booking in the background.
func ask(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 3, "ask NAME WORKSPACE OPERATION [options of book]")
	c := w.newCaller(ts, args[1], args)
	done := make(chan caller.Result, 1)
	w.bookings.pending = put(w.bookings.pending, args[0], done)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	w.bookings.cancels = put(w.bookings.cancels, args[0], cancel)
	go func() {
		defer cancel()
		done <- w.send(ctx, c, args[2], args)
	}()
}

// notRunRetryInterval is the interval between attempts with the option sure.
const notRunRetryInterval = 50 * time.Millisecond

// send sends a booking. With the option sure it retries while the result is not
// run, as a VM that has just started may reject calls by its limits.
func (w *deployment) send(ctx context.Context, c *caller.Caller, operation string, args []string) caller.Result {
	for {
		r := c.Service(ctx, w.booking(operation, option(args, "ticket", "")))
		if r.Class != result.ClassNotRun || !slices.Contains(args, "sure") || ctx.Err() != nil {
			return r
		}
		time.Sleep(notRunRetryInterval)
	}
}

// leave NAME cancels a background booking on the caller's side.
func leave(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "leave NAME")
	cancel := w.bookings.cancels[args[0]]
	if cancel == nil {
		ts.Fatalf("no background booking %q", args[0])
	}
	cancel()
}

// answer NAME waits for the result of a background booking and prints it.
func answer(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "answer NAME")
	done := w.bookings.pending[args[0]]
	if done == nil {
		ts.Fatalf("no background booking %q", args[0])
	}
	printResult(ts, <-done)
}

// running OPERATION waits until a service has started an operation.
func running(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "running OPERATION")
	ts.Check(rig.Await(awaitTimeout, args[0]+" runs", func() bool {
		total, err := w.countRuns()
		return err == nil && total[args[0]] > 0
	}))
}

// inflight VM N waits until a VM has exactly N calls in flight.
func inFlight(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "inflight VM N")
	want := number(ts, []string{"n=" + args[1]}, "n", "")
	vm := w.parseVMs(ts, args[0])[0]
	ts.Check(rig.Await(awaitTimeout, strings.Join(args, " ")+" in flight", func() bool {
		s, err := w.rig.Status(vm)
		return err == nil && s.Load.InFlight == want
	}))
}

// unreachableListener never accepts: its backlog is full, so the kernel drops
// further connection requests.
type unreachableListener struct {
	fd      int
	addr    string
	fillers []net.Conn
}

const (
	// fillDialTimeout bounds a dial while the backlog has room.
	fillDialTimeout = 300 * time.Millisecond
	maxFillers      = 8
)

func newUnreachableListener() (*unreachableListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	s := &unreachableListener{
		fd: fd,
	}
	if err := s.listen(); err != nil {
		s.close()
		return nil, err
	}
	s.fill()
	return s, nil
}

// fill opens connections until the backlog is full.
func (s *unreachableListener) fill() {
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", s.addr, fillDialTimeout)
		if err != nil {
			return
		}
		s.fillers = append(s.fillers, conn)
	}
}

func (s *unreachableListener) listen() error {
	if err := syscall.Bind(s.fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(s.fd, 0); err != nil {
		return err
	}
	name, err := syscall.Getsockname(s.fd)
	if err != nil {
		return err
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return syscall.EAFNOSUPPORT
	}
	s.addr = (&net.TCPAddr{IP: bound.Addr[:], Port: bound.Port}).String()
	return nil
}

func (s *unreachableListener) close() {
	for _, conn := range s.fillers {
		_ = conn.Close()
	}
	_ = syscall.Close(s.fd)
}

// stick REGION [vm=LIST] publishes an address for the region's services that never
// accepts connections, so calls to them block while connecting.
func stick(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "stick REGION")
	s, err := newUnreachableListener()
	ts.Check(err)
	ts.Defer(s.close)
	for _, e := range w.rig.EndpointsServing(w.service()) {
		if e.Fleet.Region == args[0] {
			e.Fleet.Addr = s.addr
		}
	}
	w.relist(ts, args)
}

// unstick [vm=LIST] restores the addresses of all endpoints.
func unstick(w *deployment, ts *testscript.TestScript, args []string) {
	for _, e := range w.rig.Endpoints {
		e.Fleet.Addr = e.ListenAddrs.Addr
	}
	w.relist(ts, args)
}

// relist publishes the fleet list and waits until all running VMs, or those of
// vm=LIST, have received it.
func (w *deployment) relist(ts *testscript.TestScript, args []string) {
	vms := w.rig.VMs
	if list := option(args, "vm", ""); list != "" {
		vms = w.parseVMs(ts, list)
	}
	vms = slices.DeleteFunc(slices.Clone(vms), func(vm *rig.VM) bool { return !vm.Alive() })
	before := make(map[string]uint64)
	for _, vm := range vms {
		s, err := w.rig.Status(vm)
		ts.Check(err)
		before[vm.Fleet.ID] = s.ListRevision
	}
	ts.Check(w.rig.PublishFleetList())
	ts.Check(rig.Await(awaitTimeout, "fleet list on every VM", func() bool {
		for _, vm := range vms {
			if s, err := w.rig.Status(vm); err != nil || s.ListRevision <= before[vm.Fleet.ID] {
				return false
			}
		}
		return true
	}))
}

// share FAULT NAME prints the share of a load's calls with an unknown outcome.
func share(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "share FAULT NAME")
	l := w.loads[args[1]]
	if l == nil {
		ts.Fatalf("no load %q", args[1])
	}
	c := l.counts
	printf(ts, "fault=%s calls=%d done=%d not_run=%d unknown=%d share=%.2f%%\n", args[0], c.Sent, c.Done, c.NotRun, c.Unknown, percentOf(c.Unknown, c.Sent))
}

func percentOf(part, whole int) float64 {
	const hundred = 100
	return hundred * float64(part) / float64(max(whole, 1))
}

// timed sends a call and returns its outcome with start and end times.
func timed(send func() caller.Result) attempt {
	beganAt := time.Now()
	r := send()
	t := attempt{
		class:   r.Class,
		code:    r.Code,
		beganAt: beganAt,
		endedAt: time.Now(),
	}
	if r.Class == result.ClassDone {
		t.text = r.Text
	}
	return t
}
