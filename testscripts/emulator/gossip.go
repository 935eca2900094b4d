package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// pullAfter is how long a reader waits for its own read before it asks a peer.
const pullAfter = 300 * time.Millisecond

// gossip is one VM's side of an exchange.
type gossip struct {
	from     roster.Rumor
	digest   roster.Digest
	rumors   []roster.Rumor
	revision uint64
	cold     []coldWord
	limits   []throttle.Limit
	// limitsDigest shows whether two VMs hold the same limits of engines.
	limitsDigest uint64
	table        *route.Table
	// sender and life say whom to pull from.
	sender *vm
	life   uint64
}

type coldWord struct {
	endpoint string
	number   uint64
	left     time.Duration
}

func (v *vm) message(rumors []roster.Rumor) gossip {
	m := gossip{
		from:     v.roster.Self(),
		digest:   v.roster.Digest(),
		rumors:   rumors,
		revision: v.mirror.Revision(),
		table:    v.discovery.Table(),
		sender:   v,
		life:     v.life,
	}
	now := v.now()
	m.limits = v.throttle.Recent(now)
	m.limitsDigest = v.throttle.Digest()
	for _, e := range v.discovery.Endpoints(now) {
		if e.Region == v.vm.Region && !e.ColdUntil.IsZero() {
			m.cold = append(m.cold, coldWord{
				endpoint: e.ID,
				number:   e.ColdNumber,
				left:     e.ColdUntil.Sub(now),
			})
		}
	}
	return m
}

func (v *vm) exchange(targets []roster.Target) {
	for _, t := range targets {
		v.exchangeWith(t)
	}
}

// exchangeWith sends a message and takes the answer, or that there was none.
func (v *vm) exchangeWith(t roster.Target) {
	w, life := v.world, v.life
	var to *vm
	for _, other := range w.vms {
		if other.vm.PeerAddr == t.VM.PeerAddr {
			to = other
		}
	}
	m := v.message(v.roster.Recent(v.now()))
	answered := false
	w.after(dialWithin, func() {
		if !answered {
			v.do(life, func() { v.missed(t) })
		}
	})
	w.network.send(v.vm.Region, to.vm.Region, func() {
		if !to.up {
			w.network.send(to.vm.Region, v.vm.Region, func() {
				answered = true
				v.do(life, func() { v.roster.Refused(t.VM.ID, v.now()) })
			})
			return
		}
		to.do(to.life, func() {
			to.heard(m)
			reply := to.message(to.roster.Differing(m.digest))
			if reply.limitsDigest != m.limitsDigest {
				reply.limits = to.throttle.Limits()
			}
			w.network.send(to.vm.Region, v.vm.Region, func() {
				if answered {
					return
				}
				answered = true
				v.do(life, func() { v.heard(reply) })
			})
		})
	})
}

func (v *vm) missed(t roster.Target) {
	if t.VM.ID != "" {
		v.roster.Missed(t.VM.ID, v.now())
	}
}

func (v *vm) heard(m gossip) {
	now := v.now()
	v.roster.Heard(m.from, m.rumors, now)
	v.pictured = nil
	if m.table != nil {
		v.heardTable = m.table
	}
	news := false
	for _, c := range m.cold {
		if v.discovery.HeardCold(c.endpoint, c.number, now.Add(c.left), now) {
			news = true
		}
	}
	if news {
		v.changed = true
		v.publish()
		v.exchange(v.roster.Spread(coldTellTo))
	}
	if m.sender.vm.Region == v.vm.Region {
		for _, w := range m.limits {
			v.throttle.Learn(w, now)
		}
	}
	if m.revision > v.mirror.Revision() {
		v.pullSoon(m)
	}
}

// pullSoon asks a peer for what it holds of the store.
func (v *vm) pullSoon(m gossip) {
	w, life := v.world, v.life
	wait := time.Duration(0)
	if v.picture().Reads(readers) {
		wait = pullAfter
	}
	w.after(wait, func() {
		v.do(life, func() {
			if v.mirror.Revision() < m.revision {
				v.pull(m.sender, m.life)
			}
		})
	})
}

func (v *vm) pull(from *vm, fromLife uint64) {
	w, life := v.world, v.life
	after := v.mirror.Revision()
	w.network.send(v.vm.Region, from.vm.Region, func() {
		from.do(fromLife, func() {
			var got reading
			got.items, got.whole = from.mirror.Since(after)
			got.revision = from.mirror.Revision()
			settling := from.discovery.Settling(from.now())
			w.network.send(from.vm.Region, v.vm.Region, func() {
				v.do(life, func() { v.tookPull(got, settling) })
			})
		})
	})
}

func (v *vm) tookPull(got reading, settling time.Duration) {
	v.discovery.SettleUntil(v.now().Add(settling))
	v.takeNew(v.merge(got))
}
