package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
	"github.com/fuchsianotch/fuchsianotch/standin/store"
)

// The services of a soak: engines that stream, and a plain service.
const (
	serviceEngine = "engine"
	servicePlain  = "plain"
)

// Bounds that the settings give to the processes, and that are checked.
const (
	retryRatio   = 0.2
	retrySlack   = 56
	retryWindow  = 10 * time.Second
	coldBound    = 1.8*1.5 + 3
	coldFor      = 3 * time.Second
	graceFor     = 8 * time.Second
	lapsesAfter  = 3600 * time.Millisecond
	restartAfter = 500 * time.Millisecond
)

// Options set up a run.
type Options struct {
	// Gateway is the built program, Dir a folder for settings and logs.
	Gateway string
	Dir     string
	Seed    uint64
	// Regions, VMs and Engines are the numbers of regions, of VMs and of engines in each.
	Regions, VMs, Engines int
	// Clients send requests one after the other each.
	Clients int
	// For is how long faults are injected.
	For time.Duration
	// Out gets one line for each fault.
	Out io.Writer
	// Without names faults that are not injected.
	Without []string
	// Crashing sends calls that crash replicas, in place of random faults.
	Crashing bool
	// Limited lets replicas name limits.
	Limited bool
	// Plot is a file for an SVG of the run; empty means none.
	Plot string
}

// world is the deployment under test with its stand-ins.
type world struct {
	Options
	rand     *rand.Rand
	start    time.Time
	ledger   *ledger
	store    *store.Store
	storeLn  net.Listener
	vms      []*vm
	mu       sync.Mutex
	replicas []*servingReplica
	nextID   int
	version  int
	// faultShare is the part of requests that replicas fail.
	faultShare float64
}

// vm is one gateway with the links to and from it.
type vm struct {
	name, region, ip string
	seeds            []string
	storeLink        *link
	frontLink        *link
	settings         string
	log              *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// frozen and stopping keep a second fault off the process.
	busy bool
}

type servingReplica struct {
	*replica.Replica
	region string
	gone   bool
}

func newWorld(o Options) (*world, error) {
	w := &world{
		Options: o,
		rand:    rand.New(rand.NewPCG(o.Seed, o.Seed)),
		start:   time.Now(),
		ledger:  newLedger(),
		store:   store.New(),
		version: 1,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeLn = ln
	go func() { _ = w.store.Serve(context.Background(), ln) }()
	for r := range o.Regions {
		for range o.Engines {
			if err := w.addReplica(serviceEngine, regionName(r), 0); err != nil {
				return nil, err
			}
		}
		if err := w.addReplica(servicePlain, regionName(r), 0); err != nil {
			return nil, err
		}
	}
	if err := w.publishTable(); err != nil {
		return nil, err
	}
	return w, w.planVMs()
}

func regionName(r int) string     { return fmt.Sprintf("r%d", r) }
func zoneOf(region string) string { return region + "-a" }

// planVMs gives each VM a loopback address of its own, so that its ports are free.
func (w *world) planVMs() error {
	block := 1 + os.Getpid()%200
	for r := range w.Regions {
		for i := range w.VMs {
			ip := fmt.Sprintf("127.%d.%d.%d", block, 1+r+int(w.Seed%40)*6, 1+i)
			front, err := newLink(ip + ":8149")
			if err != nil {
				return err
			}
			storeLink, err := newLink(w.storeLn.Addr().String())
			if err != nil {
				return err
			}
			v := &vm{
				name:      fmt.Sprintf("%s-%d", regionName(r), i),
				region:    regionName(r),
				ip:        ip,
				frontLink: front,
				storeLink: storeLink,
				settings:  filepath.Join(w.Dir, fmt.Sprintf("%s-%d.toml", regionName(r), i)),
			}
			v.log, err = os.Create(filepath.Join(w.Dir, v.name+".log"))
			if err != nil {
				return err
			}
			w.vms = append(w.vms, v)
		}
	}
	for _, v := range w.vms {
		for r := range w.Regions {
			v.seeds = append(v.seeds, w.vms[r*w.VMs].ip+":8144")
		}
		if err := w.writeSettings(v); err != nil {
			return err
		}
		if err := w.startVM(v); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the platform's settings file of a VM.
func (w *world) writeSettings(v *vm) error {
	var zones strings.Builder
	for r := range w.Regions {
		fmt.Fprintf(&zones, "%q = %q\n", zoneOf(regionName(r)), regionName(r))
	}
	text := fmt.Sprintf(`Node = %q
Ip = %q
Zone = %q
Region = %q
Seeds = ["%s"]
HeartbeatMs = 1200
[Zones]
%s[Listen]
Front = "%s:8149"
Ready = "%s:8141"
Control = "%s:8144"
Directory = "%s:8143"
[Limits]
MemoryMb = 284
[Bounds]
ContactMs = 6000
DrainMs = 4000
GraceS = %d
RetryRatio = %g
RetryWindowS = %d
RetrySlack = %d
QuotaWindowS = %g
QuotaOvershoot = %g
QuotaSlack = %g
ColdOvershoot = 1.5
ColdSlack = 3
ttl_max_s = 5
[Provider]
Addr = %q
`, v.name, v.ip, zoneOf(v.region), v.region, strings.Join(v.seeds, `", "`), zones.String(), v.ip, v.ip, v.ip, v.ip,
		int(graceFor.Seconds()), retryRatio, int(retryWindow.Seconds()), retrySlack, limitWindow.Seconds(), limitOvershoot, limitSlack, v.storeLink.addr())
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

func (w *world) startVM(v *vm) error {
	cmd := exec.Command(w.Gateway, "serve", "--platform")
	cmd.Env = append(os.Environ(), "FUCHSIANOTCH_NODE_FILE="+v.settings)
	cmd.Stdout = v.log
	cmd.Stderr = v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd = cmd
	v.exited = exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this soak started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

func (v *vm) await(within time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// take marks a VM as busy with a fault; it is false when it is already.
func (v *vm) take() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy {
		return false
	}
	v.busy = true
	return true
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
}

func (w *world) addReplica(service, region string, cold time.Duration) error {
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("i-%d", w.nextID)
	w.mu.Unlock()
	return w.startReplica(id, service, region, "127.0.0.1:0", cold)
}

func (w *world) startReplica(id, service, region, addr string, cold time.Duration) error {
	r, err := replica.Start(replica.Options{
		ID:             id,
		Service:        service,
		Zone:           zoneOf(region),
		Events:         12,
		EventEvery:     25 * time.Millisecond,
		ProcessingTime: 10 * time.Millisecond,
		Fault:          w.drawFault,
		OnRequest:      w.ledger.ran,
		OnProbe:        w.ledger.asked,
		CrashOn:        crashes,
		OnCrash:        w.crashed,
	}, addr)
	if err != nil {
		return err
	}
	if cold > 0 {
		r.SetCold(time.Now().Add(cold))
		w.ledger.cold(id, time.Now(), time.Now().Add(cold))
	}
	w.mu.Lock()
	w.replicas = append(w.replicas, &servingReplica{Replica: r, region: region})
	w.mu.Unlock()
	_, err = w.store.Put("servers/"+id, r.NextEntry("ready", cold))
	return err
}

func (w *world) drawFault() replica.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if rand.Float64() >= w.faultShare {
		return replica.FaultNone
	}
	return replica.Fault(1 + rand.IntN(int(replica.FaultCount)-1))
}

// publishTable publishes the table of the present version: a route of its own
// beside those that stay.
func (w *world) publishTable() error {
	route := func(name, prefix, kind, service string, attempts int, resumable bool, homes ...string) map[string]any {
		return map[string]any{
			"Name": name, "Host": "soak.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 6000, "SloMs": 1000,
			"Priority": 1, "Service": service, "MaxAttempts": attempts, "Resumable": resumable, "HomeRegions": homes,
		}
	}
	routes := []map[string]any{
		route("resume", "/stream/resume/", "streaming", serviceEngine, 2, true),
		route("once", "/stream/once/", "streaming", serviceEngine, 1, false),
		route("get", "/get/", "idempotent", servicePlain, 2, false),
		route("post", "/post/", "non_idempotent", servicePlain, 1, false),
		route("home", "/home/", "idempotent", servicePlain, 2, false, regionName(0)),
		route("version", versionPrefix(w.version), "idempotent", servicePlain, 2, false),
		route("public", "/public/", "idempotent", servicePlain, 2, false),
	}
	routes[len(routes)-1]["Public"] = true
	_, err := w.store.Put("op/config", map[string]any{
		"Version": w.version,
		"Routes":  routes,
		"Services": []map[string]any{
			{"Name": serviceEngine, "HealthPath": "/health", "MaxConns": 400, "ColdS": 3, "ColdPerS": 1.8, "Engine": map[string]any{"Slots": 64, "KvCapacity": 300000, "Stride": 9}},
			{"Name": servicePlain, "HealthPath": "/health", "MaxConns": 400},
		},
		"Tenants": workspaceTable(w.version),
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return err
}

func versionPrefix(version int) string {
	return fmt.Sprintf("/v%d/", version)
}

// close ends what the soak started, by its ids.
func (w *world) close() {
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.await(5 * time.Second)
		v.frontLink.close()
		v.storeLink.close()
		_ = v.log.Close()
	}
	for _, r := range w.replicas {
		r.Crash()
	}
	_ = w.storeLn.Close()
}

var errNotReady = errors.New("the deployment did not become ready")
