package emulator

import "time"

const (
	// localLatency is the one-way latency within a region.
	localLatency = time.Millisecond
	// minRegionLatency and maxRegionLatency bound the one-way latency between regions.
	minRegionLatency = 5 * time.Millisecond
	maxRegionLatency = 90 * time.Millisecond
	// dialTimeout is how long an unanswered connection attempt takes to fail.
	dialTimeout = time.Second
)

// network delivers messages between regions unless they are partitioned.
type network struct {
	world      *world
	latencies  map[link]time.Duration
	partitions map[link]int
	// peerPartitions do not affect reads of the store.
	peerPartitions map[link]int
}

// link is one direction between two regions.
type link struct {
	from, to string
}

func newNetwork(w *world) *network {
	n := &network{
		world:      w,
		latencies:  make(map[link]time.Duration),
		partitions: make(map[link]int),

		peerPartitions: make(map[link]int),
	}
	for a := range w.topology.regions {
		for b := range a {
			latency := w.randomDuration(minRegionLatency, maxRegionLatency)
			n.latencies[link{from: regionName(a), to: regionName(b)}] = latency
			n.latencies[link{from: regionName(b), to: regionName(a)}] = latency
		}
	}
	return n
}

func (n *network) latency(from, to string) time.Duration {
	if from == to {
		return localLatency
	}
	return n.latencies[link{from: from, to: to}]
}

// send delivers a message after the latency of its link, unless the link is then partitioned.
func (n *network) send(from, to string, do func()) {
	n.sendStore(from, to, func() {
		if n.peerPartitions[link{from: from, to: to}] == 0 {
			do()
		}
	})
}

// sendStore is send for the messages of reads of the store.
func (n *network) sendStore(from, to string, do func()) {
	n.world.after(n.latency(from, to), func() {
		if n.partitions[link{from: from, to: to}] == 0 {
			do()
		}
	})
}

// partitionPeers separates the VMs of all regions, which all reach the store.
func (n *network) partitionPeers(duration time.Duration) {
	add := func(delta int) {
		for l := range n.latencies {
			n.peerPartitions[l] += delta
		}
	}
	add(1)
	n.world.after(duration, func() { add(-1) })
}

// separated reports whether messages are dropped in any direction between two regions. The
// connections between their VMs then time out.
func (n *network) separated(a, b string) bool {
	forward, backward := link{from: a, to: b}, link{from: b, to: a}
	return n.partitions[forward]+n.partitions[backward]+n.peerPartitions[forward]+n.peerPartitions[backward] > 0
}

// partition drops messages between two regions in both directions for the duration.
func (n *network) partition(a, b string, duration time.Duration) {
	forward, backward := link{from: a, to: b}, link{from: b, to: a}
	n.partitions[forward]++
	n.partitions[backward]++
	n.world.after(duration, func() {
		n.partitions[forward]--
		n.partitions[backward]--
	})
}
