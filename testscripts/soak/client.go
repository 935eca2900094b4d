package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

const (
	clientDeadline = 4 * time.Second
	resolveTimeout = time.Second
	attemptHeader  = "X-Fuchsianotch-Attempt-Id"
	// signatureHeader holds "stamp.REPLICA.ATTEMPT".
	signatureHeader = "X-Fuchsianotch-Response-Stamp"
	// clientPause is the delay between two requests of one client.
	clientPause = 30 * time.Millisecond
)

// client sends requests one after the other over keep-alive connections to the VMs that
// the directory returns.
type client struct {
	world         *testbed
	region        string
	http          *http.Client
	addrs         []string
	addrsExpireAt time.Time
	lastID        *atomic.Int64
	// newPrompt returns the prompt of the next request; nil if requests have none.
	newPrompt func() prompt
	// bodyBytes is the size of the bodies of all requests; zero means small ones.
	bodyBytes int
	// enginesOnly sends all requests to engines.
	enginesOnly bool
}

func (tb *testbed) newClient(region string, number *atomic.Int64) *client {
	return &client{
		world:  tb,
		region: region,
		lastID: number,
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
		if v := c.pickVM(); v != nil {
			path, service, method := c.pickRequest()
			if c.newPrompt != nil {
				path, service, method = partPaths[rand.IntN(len(partPaths))], serviceEngine, http.MethodPost
			}
			if c.enginesOnly {
				path, service, method = enginePaths[rand.IntN(len(enginePaths))], serviceEngine, http.MethodPost
			}
			if c.bodyBytes > 0 {
				path, service, method = "/get/x", servicePlain, http.MethodPost
			}
			a := c.send(ctx, v, path, service, method, nil)
			c.resumeStream(ctx, a)
			if a.status != http.StatusOK {
				sleep(ctx, max(c.world.FailurePause, a.retryAfter))
			}
		}
		sleep(ctx, clientPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// resolve refreshes the addresses from a random VM's directory once their TTL has expired.
func (c *client) resolve(ctx context.Context) {
	if time.Now().Before(c.addrsExpireAt) {
		return
	}
	v := c.world.vms[rand.IntN(len(c.world.vms))]
	reqCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:8143/resolve?Name=soak.example&Region=%s&Zone=%s", v.ip, c.region, zoneOf(c.region))
	req, err := http.NewRequestWithContext(reqCtx, http.MethodGet, url, nil)
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
	c.addrsExpireAt = time.Now().Add(time.Duration(reply.TTL * float64(time.Second)))
}

// pickVM picks one of the resolved VMs at random; nil if none is known.
func (c *client) pickVM() *vm {
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

// pickVMBut picks one of the resolved VMs other than the one that has just failed, if there is
// another one.
func (c *client) pickVMBut(failed string) *vm {
	for range 2 * len(c.addrs) {
		if v := c.pickVM(); v != nil && v.name != failed {
			return v
		}
	}
	return c.pickVM()
}

// plainTargets are targets that must reach a replica unchanged.
var plainTargets = []string{
	"/get/x?q=1", "/get/x", "/get//x?q=//1", "/get/./a/../x?", "/get/%2fa%2E%41;b?%zz=%&+", "/get/%E9/x?\u00fc",
}

// pickRequest picks a random path: mostly permanent routes, sometimes a version's own route.
func (c *client) pickRequest() (path, service, method string) {
	switch n := rand.IntN(20); {
	case n < 5:
		return "/stream/resume/x", serviceEngine, http.MethodPost
	case n < 8:
		return "/stream/once/x", serviceEngine, http.MethodPost
	case n < 13:
		return plainTargets[rand.IntN(len(plainTargets))], servicePlain, http.MethodGet
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

// send sends one attempt through a VM's front link and records its outcome. broken is the
// stream that it resumes; nil for none.
func (c *client) send(ctx context.Context, v *vm, path, service, method string, broken *brokenStream) attempt {
	id := fmt.Sprintf("a%x", c.lastID.Add(1))
	pathOnly, _, _ := strings.Cut(path, "?")
	a := attempt{
		id:      id,
		path:    pathOnly,
		target:  path,
		service: service,
		vm:      v.name,
		sentAt:  time.Now(),
		// A resumed stream needs the engines of its version.
		enginesServe: c.world.enginesServe(""),
	}
	if c.newPrompt != nil {
		a.prompt = c.newPrompt()
	}
	broken.describe(&a)
	c.exchange(ctx, v, &a, path, method)
	if ctx.Err() != nil {
		// The run was cancelled, so the connection's end is no failure of the gateway.
		a.connectionLost = false
	}
	a.endedAt = time.Now()
	c.world.ledger.recordAttempt(a)
	return a
}

// exchange sends an attempt and reads its answer.
func (c *client) exchange(ctx context.Context, v *vm, a *attempt, path, method string) {
	reqCtx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	held := a.held
	if held.key == "" {
		held = c.world.pickCredential(path, a.prompt)
	}
	a.held = held
	a.workspace = held.workspace
	a.key = held.key
	a.keyVersion = held.version
	a.expectServed = (held.expectServed || path == publicPath) && a.resumes == ""
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(a.prompt.body())
	}
	if c.bodyBytes > 0 {
		body = strings.NewReader(strings.Repeat("x", c.bodyBytes))
		a.largeBody = true
	}
	req, err := http.NewRequestWithContext(reqCtx, method, "http://"+v.frontLink.addr()+path, body)
	if err != nil {
		a.failure = err.Error()
		return
	}
	// Keeps net/http from retrying the request itself.
	req.GetBody = nil
	req.Host = "soak.example"
	req.Header.Set(attemptHeader, a.id)
	a.setResumeHeaders(req.Header)
	if a.prompt != "" {
		req.Header.Set(promptHeader, string(a.prompt))
	}
	req.Header.Set("Authorization", "Bearer "+held.key)
	// The gateway must ignore a workspace claimed by the caller.
	req.Header.Set("X-Fuchsianotch-Tenant", workspaceNames[rand.IntN(len(workspaceNames))])
	req.Header.Set("X-Fuchsianotch-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	resp, err := c.http.Transport.RoundTrip(req)
	if err != nil {
		a.connectionLost = !errors.Is(err, context.DeadlineExceeded)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && a.largeBody {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.headAt = time.Now()
	if resp.Header.Get("Server-Leaving") != "" {
		a.leavingReplica = signingReplica(resp.Header.Get(signatureHeader))
	}
	c.checkResponse(a, resp)
}

// signingReplica returns the ID of the replica that signed a response.
func signingReplica(signature string) string {
	_, rest, _ := strings.Cut(signature, ".")
	id, _, _ := strings.Cut(rest, ".")
	return id
}

// checkResponse compares a successful response with the one that replicas send for the attempt.
func (c *client) checkResponse(a *attempt, resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return
	case resp.Header.Get(attemptHeader) != a.id:
		a.failure = "the answer has the id " + resp.Header.Get(attemptHeader)
	case resp.Header.Get(signatureHeader) == "":
		a.failure = "a success without a signature"
	case strings.HasPrefix(a.path, replica.StreamPath):
		a.checkStream(data, err)
	case err != nil:
		a.connectionLost = true
	case string(data) != replica.Body(a.id)+strings.Repeat(".", a.padding):
		a.failure = fmt.Sprintf("a body of another answer: %.60q", data)
	default:
		a.complete = true
	}
}
