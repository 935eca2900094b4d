package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gatewayPath is where the build of the deploy file puts the gateway; the run line of the
// deploy file starts it from the repository's root.
const gatewayPath = "target/gateway"

// Names of the deployment.
const (
	region      = "addis"
	zone        = "addis-a"
	otherZone   = "hawassa-a"
	otherRegion = "hawassa"
	host        = "club.example"
	service     = "caddie"
)

// memoryMB is the memory limit of a machine, as in the sites' sheets.
const memoryMB = 284

// bed is a small deployment on loopback addresses.
type bed struct {
	start   time.Time
	dir     string
	store   *store
	servers []*http.Server
	vms     []*vm
	stopped context.CancelFunc
	ctx     context.Context

	mu     sync.Mutex
	record *os.File
	runs   []runRecord
}

// runRecord is a request that a replica began to work on.
type runRecord struct {
	replica string
	attempt string
	method  string
	target  string
}

func newBed(recordPath string) (*bed, error) {
	if _, err := os.Stat(gatewayPath); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		start:  time.Now(),
		dir:    dir,
		record: record,
		store:  newStore(),
	}
	b.ctx, b.stopped = context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.store.addr = ln.Addr().String()
	server := &http.Server{Handler: b.store, ReadHeaderTimeout: 5 * time.Second}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(ln) }()
	return b, nil
}

// logf writes a line to the record, with the milliseconds since the start.
func (b *bed) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%7d ms  %s\n", time.Since(b.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// close ends all processes of the bed and removes its folder.
func (b *bed) close() {
	for _, v := range b.vms {
		v.kill()
	}
	b.stopped()
	for _, s := range b.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// addRun records that a replica began to work on a request.
func (b *bed) addRun(r runRecord) {
	b.mu.Lock()
	b.runs = append(b.runs, r)
	b.mu.Unlock()
	b.logf("ran     replica %s: attempt %s, %s %s", r.replica, r.attempt, r.method, r.target)
}

// runsOf returns the runs of a client attempt.
func (b *bed) runsOf(attempt string) []runRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []runRecord
	for _, r := range b.runs {
		if r.attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}

// vm is one gateway process.
type vm struct {
	name      string
	front     string
	ready     string
	directory string
	cmd       *exec.Cmd
	done      chan struct{}
}

// kill sends SIGKILL and waits for the end.
func (v *vm) kill() {
	_ = v.cmd.Process.Signal(syscall.SIGKILL)
	<-v.done
}

// rssMB returns the resident memory of the process in MB; zero once it has ended.
func (v *vm) rssMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / (1 << 20)
}

// startVMs starts a gateway process in each of the given zones and waits until they are ready.
func (b *bed) startVMs(zones ...string) error {
	count := len(zones)
	var ips, seeds []string
	net3 := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256))
	ports := make([][4]int, count)
	for i := range count {
		ip := fmt.Sprintf("%s.%d", net3, i+1)
		ips = append(ips, ip)
		for j := range ports[i] {
			port, err := freePort(ip)
			if err != nil {
				return err
			}
			ports[i][j] = port
		}
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, ports[i][2])))
		}
	}
	for i, ip := range ips {
		name := fmt.Sprintf("edge-%s-%d", zones[i], i+1)
		path := filepath.Join(b.dir, name+".toml")
		text := settingsText(name, ip, zones[i], ports[i], strings.Join(seeds, ","), b.store.addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		v := &vm{
			name:      name,
			front:     fmt.Sprintf("%s:%d", ip, ports[i][0]),
			ready:     fmt.Sprintf("%s:%d", ip, ports[i][1]),
			directory: fmt.Sprintf("%s:%d", ip, ports[i][3]),
			done:      make(chan struct{}),
		}
		v.cmd = exec.Command(gatewayPath, "serve", "--platform", "--settings", "deploy/gateway.json")
		v.cmd.SysProcAttr = &syscall.SysProcAttr{
			// Ends the gateway also where this process is killed.
			Pdeathsig: syscall.SIGKILL,
		}
		v.cmd.Env = []string{
			"PATH=" + os.Getenv("PATH"),
			"HOME=" + os.Getenv("HOME"),
			"FUCHSIANOTCH_NODE_FILE=" + path,
		}
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			out, err := os.Create(filepath.Join(dir, name+".log"))
			if err != nil {
				return err
			}
			v.cmd.Stdout = out
			v.cmd.Stderr = out
		}
		if err := v.cmd.Start(); err != nil {
			return err
		}
		go func() {
			_ = v.cmd.Wait()
			close(v.done)
		}()
		b.vms = append(b.vms, v)
		b.logf("started %s, front %s", name, v.front)
	}
	for _, v := range b.vms {
		if err := b.awaitReady(v); err != nil {
			return err
		}
	}
	// Members find each other and the endpoints are probed.
	time.Sleep(2 * time.Second)
	return nil
}

func (b *bed) awaitReady(v *vm) error {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		resp, err := client.Get("http://" + v.ready + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				b.logf("ready   %s", v.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New(v.name + " did not become ready in 10 s")
}

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// settingsText is the platform's settings file of one machine, with the bounds and limits of
// the sites' sheets.
func settingsText(name, ip, ownZone string, ports [4]int, seeds, storeAddr string) string {
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
InTolerance = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","platform"]
[Zones]
%s = %q
%s = %q
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
Directory = "%s:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 1
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 6000
AckMs = 8000
CatchupS = 4
DrainMs = 4000
GraceS = 8
LostSlackMs = 200
ConfigMs = 4000
RollbackSlackMs = 250
UnsettledSlackMs = 10000
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 56
ColdOvershoot = 1.5
ColdSlack = 3
EvacuateMs = 5000
RecoveryS = 12
PassMs = 800
ReuseWindowS = 10
ttl_max_s = 5
[Provider]
Addr = %q
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`, name, ip, ownZone, regions[ownZone], seeds, zone, region, otherZone, otherRegion,
		ip, ports[0], ip, ports[1], ip, ports[2], ip, ports[3], memoryMB, storeAddr)
}

// regions holds the region of each zone.
var regions = map[string]string{
	zone:      region,
	otherZone: otherRegion,
}
