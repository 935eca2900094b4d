package site

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// TestEntriesWithoutTable checks that a VM without a configuration directs no caller to
// another region, since it does not know the home regions of the routes yet.
func TestEntriesWithoutTable(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := New(Options{
		Deployment: &platform.Deployment{
			VM:         "vm-0",
			Region:     "r0",
			DataCentre: "r0-a",
			Regions:    map[string]string{"r0-a": "r0", "r1-a": "r1", "r2-a": "r2"},
		},
		Logger:   slog.New(slog.DiscardHandler),
		Settings: &settings.Platform{},
		Now:      func() time.Time { return now },
	})
	c := n.control
	for _, remote := range fleetRumors(largeFleet.vms) {
		if remote.VM.Region == "r2" {
			c.roster.Receive(remote, []roster.Rumor{remote}, now)
			break
		}
	}
	c.publish(now)
	lookup := platform.Lookup{
		Host:       "h",
		Region:     "r0",
		DataCentre: "r0-a",
	}
	assert.Equal(t, len(n.entryAddrs(lookup)), 0)

	c.applyItems([]discovery.Item{{
		Key:      "op/config",
		Revision: 1,
		Value:    []byte(`{"Version":1,"Routes":[{"Host":"h","PathPrefix":"/p/","Kind":"idempotent"}]}`),
	}}, false, now)
	c.publish(now)
	assert.Assert(t, len(n.entryAddrs(lookup)) > 0)
}
