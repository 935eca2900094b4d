package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
	"github.com/fuchsianotch/fuchsianotch/standin/store"
)

// Services of the deployment: a streaming engine and a plain service.
const (
	serviceEngine = "engine"
	servicePlain  = "plain"
)

// Bounds that are set in the VMs' settings and checked by the ledger.
const (
	defaultRetryRatio        = 0.2
	defaultRetrySlack        = 56
	retryWindow              = 10 * time.Second
	maxColdRequestsPerSecond = 1.8*1.5 + 3
	warmUpTime               = 3 * time.Second
	stopGracePeriod          = 8 * time.Second
	entryTTL                 = 3600 * time.Millisecond
	restartDelay             = 500 * time.Millisecond
	defaultEventInterval     = 25 * time.Millisecond
	defaultProcessingTime    = 10 * time.Millisecond
	// releaseSize is the number of replicas started before the next release begins.
	releaseSize = 16
)

// Options configure a run.
type Options struct {
	// Gateway is the path of the gateway binary, Dir the directory for settings and logs.
	Gateway string
	Dir     string
	Seed    uint64
	// Regions is the number of regions; VMs and Engines are counts per region.
	Regions, VMs, Engines int
	// Clients is the number of concurrent clients, each with one request in flight.
	Clients int
	// FaultDuration is the duration of fault injection.
	FaultDuration time.Duration
	// Schedule receives one line per injected fault.
	Schedule io.Writer
	// ExcludedFaults names faults to skip.
	ExcludedFaults []string
	// CrashingCalls sends calls that crash replicas, instead of random faults.
	CrashingCalls bool
	// CrashingParts sends calls with a part that crashes replicas, instead of random faults.
	CrashingParts bool
	// EndpointLimits has replicas announce rate limits, before and during random faults.
	EndpointLimits bool
	// EndpointNotices has replicas say in their answers that they leave, or rest, before the
	// random faults.
	EndpointNotices bool
	// Versions is the number of software versions that engines have side by side; zero means
	// one. EventInterval is the time between two events of a stream; zero means a default.
	Versions      int
	EventInterval time.Duration
	// FailurePause is how much longer clients wait after a request that wasn't served.
	FailurePause time.Duration
	// RetryRatio is the number of retries allowed per request, RetrySlack that of further ones
	// by all VMs; zero means the defaults.
	RetryRatio float64
	RetrySlack int
	// LateRefusals has replicas send refusals twice, before the random faults.
	LateRefusals bool
	// RetryBursts has all replicas fail in two bursts with all VMs killed between, before the
	// random faults.
	RetryBursts bool
	// CrashTogether has a quarter of the engines crash and return cold at once, before the
	// random faults.
	CrashTogether bool
	// VersionJoins has engines of a later version join while VMs stand still.
	VersionJoins bool
	// OddEntries has odd entries written among those of the engines.
	OddEntries bool
	// StreamVersions has engines and VMs end while streams are under way, before the random
	// faults.
	StreamVersions bool
	// StoreRestores has the store come back from older copies, before the random faults.
	StoreRestores bool
	// Stops has VMs stop in series that overlap, in place of random faults.
	Stops bool
	// OverlappingStops has, beside Stops, regions without endpoints of a service and calls that last
	// as long as a stop. OnceLimit bounds calls that may run once; zero means their deadline.
	OverlappingStops bool
	OnceLimit        time.Duration
	// LargeBodies is the number of clients that send bodies of the largest size while their region
	// is evacuated, before the random faults. ProcessingTime is how long replicas of the plain
	// service take; zero means a default.
	LargeBodies    int
	ProcessingTime time.Duration
	// MemoryMB is the memory of each VM; zero means a default.
	MemoryMB int
	// EndlessAnswers is the name of the answers without end that half of the engines send; empty
	// for none. EndlessClients is the number of clients that call only engines then.
	EndlessAnswers string
	EndlessClients int
	// Plot is the path of an SVG plot of the run; empty disables it.
	Plot string
}

// testbed is the deployment under test, with stand-ins for its store and replicas.
type testbed struct {
	Options
	rand     *rand.Rand
	start    time.Time
	ledger   *ledger
	store    *store.Store
	storeLn  net.Listener
	vms      []*vm
	mu       sync.Mutex
	replicas []*trackedReplica
	nextID   int
	version  int
	// faultRate is the probability that a replica fails a request.
	faultRate float64
	// onlyFault is the fault of these requests; FaultNone means a random one.
	onlyFault replica.Fault
	// versionJoined is set once engines that start are of a later version than a single one.
	versionJoined bool
	// errorRate is the share of requests that replicas run and answer with an error.
	errorRate float64
	// mostMemory is the most memory of each VM in MB while it was watched.
	mostMemory []int
}

// trackedReplica is a replica with its region and whether it is crashed, draining or
// otherwise removed from fault selection.
type trackedReplica struct {
	*replica.Replica
	region  string
	retired bool
}

// newTestbed starts the store, the replicas and the VMs, and publishes the configuration.
func newTestbed(o Options) (*testbed, error) {
	o.RetryRatio = cmp.Or(o.RetryRatio, defaultRetryRatio)
	o.RetrySlack = cmp.Or(o.RetrySlack, defaultRetrySlack)
	o.MemoryMB = cmp.Or(o.MemoryMB, defaultMemoryMB)
	tb := &testbed{
		Options: o,
		rand:    rand.New(rand.NewPCG(o.Seed, o.Seed)),
		start:   time.Now(),
		ledger:  newLedger(o.RetryRatio, o.RetrySlack, o.MemoryMB),
		store:   store.New(),
		version: 1,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	tb.storeLn = ln
	go func() { _ = tb.store.Serve(context.Background(), ln) }()
	for r := range o.Regions {
		for range tb.enginesIn(r) {
			if err := tb.addReplica(serviceEngine, regionName(r), 0); err != nil {
				return nil, err
			}
		}
		if o.OverlappingStops && r == regionWithoutPlain {
			continue
		}
		if err := tb.addReplica(servicePlain, regionName(r), 0); err != nil {
			return nil, err
		}
	}
	if err := tb.publishConfiguration(); err != nil {
		return nil, err
	}
	return tb, tb.startVMs()
}

func regionName(r int) string     { return fmt.Sprintf("r%d", r) }
func zoneOf(region string) string { return region + "-a" }

// testbeds counts those of this process, whose VMs have addresses of their own.
var testbeds atomic.Uint32

// maxTestbeds is the number of testbeds after which addresses are used again.
const maxTestbeds = 40

// startVMs starts the VMs, each on a loopback address of its own to avoid port conflicts.
func (tb *testbed) startVMs() error {
	block := 1 + os.Getpid()%200
	firstRegion := 1 + int(testbeds.Add(1)%maxTestbeds)*6
	for r := range tb.Regions {
		for i := range tb.VMs {
			ip := fmt.Sprintf("127.%d.%d.%d", block, firstRegion+r, 1+i)
			front, err := newLink(ip + ":8149")
			if err != nil {
				return err
			}
			storeLink, err := newLink(tb.storeLn.Addr().String())
			if err != nil {
				return err
			}
			v := &vm{
				name:      fmt.Sprintf("%s-%d", regionName(r), i),
				region:    regionName(r),
				ip:        ip,
				frontLink: front,
				storeLink: storeLink,
				settings:  filepath.Join(tb.Dir, fmt.Sprintf("%s-%d.toml", regionName(r), i)),
			}
			v.log, err = os.Create(filepath.Join(tb.Dir, v.name+".log"))
			if err != nil {
				return err
			}
			tb.vms = append(tb.vms, v)
		}
	}
	for _, v := range tb.vms {
		for r := range tb.Regions {
			v.gossipSeeds = append(v.gossipSeeds, tb.vms[r*tb.VMs].ip+":8144")
		}
		if err := tb.writeSettings(v); err != nil {
			return err
		}
		if err := tb.startVM(v); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes a VM's settings file in the platform's format.
func (tb *testbed) writeSettings(v *vm) error {
	var zones strings.Builder
	for r := range tb.Regions {
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
MemoryMb = %d
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
`, v.name, v.ip, zoneOf(v.region), v.region, strings.Join(v.gossipSeeds, `", "`), zones.String(), v.ip, v.ip, v.ip, v.ip,
		tb.MemoryMB, int(stopGracePeriod.Seconds()), tb.RetryRatio, int(retryWindow.Seconds()), tb.RetrySlack, quotaWindow.Seconds(), quotaOvershoot, quotaSlack, v.storeLink.addr())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return os.WriteFile(v.ownSettings(), fmt.Appendf(nil, "{\"metrics_port\": %d}\n", metricsPort), 0o600)
}

// metricsPort is the port at which VMs serve metrics and explanations of routes.
const metricsPort = 9464

// ownSettings is the path of the VM's settings that are not the platform's.
func (v *vm) ownSettings() string {
	return v.settings + ".json"
}

// laterVersion is that of engines which join those of a single version.
const laterVersion = "v2"

// versionOf returns the software version of a replica, which it keeps over restarts. Later
// replicas have later versions, as in releases that overlap.
func (tb *testbed) versionOf(id string) string {
	if tb.Versions < 2 {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		if tb.versionJoined {
			return laterVersion
		}
		return "v1"
	}
	var number int
	_, _ = fmt.Sscanf(id, "i-%d", &number)
	release := number / releaseSize
	return fmt.Sprintf("v%d", release+number%tb.Versions)
}

// addReplica starts a replica under a new ID, cold for the given duration.
func (tb *testbed) addReplica(service, region string, cold time.Duration) error {
	tb.mu.Lock()
	tb.nextID++
	id := fmt.Sprintf("i-%d", tb.nextID)
	tb.mu.Unlock()
	return tb.startReplica(id, service, region, "127.0.0.1:0", cold)
}

// startReplica starts a replica under a given ID and address and registers it in the store.
func (tb *testbed) startReplica(id, service, region, addr string, cold time.Duration) error {
	r, err := replica.Start(replica.Options{
		ID:             id,
		Service:        service,
		Zone:           zoneOf(region),
		Version:        tb.versionOf(id),
		Events:         streamEvents,
		EventEvery:     cmp.Or(tb.EventInterval, defaultEventInterval),
		ProcessingTime: cmp.Or(tb.ProcessingTime, defaultProcessingTime),
		Fault:          tb.randomFault,
		OnRequest:      tb.ledger.recordRun,
		OnEnd:          tb.ledger.recordRunEnd,
		OnProbe:        tb.ledger.recordProbe,
		CrashOn:        crashPoint,
		HarmfulPart:    harmfulPart,

		EndsWithConnection: endsWithConnection,

		Endless: tb.endlessAnswer(id, service),

		OnCrash: tb.replaceCrashed,
	}, addr)
	if err != nil {
		return err
	}
	if cold > 0 {
		r.SetCold(time.Now().Add(cold))
		tb.ledger.recordCold(id, time.Now(), time.Now().Add(cold))
	}
	tb.mu.Lock()
	tb.replicas = append(tb.replicas, &trackedReplica{Replica: r, region: region})
	tb.mu.Unlock()
	_, err = tb.store.Put("servers/"+id, r.NextEntry("ready", cold))
	return err
}

// randomFault picks a fault for one request with probability faultRate.
func (tb *testbed) randomFault() replica.Fault {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if rand.Float64() < tb.errorRate {
		return replica.FaultError
	}
	if rand.Float64() >= tb.faultRate {
		return replica.FaultNone
	}
	if tb.onlyFault != replica.FaultNone {
		return tb.onlyFault
	}
	return replica.Fault(1 + rand.IntN(int(replica.FaultCount)-1))
}

// publishConfiguration publishes the current configuration version: the permanent routes
// and one route that only this version has.
func (tb *testbed) publishConfiguration() error {
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
		route("version", versionPrefix(tb.version), "idempotent", servicePlain, 2, false),
		route("slow", slowPath, "non_idempotent", servicePlain, 1, false),
		route("public", "/public/", "idempotent", servicePlain, 2, false),
	}
	routes[len(routes)-2]["TimeoutMs"] = 20000
	routes[len(routes)-1]["Public"] = true
	if tb.OverlappingStops {
		routes[0]["TimeoutMs"] = 20000
		routes[1]["TimeoutMs"] = 20000
	}
	_, err := tb.store.Put("op/config", map[string]any{
		"Version": tb.version,
		"Routes":  routes,
		"Services": []map[string]any{
			{"Name": serviceEngine, "HealthPath": "/health", "MaxConns": 400, "ColdS": 3, "ColdPerS": 1.8, "Engine": map[string]any{"Slots": 64, "KvCapacity": 300000, "Stride": replica.TokensPerEvent}},
			{"Name": servicePlain, "HealthPath": "/health", "MaxConns": 400},
		},
		"Tenants": workspaceTable(tb.version),
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return err
}

func versionPrefix(version int) string {
	return fmt.Sprintf("/v%d/", version)
}

// close kills the VMs, crashes the replicas and closes the links and the store.
func (tb *testbed) close() {
	for _, v := range tb.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.waitExit(5 * time.Second)
		v.frontLink.close()
		v.storeLink.close()
		_ = v.log.Close()
	}
	for _, r := range tb.replicas {
		r.Crash()
	}
	_ = tb.storeLn.Close()
}

var errNotReady = fmt.Errorf("deployment not ready within %v", readyTimeout)
