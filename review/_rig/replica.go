package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Headers of the platform's protocol.
const (
	headerAttempt  = "X-Fuchsianotch-Attempt-Id"
	headerStamp    = "X-Fuchsianotch-Response-Stamp"
	headerExpect   = "X-Fuchsianotch-Expect-Instance"
	headerInstance = "X-Fuchsianotch-Instance-Id"
	headerDeadline = "X-Fuchsianotch-Deadline-Ms"
	headerLast     = "Last-Event-Id"
)

// replicaOptions say how a replica behaves.
type replicaOptions struct {
	id, addr, service string
	// errorOne is the number of runs of which one, by chance, ends with a 500; zero means none.
	errorOne int
	// pieces is the number of pieces of an answer, each of which takes a pause.
	pieces int
	pause  time.Duration
	// unframed is set for answers that have no length and end with their connection.
	unframed bool
	// stream is set for answers that are event streams.
	stream bool
}

// replica is a stand-in for a sound replica, a process of its own. It writes a line to standard
// output for each run, as it begins and as it ends.
type replica struct {
	replicaOptions
	born   int64
	active atomic.Int64
}

func replicaMain(args []string) int {
	r := &replica{
		born: time.Now().UnixMilli(),
	}
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.addr, "addr", "", "")
	flags.StringVar(&r.service, "service", "", "")
	flags.IntVar(&r.errorOne, "error-one", 0, "")
	flags.IntVar(&r.pieces, "pieces", 1, "")
	flags.DurationVar(&r.pause, "pause", 10*time.Millisecond, "")
	flags.BoolVar(&r.unframed, "unframed", false, "")
	flags.BoolVar(&r.stream, "stream", false, "")
	// ExitOnError.
	_ = flags.Parse(args)
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	err = http.Serve(ln, r) //nolint:gosec // a stand-in on loopback
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}

// say writes a line for the record.
func (r *replica) say(format string, args ...any) {
	fmt.Printf("%s replica %s: %s\n", time.Now().Format(timeFormat), r.id, fmt.Sprintf(format, args...))
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/health":
		w.Header().Set(headerInstance, r.id)
		return
	case "/report":
		writeJSON(w, map[string]any{
			"Stage": "hybrid", "Busy": false, "Seq": 0, "State": "ready",
			"Queued": 0, "Active": r.active.Load(), "KvUsed": 0, "KvTotal": 300000, "Handles": 0, "born": r.born,
		})
		return
	}
	id := req.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if expected := req.Header.Get(headerExpect); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.active.Add(1)
	defer r.active.Add(-1)
	r.say("runs %s of service %s: %s %s after event %q", id, r.service, req.Method, req.RequestURI, req.Header.Get(headerLast))
	defer r.say("ends %s", id)
	w.Header().Set(headerStamp, "stamp."+r.id+"."+id)
	if r.errorOne > 0 && rand.IntN(r.errorOne) == 0 {
		time.Sleep(r.pause)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.unframed {
		r.answerUnframed(w, id, req.Header.Get(headerLast))
		return
	}
	if r.stream {
		w.Header().Set("Content-Type", "text/event-stream")
		r.writePieces(w, http.NewResponseController(w).Flush, id, req.Header.Get(headerLast))
		return
	}
	time.Sleep(r.pause)
	_, _ = io.WriteString(w, wholeBody(id, r.pieces))
}

// answerUnframed answers without a length and without chunks.
func (r *replica) answerUnframed(w http.ResponseWriter, id, after string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	contentType := "application/octet-stream"
	if r.stream {
		contentType = "text/event-stream"
	}
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		headerAttempt, id, headerStamp, "stamp."+r.id+"."+id, contentType)
	r.writePieces(buffer, buffer.Flush, id, after)
}

// writePieces writes the pieces of an answer, those of a stream behind an event.
func (r *replica) writePieces(w io.Writer, flush func() error, id, after string) {
	_ = flush()
	from, _ := strconv.Atoi(after)
	for n := from + 1; n <= r.pieces; n++ {
		time.Sleep(r.pause)
		text := piece(id, n)
		if r.stream {
			text = fmt.Sprintf("id: %d\ndata: %s\n\n", n, piece(id, n))
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if flush() != nil {
			return
		}
	}
}

// piece is a piece of the answer to a request, wholeBody all of them.
func piece(id string, n int) string { return fmt.Sprintf("[%s %d]", id, n) }

func wholeBody(id string, pieces int) string {
	var text strings.Builder
	for n := 1; n <= pieces; n++ {
		text.WriteString(piece(id, n))
	}
	return text.String()
}

// entry is a replica's entry in the store.
func (o replicaOptions) entry(zone string, born int64, seq int) map[string]any {
	return map[string]any{
		"Service": o.service, "Addr": o.addr, "Zone": zone, "Version": "1", "Slots": 64, "State": "ready",
		"ColdLeftMs": 0, "Seq": seq, "born": born,
	}
}

// askBorn returns when the replica at an address has started.
func askBorn(addr string) (int64, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + addr + "/report")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var report struct {
		Born int64 `json:"born"`
	}
	err = json.NewDecoder(bufio.NewReader(resp.Body)).Decode(&report)
	return report.Born, err
}
