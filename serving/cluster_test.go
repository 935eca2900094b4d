package serving

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/ticket"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

const (
	region      = "r"
	workspace   = "w"
	service     = "s"
	model       = "m"
	concurrency = 5
	callTimeout = 10 * time.Second
	spentMetric = "fuchsianotch_spend_millionths_total "
)

const models = `{"format":1,
"models":[{"model":"m","prompt_price":1000,"generated_price":1000,"max_tokens":64}],
"services":[{"service":"s","call_price":10,"calls":[]}]}`

// process holds the serving components of one VM. A killed one sends nothing more.
type process struct {
	vm       fleet.VM
	registry *ticket.Registry
	server   *Server
	ledger   *limit.Ledger
	killed   atomic.Bool
}

// cluster is a set of VMs in front of one scripted endpoint.
type cluster struct {
	t         *testing.T
	endpoint  *scriptedEndpoint
	processes []*process
	terms     Terms
	ticket    string
	handOver  ticket.HandOver

	mu       sync.Mutex
	requests map[string]*callerRequest
	wait     sync.WaitGroup
}

// callerRequest is one caller's request and its outcome.
type callerRequest struct {
	ticketed bool
	cancel   context.CancelFunc
	outcome  call.Outcome
	text     strings.Builder
}

func newCluster(t *testing.T, answers []string) *cluster {
	cl := &cluster{
		t:        t,
		endpoint: newScriptedEndpoint(t, answers),
		requests: make(map[string]*callerRequest),
		terms: Terms{
			Contract: &contract.Contract{
				Workspace: workspace,
			},
			Region: contract.RegionLimits{
				Region:            region,
				RequestsPerSecond: 100,
				TokensPerSecond:   1000,
				SpendPerHour:      1e6,
				Concurrency:       concurrency,
			},
		},
	}
	for i := range 3 {
		cl.processes = append(cl.processes, cl.newProcess(i))
	}
	cl.ticket = cl.processes[0].registry.Issue(workspace, time.Now().Add(time.Minute))
	return cl
}

func (cl *cluster) newProcess(i int) *process {
	p := &process{
		vm: fleet.VM{
			ID:     "vm-" + strconv.Itoa(i),
			Region: region,
			State:  fleet.StateLive,
		},
		ledger: limit.New(limit.Options{
			Policy: limit.PolicyLocalBucket,
		}),
	}
	p.registry = ticket.New(ticket.Options{
		VM:          p.vm.ID,
		Incarnation: 1,
	})
	p.server = New(Options{
		Now:            time.Now,
		VM:             p.vm.ID,
		Region:         region,
		Snapshot:       cl.snapshot(),
		View:           viewOf(p.vm),
		Pool:           cl.pool(),
		Forward:        cl.forward,
		ChooseOverflow: func(*call.Call, Terms) (fleet.VM, bool) { return fleet.VM{}, false },
		Ledger:         p.ledger,
		Tickets:        p.registry,
		Endpoint: endpoint.New(endpoint.Options{
			Client: &http.Client{
				Transport: &http.Transport{
					DialContext:     cl.endpoint.dial(p),
					IdleConnTimeout: time.Second,
				},
			},
		}),
		Budget: budgetOf(retry.NewBudget(1)),
		Timeline: timeline.New(timeline.Options{
			VM:       p.vm.ID,
			Capacity: 64,
			Now:      time.Now,
		}),
		Metrics: metrics.New(),
	})
	return p
}

func (cl *cluster) snapshot() func() *configuration.Snapshot {
	store := configuration.New(configuration.Options{})
	verdicts := store.Offer([]configuration.Document{
		{
			Key:      "models",
			Revision: 1,
			Value:    []byte(models),
		},
	})
	assert.Assert(cl.t, verdicts[0].Refusal == nil, "%v", verdicts[0].Refusal)
	return store.Snapshot
}

func viewOf(vm fleet.VM) func() *membership.View {
	state := membership.New(membership.Options{
		Self:        vm,
		Incarnation: 1,
	})
	state.SetList(&fleet.List{
		Revision: 1,
		VMs:      []fleet.VM{vm},
	}, time.Now())
	view := state.View(time.Now())
	return func() *membership.View { return view }
}

func (cl *cluster) pool() func(string) (*Pool, bool) {
	pools := make(map[string]*Pool)
	for _, target := range []string{service, model} {
		endpoints := routing.New(routing.Options{})
		var list []fleet.Endpoint
		for _, id := range []string{"a", "b", "c", "d"} {
			list = append(list, fleet.Endpoint{
				ID:     target + "-" + id,
				Region: region,
				Addr:   id + ":1",
				Slots:  4,
				State:  fleet.StateLive,
			})
		}
		endpoints.SetEndpoints(list, time.Now())
		pools[target] = &Pool{
			Endpoints: endpoints,
			Queue:     admission.New(admission.Options{Length: 4}, endpoints),
		}
	}
	return func(target string) (*Pool, bool) {
		p, ok := pools[target]
		return p, ok
	}
}

// forward emulates the peer protocol: a killed process is unreachable, and one killed
// during the call is lost.
func (cl *cluster) forward(ctx context.Context, vm fleet.VM, c *call.Call, sink call.Sink) call.Outcome {
	var p *process
	for _, other := range cl.processes {
		if other.vm.ID == vm.ID {
			p = other
		}
	}
	if p.killed.Load() {
		return call.Refused(result.Refuse(result.PeerUnreachable, "not reached"))
	}
	forwarded := *c
	forwarded.Forwarded = true
	o := p.server.Serve(ctx, &forwarded, cl.localPlacement(), sink)
	if p.killed.Load() {
		return call.Refused(result.Refuse(result.PeerLost, "lost"))
	}
	return o
}

func (cl *cluster) localPlacement() Placement {
	return Placement{
		Kind:  PlaceHere,
		Terms: cl.terms,
	}
}

// send sends one call in the background to VM vm, forwarded by VM by if they differ.
func (cl *cluster) send(name string, vm int, by int, kind string, unreached bool) {
	ctx, cancel := context.WithCancel(cl.t.Context())
	a := &callerRequest{
		ticketed: kind == "book",
		cancel:   cancel,
	}
	cl.mu.Lock()
	cl.requests[name] = a
	cl.mu.Unlock()
	place := cl.localPlacement()
	if by != vm {
		place = Placement{
			Kind:        PlaceForward,
			VM:          cl.processes[vm].vm,
			Unreachable: unreached,
			Terms:       cl.terms,
		}
	}
	cl.wait.Go(func() {
		p := cl.processes[by]
		a.outcome = p.server.Serve(ctx, cl.newCall(name, kind), place, a.sink())
		if p.killed.Load() {
			a.outcome = call.Refused(result.Refuse(result.PeerLost, "the VM's connection broke"))
		}
	})
}

func (a *callerRequest) sink() call.Sink {
	return call.Sink{
		Head: func(int, http.Header) error { return nil },
		Chunk: func(data []byte) error {
			a.text.Write(data)
			return nil
		},
	}
}

func (cl *cluster) newCall(name, kind string) *call.Call {
	c := &call.Call{
		ID:        name,
		Workspace: workspace,
		Kind:      call.KindService,
		Service:   service,
		Method:    http.MethodPost,
		Path:      "/confirm/7",
		Header: http.Header{
			"Idempotency-Key": {"operation"},
		},
		Body:     []byte(`{}`),
		Deadline: time.Now().Add(callTimeout),
	}
	switch kind {
	case "book":
		c.Ticket = cl.ticket
	case "look":
		c.Method = http.MethodGet
		c.Body = nil
		c.Idempotent = true
	case "chat":
		c.Kind = call.KindChat
		c.Model = model
		c.Path = "/v1/chat/completions"
		c.Idempotent = true
		c.Stream = true
		c.PromptTokens = 2
		c.MaxTokens = 8
	}
	return c
}

// settledSpend returns a process's settled spend from its metrics, in millionths of
// the currency.
func (cl *cluster) settledSpend(p *process) float64 {
	answer := httptest.NewRecorder()
	p.server.options.Metrics.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for line := range strings.Lines(answer.Body.String()) {
		if text, ok := strings.CutPrefix(line, spentMetric); ok {
			spent, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			assert.NilError(cl.t, err)
			return spent
		}
	}
	cl.t.Error("the spend metric is missing")
	return 0
}

// assertNoneInFlight fails if a ledger still counts a call as in flight.
func (cl *cluster) assertNoneInFlight(p *process) {
	now := time.Now()
	r := LimitRequest(workspace, cl.terms.Region, p.server.options.View(), now)
	r.Cost = limit.Amounts{
		Concurrency: concurrency,
	}
	reservation, refusal := p.ledger.Take(r, now)
	assert.Check(cl.t, refusal == nil, "a call is still counted as in flight: %v", refusal)
	p.ledger.Cancel(reservation, now)
}

// budgetOf applies one retry budget to all targets.
func budgetOf(b *retry.Budget) Budget {
	return Budget{
		OnRequest: func(string) { b.OnRequest() },
		Allow:     func(string) bool { return b.Allow() },
	}
}
