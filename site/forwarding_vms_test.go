package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// forwardingVMs are VM a, in a region without endpoints, and VMs b and c in one with them. Only a
// knows others: b, and c once it is introduced.
type forwardingVMs struct {
	vms                    map[string]*loggedVM
	runs                   atomic.Int64
	storeURL, endpointAddr string
	// now is the clock of VMs that are started; nil means their own.
	now func() time.Time
	// refuseResume lets the endpoint answer the next request to resume a stream with a failure.
	refuseResume atomic.Bool
}

type loggedVM struct {
	stoppingVM
	log *lineLog
}

// lineLog holds the lines that a VM has written.
type lineLog struct {
	lines chan []byte
	kept  [][]byte
}

func newLineLog() *lineLog {
	return &lineLog{
		lines: make(chan []byte, 4096),
	}
}

// Write implements io.Writer.
func (l *lineLog) Write(line []byte) (int, error) {
	select {
	case l.lines <- bytes.Clone(line):
	default:
	}
	return len(line), nil
}

// find returns the last line with a message; nil if there is none.
func (l *lineLog) find(message string) []byte {
	for len(l.lines) > 0 {
		l.kept = append(l.kept, <-l.lines)
	}
	var found []byte
	for _, line := range l.kept {
		if bytes.Contains(line, []byte(`"msg":"`+message+`"`)) {
			found = line
		}
	}
	return found
}

func startForwardingVMs(t *testing.T) *forwardingVMs {
	t.Helper()
	f := &forwardingVMs{
		vms: make(map[string]*loggedVM),
	}
	server := httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(server.Close)
	store := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(store.Close)
	f.storeURL = store.URL
	f.endpointAddr = strings.TrimPrefix(server.URL, "http://")
	for id, region := range map[string]string{"a": "r0", "b": "r1", "c": "r1"} {
		f.start(t, id, region, freeAddr(t))
	}
	f.introduce("b")
	waitFor(t, func() bool { return len(f.vms["a"].node.control.snapshot().regionLoads["s"]) > 0 })
	return f
}

// start starts a VM at an address for other VMs.
func (f *forwardingVMs) start(t *testing.T, id, region, peerAddr string) {
	t.Helper()
	log := newLineLog()
	n := New(Options{
		Deployment: &platform.Deployment{
			VM:            id,
			Region:        region,
			DataCentre:    region + "-a",
			IP:            "127.0.0.1",
			Regions:       map[string]string{"r0-a": "r0", "r1-a": "r1"},
			StoreURL:      f.storeURL,
			CallerAddr:    "127.0.0.1:0",
			ReadyAddr:     "127.0.0.1:0",
			PeerAddr:      peerAddr,
			DirectoryAddr: "127.0.0.1:0",
			Bounds: platform.Bounds{
				StopTimeout: stopGrace,
				RetrySlack:  30,
				RetryWindow: 100 * time.Millisecond,
			},
		},
		Logger: slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{
			Level: slog.LevelDebug,
		})),
		Settings: &settings.Platform{
			LogSampleEvery: 1,
		},
		Now: f.now,
	})
	n.control.applyItems([]discovery.Item{
		{
			Key:      "op/config",
			Revision: 1,
			Value: []byte(`{"Version":1,"Services":[{"Name":"s"}],"Routes":[
				{"Name":"once","Host":"h","PathPrefix":"/once/","Kind":"non_idempotent","Service":"s","MaxAttempts":2,"TimeoutMs":9000},
				{"Name":"repeat","Host":"h","PathPrefix":"/repeat/","Kind":"idempotent","Service":"s","MaxAttempts":2,"TimeoutMs":9000},
				{"Name":"stream","Host":"h","PathPrefix":"/stream/","Kind":"streaming","Service":"s","MaxAttempts":2,"TimeoutMs":9000},
				{"Name":"resumable-once","Host":"h","PathPrefix":"/resumable/once/","Kind":"streaming","Resumable":true,"Service":"s","MaxAttempts":1,"TimeoutMs":9000},
				{"Name":"resumable","Host":"h","PathPrefix":"/resumable/","Kind":"streaming","Resumable":true,"Service":"s","MaxAttempts":2,"TimeoutMs":9000}]}`),
		},
		{
			Key:      "servers/i-0",
			Revision: 2,
			Value:    fmt.Appendf(nil, `{"Service":"s","Addr":%q,"Zone":"r1-a","Version":"v1","Slots":64,"State":"ready","Seq":1}`, f.endpointAddr),
		},
	}, false, n.now())
	n.control.publish(n.now())
	ctx, cancel := context.WithCancel(context.Background())
	vm := &loggedVM{
		stoppingVM: stoppingVM{
			node:  n,
			stop:  cancel,
			ended: make(chan error, 1),
		},
		log: log,
	}
	t.Cleanup(cancel)
	go func() { vm.ended <- n.Run(ctx) }()
	waitFor(t, func() bool { return n.callerListener.Load() != nil })
	vm.addr = n.callerListener.Load().Addr().String()
	f.vms[id] = vm
}

// freeAddrs counts the addresses that freeAddr has returned.
var freeAddrs atomic.Uint32

// freeAddr returns an address at which nothing listens. Its IP is used for nothing else, so that no
// connection of another test or process takes the port meanwhile.
func freeAddr(t *testing.T) string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.1", 2+os.Getpid()%250, freeAddrs.Add(1)%256)
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// introduce tells VM a of another one.
func (f *forwardingVMs) introduce(id string) { f.introduceTo("a", id) }

// introduceTo tells a VM of another one.
func (f *forwardingVMs) introduceTo(to, id string) {
	n := f.vms[id].node
	f.vms[to].node.control.send(context.Background(), func(c *control, now time.Time) {
		c.roster.Receive(roster.Rumor{
			VM:          n.self(),
			Incarnation: n.incarnation,
			Version:     1,
			State:       roster.StateAlive,
			Ready:       true,
		}, nil, now)
		c.publish(now)
	})
}

// answerEarly fails a run with an answer that begins before the request is read, if that is how the
// run fails: half of a body without a length and a reset, or a whole answer with a status.
func (f *forwardingVMs) answerEarly(w http.ResponseWriter, r *http.Request, fails []string) bool {
	kind, status, _ := strings.Cut(fails[min(int(f.runs.Load()), len(fails)-1)], "-")
	if kind != "half" && kind != "raw" {
		return false
	}
	f.runs.Add(1)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 " + status + " x\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	contentType := "text/plain"
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resumable/") {
		contentType = "text/event-stream"
	}
	if kind == "raw" {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, head+"Content-Type: "+contentType+"\r\nContent-Length: 5\r\n\r\nwhole")
		return true
	}
	_, _ = io.WriteString(conn, head+"Content-Type: "+contentType+"\r\n\r\nid: 2\ndata: x\n\n")
	time.Sleep(resetAfter)
	_ = conn.(*net.TCPConn).SetLinger(0)
	return true
}

// resetAfter is how long after its answer an endpoint resets the connection.
const resetAfter = 20 * time.Millisecond

// failAfter is how long an endpoint works on a call before it cuts it off.
const failAfter = 300 * time.Millisecond

// eventInterval is the time between two events of a stream.
const eventInterval = 100 * time.Millisecond

// serve answers as an endpoint does: whole bodies at the end, streams event by event behind the
// last one that the caller has.
func (f *forwardingVMs) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Fuchsianotch-Attempt-Id", r.Header.Get("X-Fuchsianotch-Attempt-Id"))
	w.Header().Set("X-Fuchsianotch-Response-Stamp", "stamp")
	fails := strings.Split(r.URL.Query().Get("fail"), ",")
	if f.answerEarly(w, r, fails) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	ms, err := strconv.Atoi(r.URL.Query().Get("ms"))
	if err != nil {
		return
	}
	run := f.runs.Add(1)
	if r.Header.Get("Last-Event-Id") != "" && f.refuseResume.CompareAndSwap(true, false) {
		http.Error(w, "unknown event", http.StatusBadRequest)
		return
	}
	fail := fails[min(int(run), len(fails))-1]
	switch fail {
	case "status":
		time.Sleep(failAfter)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case "cut":
		time.Sleep(failAfter)
		panic(http.ErrAbortHandler)
	}
	events := ms / int(eventInterval.Milliseconds())
	isStream := strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resumable/")
	if isStream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := after + 1; id <= events; id++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		if isStream {
			_, _ = io.WriteString(w, event(id))
			w.(http.Flusher).Flush()
			if fail == "after_event" {
				time.Sleep(failAfter)
				panic(http.ErrAbortHandler)
			}
		}
	}
	if !isStream {
		_, _ = io.WriteString(w, "whole")
	}
}

func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: x\n\n", id)
}

// send sends a call to VM a and describes what its caller gets.
func (f *forwardingVMs) send(path string, ms int) string {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, fmt.Sprintf("http://%s%sx?ms=%d", f.vms["a"].addr, path, ms), strings.NewReader("b"))
	if err != nil {
		return err.Error()
	}
	req.Host = "h"
	req.Header.Set("X-Fuchsianotch-Attempt-Id", "a")
	req.Header.Set("X-Fuchsianotch-Deadline-Ms", "9000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken"
	}
	var events strings.Builder
	for id := range ms / int(eventInterval.Milliseconds()) {
		events.WriteString(event(id + 1))
	}
	if string(body) == "whole" || string(body) == events.String() {
		return strconv.Itoa(resp.StatusCode) + " whole"
	}
	return strconv.Itoa(resp.StatusCode)
}

// newRequest returns a request with a key to a VM, whose runs fail in turn as it says.
func (f *forwardingVMs) newRequest(vm, path, fail string, body []byte) (*http.Request, error) {
	target := fmt.Sprintf("http://%s%sx?ms=300&fail=%s", f.vms[vm].addr, path, fail)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("X-Fuchsianotch-Attempt-Id", "a")
	req.Header.Set("X-Fuchsianotch-Deadline-Ms", "9000")
	req.Header.Set("Authorization", "Bearer key-of-w")
	return req, nil
}
