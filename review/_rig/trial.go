package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	timeFormat = "15:04:05.000"
	// startTimeout bounds the start of the deployment.
	startTimeout = 20 * time.Second
	// runTimeout bounds a run.
	runTimeout = 110 * time.Second
	// heartbeat is the interval at which replicas renew their entries.
	heartbeat = 1200 * time.Millisecond
	// gatewayPath and gatewayArgs are the command of the deploy file.
	gatewayPath = "target/gateway"
	gatewayArgs = "serve --platform --settings deploy/gateway.json"
)

// vm is one machine of the system with its gateway process.
type vm struct {
	name, region, ip, settings string
	memoryMB                   int
	process                    *os.Process
	exited                     chan struct{}
	log                        *os.File
	store                      *gate
}

// front is the address for clients.
func (v *vm) front() string { return v.ip + ":8149" }

// member is a replica's process and its entry.
type member struct {
	replicaOptions
	zone string
	// listen is the address of its process, behind the link at addr.
	listen string
	link   *link

	mu      sync.Mutex
	born    int64
	seq     int
	process *os.Process
	exited  chan struct{}
}

// trial is one run of a case.
type trial struct {
	// trouble is unset for the run without the disruption.
	trouble bool
	dir     string
	block   int
	store   *store
	regions []string
	// contact and config are ContactMs and ConfigMs of the settings.
	contact, config time.Duration
	vms             []*vm
	members         []*member

	mu         sync.Mutex
	record     *os.File
	violations []string
	runs       []string
	stopped    chan struct{}
	closeOnce  sync.Once
	launcher   *launcher
	// starting is held while a process is started, so that none starts once stopped is closed.
	starting sync.Mutex
}

func newTrial(folder string, trouble bool) (*trial, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	t := &trial{
		trouble: trouble,
		dir:     dir,
		record:  record,
		contact: 6 * time.Second,
		config:  4 * time.Second,
		stopped: make(chan struct{}),

		launcher: newLauncher(),
	}
	if t.block, err = freeBlock(); err != nil {
		return nil, err
	}
	t.store = newStore()
	t.note("disruption: %v", trouble)
	return t, nil
}

// freeBlock returns the second byte of loopback addresses that nobody listens at.
func freeBlock() (int, error) {
	for block := 100 + os.Getpid()%100; block < 250; block++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:8149", block))
		if err == nil {
			return block, ln.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// note writes a line to the record.
func (t *trial) note(format string, args ...any) {
	t.writeLine(time.Now().Format(timeFormat) + " " + fmt.Sprintf(format, args...))
}

func (t *trial) writeLine(line string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintln(t.record, line)
	if strings.Contains(line, ": runs ") {
		t.runs = append(t.runs, line)
	}
}

// runCount returns the number of runs so far.
func (t *trial) runCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}

// violate notes that the rule was broken.
func (t *trial) violate(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

// runsOf returns the runs of an attempt at replicas of a service; any if it is empty.
func (t *trial) runsOf(attempt, service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, line := range t.runs {
		if strings.Contains(line, " runs "+attempt+" of service "+service) {
			out = append(out, line)
		}
	}
	return out
}

// addReplica starts a replica in a region and registers it.
func (t *trial) addReplica(o replicaOptions, region int) (*member, error) {
	n := len(t.members) + 1
	o.id = fmt.Sprintf("i-%d", n)
	o.addr = fmt.Sprintf("127.%d.%d.%d:7001", t.block, 100+region, n)
	m := &member{
		replicaOptions: o,
		zone:           t.zone(region),
		listen:         fmt.Sprintf("127.%d.%d.%d:7002", t.block, 100+region, n),
	}
	var err error
	if m.link, err = newLink(m.addr, m.listen); err != nil {
		return nil, err
	}
	t.members = append(t.members, m)
	if err := t.startReplica(m); err != nil {
		return nil, err
	}
	go t.beat(m)
	return m, nil
}

// startReplica starts a replica's process, again under the id and address that it had, and writes
// its entry.
func (t *trial) startReplica(m *member) error {
	args := []string{
		"replica", "--id", m.id, "--addr", m.listen, "--service", m.service, "--error-one", fmt.Sprint(m.errorOne),
		"--pieces", fmt.Sprint(m.pieces), "--pause", m.pause.String(),
	}
	if m.unframed {
		args = append(args, "--unframed")
	}
	if m.stream {
		args = append(args, "--stream")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, args...)
	output, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := t.launchReplica(m, cmd); err != nil {
		return err
	}
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			t.writeLine(lines.Text())
		}
	}()
	for end := time.Now().Add(startTimeout); ; time.Sleep(2 * time.Millisecond) {
		born, err := askBorn(m.listen)
		if err == nil {
			m.mu.Lock()
			m.born, m.seq = born, 0
			m.mu.Unlock()
			return t.writeEntry(m)
		}
		if time.Now().After(end) {
			return err
		}
	}
}

func (t *trial) launchReplica(m *member, cmd *exec.Cmd) error {
	t.starting.Lock()
	defer t.starting.Unlock()
	if t.hasStopped() {
		return errStopped
	}
	if err := t.launcher.start(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = cmd.Process, exited
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (t *trial) writeEntry(m *member) error {
	m.mu.Lock()
	m.seq++
	entry := m.entry(m.zone, m.born, m.seq)
	m.mu.Unlock()
	return t.store.put("servers/"+m.id, entry)
}

// beat renews the entry of a replica while its process runs.
func (t *trial) beat(m *member) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-t.stopped:
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		exited := m.exited
		m.mu.Unlock()
		select {
		case <-exited:
		default:
			_ = t.writeEntry(m)
		}
	}
}

func (t *trial) hasStopped() bool {
	select {
	case <-t.stopped:
		return true
	default:
		return false
	}
}

// crash kills a replica's process.
func (m *member) crash() {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	_ = process.Kill()
	<-exited
}

func (t *trial) zone(region int) string { return t.regions[region] + "-a" }

// startVMs starts so many machines in each region and waits until they are ready.
func (t *trial) startVMs(perRegion, memoryMB int) error {
	var seeds []string
	for r := range t.regions {
		seeds = append(seeds, fmt.Sprintf("%q", t.ip(r, 0)+":8144"))
	}
	for r, region := range t.regions {
		for i := range perRegion {
			v := &vm{
				name:     fmt.Sprintf("edge-%s-%d", region, i+1),
				region:   region,
				ip:       t.ip(r, i),
				memoryMB: memoryMB,
			}
			var err error
			if v.store, err = t.store.open(fmt.Sprintf("127.%d.200.%d:0", t.block, len(t.vms)+1)); err != nil {
				return err
			}
			v.settings = filepath.Join(t.dir, v.name+".toml")
			if err := os.WriteFile(v.settings, []byte(t.settingsOf(v, t.zone(r), strings.Join(seeds, ","))), 0o600); err != nil {
				return err
			}
			t.vms = append(t.vms, v)
		}
	}
	for _, v := range t.vms {
		if err := t.startVM(v); err != nil {
			return err
		}
	}
	for _, v := range t.vms {
		if err := t.awaitReady(v); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) ip(region, i int) string { return fmt.Sprintf("127.%d.%d.%d", t.block, 1+region, 1+i) }

// settingsOf returns a machine's settings file, with the figures of the small deployments.
func (t *trial) settingsOf(v *vm, zone, seeds string) string {
	zones := ""
	for r, region := range t.regions {
		zones += fmt.Sprintf("%s = %q\n", t.zone(r), region)
	}
	return fmt.Sprintf(`Node = %q
Role = "gateway"
MachineClass = "edge"
Serves = ["edge","control","directory"]
Ip = %q
Zone = %q
Region = %q
PortRange = [7380,7395]
Seeds = [%s]
Bootstrap = true
HeartbeatMs = %d
[Zones]
%s[Listen]
Front = "%s:8149"
Ready = "%s:8141"
Control = "%s:8144"
Directory = "%s:8143"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
ContactMs = %d
DrainMs = 4000
GraceS = 8
LostSlackMs = 200
ConfigMs = %d
RollbackSlackMs = 250
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 56
ColdOvershoot = 1.5
ColdSlack = 3
EvacuateMs = 5000
ttl_max_s = 5
[Provider]
Addr = %q
form = "read"
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
`, v.name, v.ip, zone, v.region, seeds, heartbeat.Milliseconds(), zones, v.ip, v.ip, v.ip, v.ip, v.memoryMB, t.contact.Milliseconds(), t.config.Milliseconds(), v.store.addr())
}

// errStopped means that the case has ended.
var errStopped = errors.New("the case has ended")

func (t *trial) startVM(v *vm) error {
	t.starting.Lock()
	defer t.starting.Unlock()
	if t.hasStopped() {
		return errStopped
	}
	log, err := os.OpenFile(filepath.Join(t.dir, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(gatewayPath, strings.Fields(gatewayArgs)...)
	cmd.Env = append(os.Environ(), "FUCHSIANOTCH_NODE_FILE="+v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := t.launcher.start(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.process, v.exited, v.log = cmd.Process, exited, log
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (t *trial) awaitReady(v *vm) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ip + ":8141/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

func (t *trial) signal(v *vm, s syscall.Signal) {
	t.note("signal %v to %s", s, v.name)
	_ = v.process.Signal(s)
}

// closeOnSignal ends all processes if the case is to stop early, or takes too long.
func (t *trial) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-t.stopped:
		return
	case <-signals:
	case <-time.After(runTimeout):
	}
	t.note("not run: stopped early")
	t.close()
	os.Exit(exitNotRun)
}

// close ends all processes. RIG_KEEP keeps their logs.
func (t *trial) close() {
	t.closeOnce.Do(func() {
		t.starting.Lock()
		defer t.starting.Unlock()
		close(t.stopped)
		for _, v := range t.vms {
			if v.process != nil {
				_ = v.process.Signal(syscall.SIGCONT)
				_ = v.process.Kill()
				<-v.exited
				_ = v.log.Close()
			}
		}
		for _, m := range t.members {
			_ = m.link.ln.Close()
			if m.process != nil {
				m.crash()
			}
		}
		for _, g := range t.store.gates {
			_ = g.ln.Close()
		}
		_ = t.record.Close()
		if os.Getenv("RIG_KEEP") == "" {
			_ = os.RemoveAll(t.dir)
		} else {
			fmt.Println("logs in", t.dir)
		}
	})
}
