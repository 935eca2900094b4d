package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

const (
	clientDeadline = 4 * time.Second
	resolveWithin  = time.Second
	attemptHeader  = "X-Fuchsianotch-Attempt-Id"
	// clientPause is the pause between two requests of one client.
	clientPause = 30 * time.Millisecond
)

// client sends one request after the other to the VMs that the directory names,
// over connections that it keeps.
type client struct {
	world  *world
	region string
	http   *http.Client
	addrs  []string
	until  time.Time
	number *atomic.Int64
}

func (w *world) newClient(region string, number *atomic.Int64) *client {
	return &client{
		world:  w,
		region: region,
		number: number,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 4,
				DisableCompression:  true,
			},
		},
	}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.resolve(ctx)
		if v := c.pick(); v != nil {
			path, service, method := c.draw()
			c.send(ctx, v, path, service, method)
		}
		sleepFor(ctx, clientPause)
	}
}

func sleepFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// resolve asks a VM of any region where to connect, once the last answer is old.
func (c *client) resolve(ctx context.Context) {
	if time.Now().Before(c.until) {
		return
	}
	v := c.world.vms[rand.IntN(len(c.world.vms))]
	trip, cancel := context.WithTimeout(ctx, resolveWithin)
	defer cancel()
	url := fmt.Sprintf("http://%s:8143/resolve?Name=soak.example&Region=%s&Zone=%s", v.ip, c.region, zoneOf(c.region))
	req, err := http.NewRequestWithContext(trip, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Addrs []string
		TTL   float64 `json:"TtlS"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return
	}
	c.addrs = reply.Addrs
	c.until = time.Now().Add(time.Duration(reply.TTL * float64(time.Second)))
}

func (c *client) pick() *vm {
	if len(c.addrs) == 0 {
		return nil
	}
	addr := c.addrs[rand.IntN(len(c.addrs))]
	for _, v := range c.world.vms {
		if strings.HasPrefix(addr, v.ip+":") {
			return v
		}
	}
	return nil
}

// draw chooses a path: mostly the lasting routes, now and then one of a version.
func (c *client) draw() (path, service, method string) {
	switch n := rand.IntN(20); {
	case n < 5:
		return "/stream/resume/x", serviceEngine, http.MethodPost
	case n < 8:
		return "/stream/once/x", serviceEngine, http.MethodPost
	case n < 13:
		return "/get/x?q=1", servicePlain, http.MethodGet
	case n < 17:
		return "/post/x", servicePlain, http.MethodPost
	case n < 19:
		return "/home/x", servicePlain, http.MethodGet
	case n < 20 && rand.IntN(3) == 0:
		return publicPath, servicePlain, http.MethodGet
	default:
		c.world.mu.Lock()
		version := c.world.version
		c.world.mu.Unlock()
		return versionPrefix(max(1, version-rand.IntN(2))) + "x", servicePlain, http.MethodGet
	}
}

func (c *client) send(ctx context.Context, v *vm, path, service, method string) {
	id := fmt.Sprintf("a%x", c.number.Add(1))
	plain, _, _ := strings.Cut(path, "?")
	a := attempt{
		id:      id,
		path:    plain,
		service: service,
		vm:      v.name,
		sentAt:  time.Now(),
	}
	held := c.world.drawCredential(path)
	a.workspace = held.workspace
	a.key = held.key
	a.keyVersion = held.version
	a.owed = held.owed || path == publicPath
	defer func() {
		if ctx.Err() != nil {
			// The soak itself ended the attempt.
			a.closed = false
		}
		a.endedAt = time.Now()
		c.world.ledger.ended(a)
	}()
	trip, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("b", 600))
	}
	req, err := http.NewRequestWithContext(trip, method, "http://"+v.frontLink.addr()+path, body)
	if err != nil {
		a.wrong = err.Error()
		return
	}
	// net/http must not send it again by itself.
	req.GetBody = nil
	req.Host = "soak.example"
	req.Header.Set(attemptHeader, id)
	req.Header.Set("Authorization", "Bearer "+held.key)
	// What the caller says of its workspace must not count.
	req.Header.Set("X-Fuchsianotch-Tenant", workspaceNames[rand.IntN(len(workspaceNames))])
	req.Header.Set("X-Fuchsianotch-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	resp, err := c.http.Transport.RoundTrip(req)
	if err != nil {
		a.closed = !errors.Is(err, context.DeadlineExceeded)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	c.judge(&a, resp)
}

// judge compares a success with what a replica answers to the attempt.
func (c *client) judge(a *attempt, resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return
	case resp.Header.Get(attemptHeader) != a.id:
		a.wrong = "the answer has the id " + resp.Header.Get(attemptHeader)
	case resp.Header.Get("X-Fuchsianotch-Response-Stamp") == "":
		a.wrong = "a success without a signature"
	case strings.HasPrefix(a.path, replica.StreamPath):
		a.judgeStream(data, err)
	case err != nil:
		a.closed = true
	case string(data) != replica.Body(a.id):
		a.wrong = fmt.Sprintf("a body of another answer: %.60q", data)
	default:
		a.whole = true
	}
}

func (a *attempt) judgeStream(data []byte, err error) {
	reader := bufio.NewReader(strings.NewReader(string(data)))
	number := 0
	for {
		event := replica.Event(a.id, number+1)
		got := make([]byte, len(event))
		n, readErr := io.ReadFull(reader, got)
		if readErr != nil {
			if n > 0 && !strings.HasPrefix(event, string(got[:n])) {
				a.wrong = fmt.Sprintf("after event %d: %.60q", number, got[:n])
			}
			break
		}
		if string(got) != event {
			a.wrong = fmt.Sprintf("after event %d: %.60q", number, got)
			return
		}
		number++
	}
	switch {
	case err != nil:
		a.closed = true
	case number != streamEvents:
		a.wrong = fmt.Sprintf("a stream ended as whole after event %d", number)
	default:
		a.whole = true
	}
}
