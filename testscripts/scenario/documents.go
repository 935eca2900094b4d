package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

// publishedBucket is a contract bucket with its key and revision.
type publishedBucket struct {
	key      string
	revision uint64
	bucket   contract.Bucket
}

// platformValue is the platform's response to a read.
type platformValue struct {
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// bucketOf reads the published bucket that contains a workspace's contract.
func (w *deployment) bucketOf(ts *testscript.TestScript, workspace string) publishedBucket {
	for i := 0; ; i++ {
		key := contract.KeyBucketPrefix + strconv.Itoa(i)
		value := w.readValue(ts, key)
		bucket, problem := jsonc.Decode[contract.Bucket](key, []byte(value.Value))
		if problem != nil {
			ts.Fatalf("%s: %v", key, problem)
		}
		if contract.BucketOf(workspace, bucket.Buckets) == i {
			return publishedBucket{
				key:      key,
				revision: value.Revision,
				bucket:   *bucket,
			}
		}
	}
}

// readValue reads a value from the platform and retries on errors, such as rate
// limiting.
func (w *deployment) readValue(ts *testscript.TestScript, key string) platformValue {
	var value platformValue
	ts.Check(rig.Await(awaitTimeout, "read of "+key, func() bool {
		var err error
		value, err = rig.GetJSON[platformValue](w.rig, w.rig.Platform.ListenAddrs.Addr, "/v1/values/"+key)
		return err == nil
	}))
	return value
}

// amend WORKSPACE CHANGE... publishes the workspace's contract with changes:
// bound, removed, rekeyed (revokes the old key), without=REGION, requests=N,
// concurrency=N, within=D (both response deadlines), or invalid. It sets KEY,
// REVISION and BEFORE.
func amend(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "amend WORKSPACE bound|removed|invalid|without=REGION|requests=N|concurrency=N...")
	b, ok := w.amended[args[0]]
	if !ok {
		b = w.bucketOf(ts, args[0])
	}
	b.change(ts, args[0], args[1:])
	data, err := json.Marshal(b.bucket)
	ts.Check(err)
	revision, err := w.rig.Publish(b.key, data)
	ts.Check(err)
	w.cacheBucket(b)
	ts.Setenv("KEY", b.key)
	setRevision(ts, revision)
}

// cacheBucket caches a bucket for the next change of one of its contracts, as the
// platform may be rate limited or serve stale values then.
func (w *deployment) cacheBucket(b publishedBucket) {
	for _, c := range b.bucket.Contracts {
		w.amended[c.Workspace] = b
	}
}

// setRevision sets REVISION to a revision, and BEFORE to the preceding one, which
// a stale platform serves.
func setRevision(ts *testscript.TestScript, revision uint64) {
	ts.Setenv("REVISION", strconv.FormatUint(revision, 10))
	ts.Setenv("BEFORE", strconv.FormatUint(revision-1, 10))
}

func (b *publishedBucket) change(ts *testscript.TestScript, workspace string, changes []string) {
	i := slices.IndexFunc(b.bucket.Contracts, func(c contract.Contract) bool { return c.Workspace == workspace })
	if i < 0 {
		ts.Fatalf("no contract of %q", workspace)
	}
	if slices.Contains(changes, "removed") {
		b.bucket.Contracts = slices.Delete(b.bucket.Contracts, i, i+1)
		return
	}
	c := &b.bucket.Contracts[i]
	c.HomeOnly = c.HomeOnly || slices.Contains(changes, "bound")
	if option(changes, "within", "") != "" {
		c.Latency.FirstTokenWithin.Duration = duration(ts, changes, "within", "")
		c.Latency.WholeWithin.Duration = duration(ts, changes, "within", "")
	}
	c.Regions = slices.DeleteFunc(c.Regions, func(t contract.RegionLimits) bool {
		return t.Region == option(changes, "without", "")
	})
	if slices.Contains(changes, "rekeyed") {
		c.Keys[0].SHA256 = strings.Repeat("0", len(c.Keys[0].SHA256))
	}
	for n := range c.Regions {
		t := &c.Regions[n]
		t.RequestsPerSecond = float64(number(ts, changes, "requests", fmt.Sprint(int(t.RequestsPerSecond))))
		t.Concurrency = number(ts, changes, "concurrency", strconv.Itoa(t.Concurrency))
		if c.HomeOnly {
			t.BorrowShare = 0
		}
		if slices.Contains(changes, "invalid") {
			t.RequestsPerSecond = -1
		}
	}
}

// race WORKSPACE N [blind] publishes N concurrent changes of one contract. Each is
// conditional on the revision read before, or unconditional with blind. It sets
// KEY and REVISION to the final state and prints the number of accepted writes.
func race(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "race WORKSPACE N [blind]")
	operators, err := strconv.Atoi(args[1])
	ts.Check(err)
	read := w.bucketOf(ts, args[0])
	statuses := make([]int, operators)
	var wg sync.WaitGroup
	for i := range operators {
		b := w.bucketOf(ts, args[0])
		b.change(ts, args[0], []string{fmt.Sprintf("requests=%d", 40+i)})
		data, err := json.Marshal(b.bucket)
		ts.Check(err)
		wg.Go(func() {
			statuses[i] = w.putIf(read, data, slices.Contains(args, "blind"))
		})
	}
	wg.Wait()
	taken, conflicts := 0, 0
	for _, status := range statuses {
		switch status {
		case http.StatusOK:
			taken++
		case http.StatusConflict:
			conflicts++
		}
	}
	won := w.bucketOf(ts, args[0])
	w.cacheBucket(won)
	ts.Setenv("KEY", won.key)
	setRevision(ts, won.revision)
	printf(ts, "taken=%d conflicts=%d\n", taken, conflicts)
}

func (w *deployment) putIf(read publishedBucket, data []byte, blind bool) int {
	req, err := http.NewRequest(http.MethodPut, "http://"+w.rig.Platform.ListenAddrs.Addr+"/v1/values/"+read.key, strings.NewReader(string(data)))
	if err != nil {
		return 0
	}
	if !blind {
		req.Header.Set("If-Revision", strconv.FormatUint(read.revision, 10))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// agree KEY prints how many running VMs have each pair of active and refused
// revision for a key, and the number of distinct pairs.
func agree(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "agree KEY")
	verdicts := make(map[string]int)
	for _, vm := range w.rig.VMs {
		if !vm.Alive() {
			continue
		}
		s, err := w.rig.Status(vm)
		ts.Check(err)
		for _, d := range s.Documents {
			if d.Key == args[0] {
				verdicts[fmt.Sprintf("in_force=%d refused=%d reason=%q", d.Active, d.Rejected, d.Reason)]++
			}
		}
	}
	for verdict, n := range verdicts {
		printf(ts, "%d VMs: %s\n", n, verdict)
	}
	printf(ts, "verdicts=%d\n", len(verdicts))
}

// monitorInterval is the interval between status reads of each VM.
const monitorInterval = 20 * time.Millisecond

// monitor records decreases of the revision that a VM has in force for a key.
type monitor struct {
	key     string
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	highest map[string]uint64
	reverts []string
	reads   int
}

// monitor NAME KEY starts to watch a key on all VMs, also across restarts.
func startMonitor(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "monitor NAME KEY")
	m := &monitor{
		key:     args[1],
		stop:    make(chan struct{}),
		highest: make(map[string]uint64),
	}
	w.monitors[args[0]] = m
	for _, vm := range w.rig.VMs {
		// Copied here, as a restart writes these fields concurrently.
		id, addr := vm.Fleet.ID, vm.Fleet.OperatorAddr
		m.wg.Go(func() { m.watch(w, id, addr) })
	}
	ts.Defer(m.stopWatching)
}

func (m *monitor) stopWatching() {
	select {
	case <-m.stop:
	default:
		close(m.stop)
	}
	m.wg.Wait()
}

func (m *monitor) watch(w *deployment, id, addr string) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
		if s, err := statusAt(w, addr); err == nil && s.Ready {
			m.record(id, s)
		}
	}
}

// monitored NAME ends a monitor and prints how often the revision in force on a
// ready VM decreased.
func endMonitor(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "monitored NAME")
	m := w.monitors[args[0]]
	if m == nil {
		ts.Fatalf("no monitor %q", args[0])
	}
	m.stopWatching()
	for _, line := range m.reverts {
		ts.Logf("%s", line)
	}
	printf(ts, "reads=%d reverts=%d\n", m.reads, len(m.reverts))
}

func statusAt(w *deployment, addr string) (operator.Status, error) {
	return rig.GetJSON[operator.Status](w.rig, addr, "/v1/status")
}

func (m *monitor) record(vm string, s operator.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	for _, d := range s.Documents {
		if d.Key != m.key {
			continue
		}
		if d.Active < m.highest[vm] {
			m.reverts = append(m.reverts, fmt.Sprintf("%s went from %d to %d", vm, m.highest[vm], d.Active))
		}
		m.highest[vm] = d.Active
	}
}
