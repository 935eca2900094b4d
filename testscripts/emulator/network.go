package emulator

import "time"

const (
	// nearWay is the time between two places of one region, one way.
	nearWay = time.Millisecond
	// leastWay and mostWay bound it between regions.
	leastWay = 5 * time.Millisecond
	mostWay  = 90 * time.Millisecond
	// dialWithin is how long a connection that nobody answers is waited for.
	dialWithin = time.Second
)

// network carries messages between regions, unless it is cut.
type network struct {
	world *world
	ways  map[link]time.Duration
	cuts  map[link]int
}

// link is the way from one region to another.
type link struct {
	from, to string
}

func newNetwork(w *world) *network {
	n := &network{
		world: w,
		ways:  make(map[link]time.Duration),
		cuts:  make(map[link]int),
	}
	for a := range w.shape.regions {
		for b := range a {
			way := w.between(leastWay, mostWay)
			n.ways[link{from: regionName(a), to: regionName(b)}] = way
			n.ways[link{from: regionName(b), to: regionName(a)}] = way
		}
	}
	return n
}

func (n *network) way(from, to string) time.Duration {
	if from == to {
		return nearWay
	}
	return n.ways[link{from: from, to: to}]
}

// send delivers a message after its way; it is lost while the way is cut.
func (n *network) send(from, to string, do func()) {
	n.world.after(n.way(from, to), func() {
		if n.cuts[link{from: from, to: to}] == 0 {
			do()
		}
	})
}

// cut loses what goes either way between two regions for some time.
func (n *network) cut(a, b string, lasts time.Duration) {
	there, back := link{from: a, to: b}, link{from: b, to: a}
	n.cuts[there]++
	n.cuts[back]++
	n.world.after(lasts, func() {
		n.cuts[there]--
		n.cuts[back]--
	})
}
