package metering

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// The world's times: ways within a region and between two, how long VMs believe what
// is no longer so, and how long a VM that starts knows nobody.
const (
	nearWay      = time.Millisecond
	farWay       = 80 * time.Millisecond
	noticedAfter = 2500 * time.Millisecond
	lookEvery    = 50 * time.Millisecond
	learntAfter  = 300 * time.Millisecond
	// tableAfter is how long after its start a VM has no table, at the most.
	tableAfter = 900 * time.Millisecond
	// backFor is how long after their return VMs count as just back.
	backFor = 2 * time.Second
	window  = 8 * time.Second
	// tidePart of the callers are in one region, and move to the next within tideTurn.
	tidePart  = 0.8
	tideTurn  = 3 * time.Second
	overshoot = 0.25
)

// world plays a scenario in virtual time.
type world struct {
	scenario
	way    way
	rand   *rand.Rand
	now    time.Duration
	queue  events
	order  int
	vms    []*vm
	tables map[float64]*route.Table
	// ideal admits as one bucket for the whole fleet would, by requests of whole.
	ideal  *limit.Ledger
	whole  *Meter
	admits map[string][]admitted
	served float64
	owed   float64
	// backServed and backOwed are those of the time after VMs are back.
	backServed float64
	backOwed   float64
	waits      int
	calls      int
	notes      int
	entries    int
	// told counts the notes with uses and those with demands.
	told [2]int
}

// admitted is one call that ran.
type admitted struct {
	at   time.Duration
	cost float64
}

type vm struct {
	fleet.VM
	index  int
	region int
	// believed is what the VM believes of the others until believedUntil.
	believed      Fleet
	believedUntil time.Duration
	meter         *Meter
	even          *limit.Ledger
	// startedAt is when this life began, and tableAt when it has a table; down is set
	// while the VM is killed.
	startedAt time.Duration
	tableAt   time.Duration
	down      bool
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

var origin = time.Unix(1e9, 0)

func (w *world) clock() time.Time { return origin.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, do: do})
}

func newWorld(s scenario, by way, seed uint64) *world {
	w := &world{
		scenario: s,
		way:      by,
		rand:     rand.New(rand.NewPCG(seed, 1)),
		tables:   make(map[float64]*route.Table),
		ideal:    limit.New(limit.Options{}),
		whole:    New(Options{}),
		admits:   make(map[string][]admitted),
	}
	for region := range s.Regions {
		for range s.VMs {
			v := &vm{
				VM: fleet.VM{
					ID:     fmt.Sprintf("vm-%d", len(w.vms)),
					Region: regionName(region),
				},
				index:  len(w.vms),
				region: region,
				// All VMs run long before traffic starts.
				startedAt: -time.Minute,
			}
			w.vms = append(w.vms, v)
			w.begin(v)
		}
	}
	for _, v := range w.vms {
		v.meter.learn(w.look(v), origin.Add(v.startedAt))
	}
	return w
}

func regionName(region int) string { return fmt.Sprintf("r%d", region) }

func (w *world) begin(v *vm) {
	var regions []string
	for region := range w.Regions {
		regions = append(regions, regionName(region))
	}
	v.down = false
	v.believedUntil = v.startedAt
	v.even = limit.New(limit.Options{})
	v.meter = New(Options{
		VM:      v.ID,
		Region:  v.Region,
		Regions: regions,
		Tolerance: Tolerance{
			Window: window,
			Part:   overshoot,
			Amount: w.Slack,
		},
		StartedAt: origin.Add(v.startedAt),
	})
}

// table is the configuration in force, with limits that may be lowered.
func (w *world) table() *route.Table {
	factor := 1.0
	if lower, ok := within(w.Lower, w.now); ok {
		factor = lower.X
	}
	if w.tables[factor] == nil {
		var list []route.Workspace
		for i := range w.Workspaces {
			perSecond := max(w.PerSecond/float64(i+1), w.Floor) * factor
			list = append(list, route.Workspace{
				Name: fmt.Sprintf("w%d", i),
				Limit: route.Limit{
					Unit:      route.UnitTokens,
					PerSecond: perSecond,
					Burst:     perSecond,
				},
			})
		}
		w.tables[factor] = route.New(route.Options{Version: 1, Keyed: true, Workspaces: list})
	}
	return w.tables[factor]
}

// reaches reports whether two VMs could talk at a time.
func (w *world) reaches(a, b *vm, at time.Duration) bool {
	if a == b {
		return true
	}
	if _, cut := within(w.Cut, at); cut && a.region != b.region {
		return false
	}
	if _, apart := within(w.Apart, at); apart && (a.index%w.VMs == 0 || b.index%w.VMs == 0) {
		return false
	}
	if _, half := within(w.Half, at); half && a.region == b.region && a.index%2 != b.index%2 {
		return false
	}
	return true
}

// fleet is what a VM believes of the others, which it looks at every now and then.
func (w *world) fleet(v *vm) Fleet {
	if w.now >= v.believedUntil {
		v.believed = w.look(v)
		v.believedUntil = w.now + lookEvery
	}
	return v.believed
}

func (w *world) look(v *vm) Fleet {
	f := Fleet{
		Far: make(map[string][]fleet.VM),
	}
	if w.now-v.startedAt < learntAfter && v.startedAt > 0 {
		f.Near = []fleet.VM{v.VM}
		f.Known = 1
		return f
	}
	for _, other := range w.vms {
		// A VM that is killed is noticed at once, as its machine refuses connections.
		if other.down || !w.reaches(v, other, max(w.now-noticedAfter, v.startedAt)) {
			continue
		}
		if other.region == v.region {
			f.Near = append(f.Near, other.VM)
			continue
		}
		f.Far[other.Region] = append(f.Far[other.Region], other.VM)
	}
	f.Known = len(f.Near)
	return f
}

func (w *world) travel(a, b *vm) time.Duration {
	if a.region == b.region {
		return nearWay
	}
	return farWay
}

// play runs the scenario.
func (w *world) play() {
	for i := range w.Workspaces {
		w.arrive(i)
	}
	for _, v := range w.vms {
		w.after(time.Duration(w.rand.Int64N(int64(noteWithin))), func() { w.tell(v) })
	}
	for _, k := range w.Kill {
		w.after(seconds(k.From), func() { w.kill(k) })
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > seconds(w.Length) {
			return
		}
		w.now = e.at
		e.do()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// kill ends a part of the VMs, which are back after a while without memory.
func (w *world) kill(k spell) {
	for _, v := range w.vms {
		if w.rand.Float64() >= k.X {
			continue
		}
		v.down = true
		w.after(seconds(k.For), func() {
			v.startedAt = w.now
			v.tableAt = w.now + time.Duration(w.rand.Int64N(int64(tableAfter)))
			w.begin(v)
		})
	}
}

// isBack reports whether VMs came back of late.
func (w *world) isBack() bool {
	return slices.ContainsFunc(w.Kill, func(k spell) bool {
		since := w.now - seconds(k.From+k.For)
		return since >= 0 && since < backFor
	})
}

func (w *world) byID(id string) *vm {
	return w.vms[slices.IndexFunc(w.vms, func(v *vm) bool { return v.ID == id })]
}

// end counts a call that was admitted, where its VM still runs.
func (w *world) end(v *vm, ws *route.Workspace, cost float64, ok bool) {
	if !ok || v.down {
		return
	}
	w.served += cost
	if w.isBack() {
		w.backServed += cost
	}
	w.admits[ws.Name] = append(w.admits[ws.Name], admitted{at: w.now, cost: cost})
}

// most is the greatest part of its bound that a workspace's work came to in a window.
func (w *world) most() (part float64, workspace string) {
	for name, list := range w.admits {
		sum, from := 0.0, 0
		for _, a := range list {
			sum += a.cost
			for a.at-list[from].at > window {
				sum -= list[from].cost
				from++
			}
			if used := sum / w.bound(name, list[from].at); used > part {
				part, workspace = used, name
			}
		}
	}
	return part, workspace
}

// bound is what a workspace may come to in a window that begins at a moment: the
// operators' rule. A lower limit binds one window after it is known.
func (w *world) bound(name string, from time.Duration) float64 {
	w.now = from - window
	ws, _ := w.table().Workspace(name)
	return (ws.Limit.PerSecond*window.Seconds()+ws.Limit.Burst)*(1+overshoot) + w.Slack
}
