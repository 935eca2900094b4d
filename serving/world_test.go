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
	wholeWithin = 10 * time.Second
	spentMetric = "fuchsianotch_spend_millionths_total "
)

const models = `{"format":1,
"models":[{"model":"m","prompt_price":1000,"generated_price":1000,"max_tokens":64}],
"services":[{"service":"s","call_price":10,"calls":[]}]}`

// process is one VM's serving parts. A dead one sends and answers nothing more.
type process struct {
	vm     fleet.VM
	desk   *ticket.Desk
	server *Server
	ledger *limit.Ledger
	dead   atomic.Bool
}

// world is a few processes before one scripted endpoint.
type world struct {
	t         *testing.T
	fake      *fake
	processes []*process
	terms     Terms
	ticket    string
	handOver  ticket.HandOver

	mu   sync.Mutex
	asks map[string]*asked
	wait sync.WaitGroup
}

// asked is one ask with what its caller was told.
type asked struct {
	ticketed bool
	leave    context.CancelFunc
	outcome  call.Outcome
	text     strings.Builder
}

func newWorld(t *testing.T, answers []string) *world {
	w := &world{
		t:    t,
		fake: newFake(t, answers),
		asks: make(map[string]*asked),
		terms: Terms{
			Contract: &contract.Contract{
				Workspace: workspace,
			},
			Region: contract.RegionTerms{
				Region:            region,
				RequestsPerSecond: 100,
				TokensPerSecond:   1000,
				SpendPerHour:      1e6,
				Concurrency:       concurrency,
			},
		},
	}
	for i := range 3 {
		w.processes = append(w.processes, w.newProcess(i))
	}
	w.ticket = w.processes[0].desk.Issue(workspace, time.Now().Add(time.Minute))
	return w
}

func (w *world) newProcess(i int) *process {
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
	p.desk = ticket.New(ticket.Options{
		VM:          p.vm.ID,
		Incarnation: 1,
	})
	p.server = New(Options{
		Now:      time.Now,
		VM:       p.vm.ID,
		Region:   region,
		Snapshot: w.snapshot(),
		View:     viewOf(p.vm),
		Pool:     w.pool(),
		Forward:  w.forward,
		Borrow:   func(*call.Call, Terms) (fleet.VM, bool) { return fleet.VM{}, false },
		Ledger:   p.ledger,
		Desk:     p.desk,
		Endpoint: endpoint.New(endpoint.Options{
			Client: &http.Client{
				Transport: &http.Transport{
					DialContext:     w.fake.dial(p),
					IdleConnTimeout: time.Second,
				},
			},
		}),
		Budget: budgetOf(retry.New(1)),
		Ring: timeline.New(timeline.Options{
			VM:       p.vm.ID,
			Capacity: 64,
			Now:      time.Now,
		}),
		Metrics: metrics.New(),
	})
	return p
}

func (w *world) snapshot() func() *configuration.Snapshot {
	store := configuration.New(configuration.Options{})
	verdicts := store.Offer([]configuration.Document{
		{
			Key:      "models",
			Revision: 1,
			Value:    []byte(models),
		},
	})
	assert.Assert(w.t, verdicts[0].Refusal == nil, "%v", verdicts[0].Refusal)
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

func (w *world) pool() func(string) (*Pool, bool) {
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

// forward carries a call to the process that it names, as the peer protocol
// does: a dead one is not reached, one that dies later is lost.
func (w *world) forward(ctx context.Context, vm fleet.VM, c *call.Call, sink call.Sink) call.Outcome {
	var p *process
	for _, other := range w.processes {
		if other.vm.ID == vm.ID {
			p = other
		}
	}
	if p.dead.Load() {
		return call.Refused(result.Refuse(result.PeerUnreachable, "not reached"))
	}
	forwarded := *c
	forwarded.Forwarded = true
	o := p.server.Serve(ctx, &forwarded, w.here(), sink)
	if p.dead.Load() {
		return call.Refused(result.Refuse(result.PeerLost, "lost"))
	}
	return o
}

func (w *world) here() Placement {
	return Placement{
		Kind:  PlaceHere,
		Terms: w.terms,
	}
}

// ask sends one call in the background: to a process, or to one by another.
func (w *world) ask(name string, vm int, by int, kind string, unreached bool) {
	ctx, leave := context.WithCancel(w.t.Context())
	a := &asked{
		ticketed: kind == "book",
		leave:    leave,
	}
	w.mu.Lock()
	w.asks[name] = a
	w.mu.Unlock()
	place := w.here()
	if by != vm {
		place = Placement{
			Kind:      PlaceForward,
			VM:        w.processes[vm].vm,
			Unreached: unreached,
			Terms:     w.terms,
		}
	}
	w.wait.Go(func() {
		p := w.processes[by]
		a.outcome = p.server.Serve(ctx, w.newCall(name, kind), place, a.sink())
		if p.dead.Load() {
			a.outcome = call.Refused(result.Refuse(result.PeerLost, "the VM's connection broke"))
		}
	})
}

func (a *asked) sink() call.Sink {
	return call.Sink{
		Head: func(int, http.Header) error { return nil },
		Chunk: func(data []byte) error {
			a.text.Write(data)
			return nil
		},
	}
}

func (w *world) newCall(name, kind string) *call.Call {
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
		Body:    []byte(`{}`),
		WholeBy: time.Now().Add(wholeWithin),
	}
	switch kind {
	case "book":
		c.Ticket = w.ticket
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

// spent is what a process has settled, in millionths of the currency, as its
// metrics tell.
func (w *world) spent(p *process) float64 {
	answer := httptest.NewRecorder()
	p.server.options.Metrics.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for line := range strings.Lines(answer.Body.String()) {
		if text, ok := strings.CutPrefix(line, spentMetric); ok {
			spent, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			assert.NilError(w.t, err)
			return spent
		}
	}
	w.t.Error("no metric of what was spent")
	return 0
}

// assertAllGivenBack fails if a call in flight was left counted in a ledger.
func (w *world) assertAllGivenBack(p *process) {
	now := time.Now()
	r := LimitRequest(workspace, w.terms.Region, p.server.options.View(), now)
	r.Cost = limit.Amounts{
		Concurrency: concurrency,
	}
	reservation, refusal := p.ledger.Take(r, now)
	assert.Check(w.t, refusal == nil, "a call in flight was not given back: %v", refusal)
	p.ledger.Cancel(reservation, now)
}

// budgetOf is one budget for the calls of all targets.
func budgetOf(b *retry.Budget) Budget {
	return Budget{
		OnRequest: func(string) { b.OnRequest() },
		Allow:     func(string) bool { return b.Allow() },
	}
}
