package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// pullDelay gives a store reader time to see a change itself before it asks a peer.
const pullDelay = 300 * time.Millisecond

// gossipMessage is what one VM sends in an exchange.
type gossipMessage struct {
	sender        roster.Rumor
	digest        roster.Digest
	rumors        []roster.Rumor
	position      discovery.Position
	coldEndpoints []coldEndpoint
	leaving       []discovery.LeavingEndpoint
	limits        []throttle.Limit
	// limitsDigest differs if two VMs know different engine limits.
	limitsDigest uint64
	table        *route.Table
	// senderVM and senderIncarnation identify the process to pull from.
	senderVM          *vm
	senderIncarnation uint64
}

type coldEndpoint struct {
	id          string
	startNumber uint64
	remaining   time.Duration
}

func (v *vm) newGossipMessage(rumors []roster.Rumor) gossipMessage {
	m := gossipMessage{
		sender:            v.roster.Self(),
		digest:            v.roster.Digest(),
		rumors:            rumors,
		position:          v.mirror.Position(),
		table:             v.discovery.Table(),
		senderVM:          v,
		senderIncarnation: v.incarnation,
	}
	now := v.now()
	m.leaving = v.discovery.UnpublishedLeaving()
	m.limits = v.throttle.Recent(now)
	m.limitsDigest = v.throttle.Digest()
	for _, e := range v.discovery.Degraded(now) {
		if e.Region == v.member.Region && !e.ColdUntil.IsZero() {
			m.coldEndpoints = append(m.coldEndpoints, coldEndpoint{
				id:          e.ID,
				startNumber: e.ColdReportNumber,
				remaining:   e.ColdUntil.Sub(now),
			})
		}
	}
	slices.SortFunc(m.coldEndpoints, func(a, b coldEndpoint) int { return cmp.Compare(a.id, b.id) })
	return m
}

func (v *vm) gossipTo(targets []roster.Target) {
	for _, t := range targets {
		v.gossipToOne(t)
	}
}

// gossipToOne exchanges messages with one peer and records a timeout if it does not answer.
func (v *vm) gossipToOne(t roster.Target) {
	w, incarnation := v.world, v.incarnation
	var peer *vm
	for _, other := range w.vms {
		if other.member.PeerAddr == t.VM.PeerAddr {
			peer = other
		}
	}
	m := v.newGossipMessage(v.roster.RecentRumors(v.now()))
	answered := false
	w.after(dialTimeout, func() {
		if !answered {
			v.run(incarnation, func() { v.gossipTimedOut(t) })
		}
	})
	w.network.send(v.member.Region, peer.member.Region, func() {
		if !peer.up {
			w.network.send(peer.member.Region, v.member.Region, func() {
				answered = true
				v.run(incarnation, func() { v.roster.RecordRefused(t.VM.ID, v.now()) })
			})
			return
		}
		peer.run(peer.incarnation, func() {
			peer.applyGossip(m)
			reply := peer.newGossipMessage(peer.roster.DifferingRumors(m.digest))
			if reply.limitsDigest != m.limitsDigest {
				reply.limits = peer.throttle.Limits()
			}
			w.network.send(peer.member.Region, v.member.Region, func() {
				if answered {
					return
				}
				answered = true
				v.run(incarnation, func() { v.applyGossip(reply) })
			})
		})
	})
}

func (v *vm) gossipTimedOut(t roster.Target) {
	if t.VM.ID != "" {
		v.roster.RecordMiss(t.VM.ID, v.now())
	}
}

func (v *vm) applyGossip(m gossipMessage) {
	now := v.now()
	v.roster.Receive(m.sender, m.rumors, now)
	v.cachedSnapshot = nil
	if m.table != nil {
		v.peerTable = m.table
	}
	changed := false
	for _, c := range m.coldEndpoints {
		if v.discovery.ReportColdFromPeer(c.id, c.startNumber, now.Add(c.remaining), now) {
			changed = true
		}
	}
	if changed {
		v.endpointsChanged = true
		v.applyState()
		v.gossipTo(v.roster.RandomTargets(coldFanout))
	}
	if m.senderVM.member.Region == v.member.Region {
		v.learnLeaving(m.leaving)
		for _, w := range m.limits {
			v.throttle.Learn(w, now)
		}
	}
	if m.position.IsAfter(v.mirror.Position()) {
		v.schedulePull(m)
	}
}

// schedulePull pulls the store's contents from a peer that is at a later position.
func (v *vm) schedulePull(m gossipMessage) {
	w, incarnation := v.world, v.incarnation
	wait := time.Duration(0)
	if v.snapshot().ReadsStore(storeReaders) {
		wait = pullDelay
	}
	w.after(wait, func() {
		v.run(incarnation, func() {
			if m.position.IsAfter(v.mirror.Position()) {
				v.pullFrom(m.senderVM, m.senderIncarnation)
			}
		})
	})
}

func (v *vm) pullFrom(from *vm, fromIncarnation uint64) {
	w, incarnation := v.world, v.incarnation
	known := v.mirror.Position()
	w.network.send(v.member.Region, from.member.Region, func() {
		from.run(fromIncarnation, func() {
			var result readResult
			result.items, result.full = from.mirror.ChangesSince(known)
			result.position = from.mirror.Position()
			settling := from.discovery.GraceRemaining(from.now())
			w.network.send(from.member.Region, v.member.Region, func() {
				v.run(incarnation, func() { v.applyPull(result, settling) })
			})
		})
	})
}

func (v *vm) applyPull(pulled readResult, settleFor time.Duration) {
	v.discovery.ExtendGrace(v.now().Add(settleFor))
	v.applyItems(pulled)
}
