package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of the protocol.
const (
	headerAttempt  = "X-Fuchsianotch-Attempt-Id"
	headerStamp    = "X-Fuchsianotch-Response-Stamp"
	headerNotRun   = "X-Fuchsianotch-Not-Executed"
	headerExpect   = "X-Fuchsianotch-Expect-Instance"
	headerInstance = "X-Fuchsianotch-Instance-Id"
	headerDeadline = "X-Fuchsianotch-Deadline-Ms"
)

// shedAnswer is the answer of a replica that sheds, as the bench's examples of messages show it.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// replica stands for one replica.
type replica struct {
	bed  *bed
	id   string
	addr string
	// serve answers a request that is neither a health check nor a load report and expects
	// this replica. An error ends the connection.
	serve func(c *replicaConn, q *request) error

	mu     sync.Mutex
	active int
	ln     net.Listener
	conns  map[net.Conn]bool
	dead   bool
}

// replicaConn is a connection from a gateway.
type replicaConn struct {
	net.Conn
	// requests counts the requests so far, health checks and load reports included.
	requests int
	// late is sent before the answer of the next request that runs.
	late string
}

// request is a request as the replica read it.
type request struct {
	*http.Request
	attempt string
	body    []byte
}

// startReplica starts a replica and keeps its entry in the store.
func (b *bed) startReplica(id, ownZone string, slots int, serve func(c *replicaConn, q *request) error) (*replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		bed:   b,
		id:    id,
		addr:  ln.Addr().String(),
		serve: serve,
		ln:    ln,
		conns: make(map[net.Conn]bool),
	}
	go r.accept(ln)
	go r.beat(ownZone, slots)
	return r, nil
}

// beat writes the replica's entry every HeartbeatMs until it crashes.
func (r *replica) beat(ownZone string, slots int) {
	for seq := 1; r.bed.ctx.Err() == nil && !r.isDead(); seq++ {
		r.bed.store.put("servers/"+r.id, map[string]any{
			"Service": service, "Addr": r.addr, "Zone": ownZone, "Version": "v1", "Slots": slots,
			"State": "ready", "ColdLeftMs": 0, "Stage": "hybrid",
			"Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}},
			"Seq":    seq,
		})
		time.Sleep(1200 * time.Millisecond)
	}
}

func (r *replica) isDead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead
}

// crash ends the replica: it closes its listener and all its connections.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
	_ = r.ln.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *replica) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serveConn(&replicaConn{Conn: conn})
	}
}

func (r *replica) serveConn(c *replicaConn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c.Conn)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c.requests++
		q := &request{Request: req, attempt: req.Header.Get(headerAttempt), body: body}
		if err := r.answer(c, q); err != nil {
			return
		}
	}
}

func (r *replica) answer(c *replicaConn, q *request) error {
	switch {
	case q.RequestURI == "/report":
		r.mu.Lock()
		active := r.active
		r.mu.Unlock()
		body := fmt.Sprintf(`{"Stage":"hybrid","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Seq":2,"Queued":0,"Active":%d,"KvUsed":1000,"KvTotal":300000,"Handles":0}`, active)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err
	case q.RequestURI == "/health":
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, r.id)
		return err
	case q.Header.Get(headerExpect) != "" && q.Header.Get(headerExpect) != r.id:
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, r.id)
		return err
	default:
		r.mu.Lock()
		r.active++
		r.mu.Unlock()
		defer func() {
			r.mu.Lock()
			r.active--
			r.mu.Unlock()
		}()
		return r.serve(c, q)
	}
}

// begin records that the replica works on a request.
func (r *replica) begin(q *request) {
	r.bed.addRun(runRecord{replica: r.id, attempt: q.attempt, method: q.Method, target: q.RequestURI})
}

// head returns the head of a success, up to and without the framing of its body.
func (r *replica) head(q *request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n", headerAttempt, q.attempt, headerStamp, r.id, q.attempt)
}

// reply sends a whole answer.
func (r *replica) reply(c *replicaConn, q *request, body string) error {
	_, err := fmt.Fprintf(c, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", r.head(q), len(body), body)
	return err
}

// event returns one event of a stream.
func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 60))
}

// chunk frames a part of a chunked body.
func chunk(data string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}
