package metering

import (
	"math"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/route"
)

// arrive has the next call of a workspace come.
func (w *world) arrive(i int) {
	ws := w.table().Workspaces()[i]
	perSecond := w.Load * max(w.PerSecond/float64(i+1), w.Floor) / w.Cost
	if hot, ok := within(w.Hot, w.now); ok && i == 0 {
		perSecond *= hot.X
	}
	w.after(time.Duration(w.rand.ExpFloat64()/perSecond*float64(time.Second)), func() {
		cost := w.Cost * math.Exp(w.rand.NormFloat64()*0.8-0.32)
		w.call(w.pick(), &ws, math.Ceil(cost))
		w.arrive(i)
	})
}

// pick draws the VM that a caller is connected to. Callers of VMs that are down are
// at others.
func (w *world) pick() *vm {
	for {
		v := w.vms[w.rand.IntN(len(w.vms))]
		if w.OneVM {
			v = w.vms[0]
		}
		if w.OneRegion || w.OneVM {
			v = w.vms[v.index%w.VMs]
		}
		if w.Tide > 0 && w.rand.Float64() < tidePart {
			v = w.vms[w.highRegion()*w.VMs+v.index%w.VMs]
		}
		if !v.down || w.allDown() {
			return v
		}
	}
}

// highRegion draws the region in which most callers are: it changes within tideTurn.
func (w *world) highRegion() int {
	number := w.now.Seconds() / w.Tide
	region := int(number)
	left := (float64(region+1) - number) * w.Tide
	if w.rand.Float64() < 1-left/tideTurn.Seconds() {
		region++
	}
	return region % w.Regions
}

func (w *world) allDown() bool {
	return !slices.ContainsFunc(w.vms, func(v *vm) bool { return !v.down })
}

// call has one call decided, and counts what one bucket would have made of it.
func (w *world) call(v *vm, ws *route.Workspace, cost float64) {
	if v.down || w.now < v.tableAt {
		return
	}
	current, _ := w.table().Workspace(ws.Name)
	w.calls++
	if w.idealTakes(current, cost) {
		w.owed += cost
		if w.isBack() {
			w.backOwed += cost
		}
	}
	switch w.way {
	case wayEven, wayWhole:
		w.end(v, current, cost, w.takeFixed(v, current, cost))
	default:
		w.take(v, current, cost)
	}
}

func (w *world) idealTakes(ws *route.Workspace, cost float64) bool {
	r := w.whole.request(ws, 1, cost, w.clock())
	r.Opening = 1
	_, refused := w.ideal.Take(r, w.clock())
	return refused == nil
}

func (w *world) takeFixed(v *vm, ws *route.Workspace, cost float64) bool {
	share := 1.0
	if w.way == wayEven {
		share = 1 / float64(len(w.vms))
	}
	_, refused := v.even.Take(v.meter.request(ws, share, cost, w.clock()), w.clock())
	return refused == nil
}

func (w *world) take(v *vm, ws *route.Workspace, cost float64) {
	verdict := v.meter.Take(ws, cost, w.fleet(v), w.clock())
	keeper := verdict.Keeper
	if w.way == waySync && verdict.Refusal == nil && keeper == nil {
		v.meter.GiveBack(ws, cost, w.fleet(v), w.clock())
		first := v.meter.keeper(ws.Name, w.fleet(v))
		keeper = &first
	}
	if keeper == nil {
		w.hurry(v)
		w.end(v, ws, cost, verdict.Refusal == nil)
		return
	}
	w.waits++
	w.send(v, w.byID(keeper.ID), Note{
		Uses: []Use{{Workspace: ws.Name, Wanted: cost}},
	}, 150*time.Millisecond, func(r *Reply) {
		if r != nil && len(r.Answers) == 1 && r.Answers[0].Kept {
			w.end(v, ws, cost, v.meter.Answered(ws, cost, r.Answers[0]).Refusal == nil)
			return
		}
		w.end(v, ws, cost, v.meter.TakeAlone(ws, *keeper, cost, w.clock()).Refusal == nil)
	})
}
