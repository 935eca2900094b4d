package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/roster"
)

const (
	// minPackedMembers is the number of members from which all rumors are packed once for
	// several VMs.
	minPackedMembers = 64
	// packedRumorsReuse is how long they are sent as they are. Later rumors follow with the
	// next exchange.
	packedRumorsReuse = 250 * time.Millisecond
)

// packedRumors holds all rumors in packed form, for VMs that know few of them. When a
// fleet starts, all its VMs ask the seeds several times a second.
type packedRumors struct {
	packed   []byte
	packedAt time.Time
}

// addRumors adds to a reply what a peer with the given digest lacks.
func (c *control) addRumors(m *peerpb.GossipMessage, theirs roster.Digest, now time.Time) {
	if len(c.roster.Snapshot().Members) >= minPackedMembers && c.roster.DiffersMostly(theirs) && c.packRumors(now) {
		m.PackedRumors = c.packedRumors.packed
		return
	}
	for _, r := range c.roster.DifferingRumors(theirs) {
		m.Rumors = append(m.Rumors, rumorMessage(r))
	}
}

// packRumors packs all rumors unless that was done lately.
func (c *control) packRumors(now time.Time) bool {
	if len(c.packedRumors.packed) > 0 && now.Sub(c.packedRumors.packedAt) <= packedRumorsReuse {
		return true
	}
	var list []*peerpb.Rumor
	for _, r := range c.roster.Rumors() {
		list = append(list, rumorMessage(r))
	}
	packed, err := peer.PackRumors(list)
	if err != nil {
		c.node.log.Warn("rumors_not_packed", "reason", err.Error())
		return false
	}
	c.packedRumors = packedRumors{
		packed:   packed,
		packedAt: now,
	}
	return true
}
