package site

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// millicores converts a number of cores to the unit in which VMs tell it to each other.
func millicores(cores float64) uint32 {
	return uint32(min(math.Round(max(cores, 0)*1000), math.MaxUint32))
}

// selectVMs returns the VMs for a caller, by their CPU shares unless that is disabled.
func (n *Node) selectVMs(l platform.Lookup, vms []fleet.VM) []fleet.VM {
	if !n.settings.Enabled(settings.EntryWeights) {
		return entry.SelectVMs(l.Addr, l.DataCentre, vms, platform.MaxDirectoryAddrs)
	}
	return entry.SelectWeighted(l.Addr, l.DataCentre, vms, platform.MaxDirectoryAddrs)
}

// announce tells other VMs whether this VM is saturated, with the exchanges that are due.
func (g *saturationGate) announce(saturated bool) {
	g.node.control.sendSoon(func(c *control, _ time.Time) {
		c.roster.SetSaturated(saturated)
	})
}
