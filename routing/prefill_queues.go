package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// PrefillQueue is the prefill queue of one endpoint for one VM's calls.
type PrefillQueue struct {
	Endpoint string
	// HeadChangedAt is when a prompt last left the queue.
	HeadChangedAt time.Time
	Prompts       []QueuedPrompt
}

// QueuedPrompt is the part of a call's prompt that an endpoint has to prefill.
type QueuedPrompt struct {
	Tokens int
	// QueueLevel is the call's level in the endpoint's queue.
	QueueLevel int
	SentAt     time.Time
}

// peerTTL is how long a VM counts as reporting its queues; it reports every second.
const peerTTL = 3 * time.Second

// PrefillQueues returns the prefill queues of this VM's calls; changes counts how often they
// have changed.
func (p *Pool) PrefillQueues() (list []PrefillQueue, changes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if len(e.prefillQueue.prompts) == 0 {
			continue
		}
		u := PrefillQueue{
			Endpoint:      e.ID,
			HeadChangedAt: e.prefillQueue.headChangedAt,
		}
		for _, q := range e.prefillQueue.prompts {
			u.Prompts = append(u.Prompts, QueuedPrompt{
				Tokens:     int(q.tokens),
				QueueLevel: q.queueLevel,
				SentAt:     q.sentAt,
			})
		}
		list = append(list, u)
	}
	return list, p.queueChanges
}

// SetPeerQueues stores another VM's prefill queues as of at. Endpoints that are not in the
// list have empty ones.
func (p *Pool) SetPeerQueues(vm string, list []PrefillQueue, at, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peersHeardAt[vm] = now
	p.dropSilentPeers(now)
	byEndpoint := make(map[string]PrefillQueue, len(list))
	for _, u := range list {
		byEndpoint[u.Endpoint] = u
	}
	for _, e := range p.endpoints {
		e.prefillQueue.setPeer(byEndpoint[e.ID].toPeerQueue(vm, at).sentSince(e.restartedAt))
	}
}

// dropSilentPeers removes VMs that no longer report. VMs are replaced under new names, some
// 230 a day in a large fleet, so they would accumulate.
func (p *Pool) dropSilentPeers(now time.Time) {
	for vm, at := range p.peersHeardAt {
		if now.Sub(at) <= peerTTL {
			continue
		}
		delete(p.peersHeardAt, vm)
		for _, e := range p.endpoints {
			e.prefillQueue.removePeer(vm)
		}
	}
}

func (u PrefillQueue) toPeerQueue(vm string, at time.Time) peerQueue {
	o := peerQueue{
		vm:            vm,
		headChangedAt: u.HeadChangedAt,
		reportedAt:    at,
	}
	for _, q := range u.Prompts {
		o.prompts = append(o.prompts, queuedPrompt{
			tokens:     float64(q.Tokens),
			queueLevel: min(max(q.QueueLevel, 0), call.QueueLevels-1),
			sentAt:     q.SentAt,
		})
	}
	return o
}

// silentPeerFraction is the fraction of the other VMs that do not report their queues.
func (p *Pool) silentPeerFraction(now time.Time) float64 {
	if p.vms <= 1 {
		return 1
	}
	reporting := 0
	for _, at := range p.peersHeardAt {
		if now.Sub(at) <= peerTTL {
			reporting++
		}
	}
	return float64(max(p.vms-1-reporting, 0)) / float64(p.vms-1)
}
