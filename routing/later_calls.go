package routing

import "time"

// laterFraction estimates which fraction of the calls of other VMs that wait at the engines
// are of a later queue level. VMs that do not report their queues are taken to be like this
// one: while calls yield on all VMs, most of those that an engine reports as waiting delay
// nobody, and without this estimate every call would be expected to be late.
func (p *Pool) laterFraction(queueLevel int, now time.Time) float64 {
	silent := p.silentPeerFraction(now)
	if p.vms <= 1 || silent == 0 {
		return 0
	}
	waiting, later := 0, 0
	for _, e := range p.endpoints {
		waiting += len(e.prefillQueue.prompts)
		later += countBehind(e.prefillQueue.prompts, queueLevel)
	}
	if later == 0 {
		return 0
	}
	return silent * float64(later) / float64(waiting)
}
