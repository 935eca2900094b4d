package site

import (
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
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

// TestSoundEntryEndsAnOddOne guards against an odd entry under an endpoint's id that hides the sound
// ones that the endpoint writes later.
func TestSoundEntryEndsAnOddOne(t *testing.T) {
	const sound = `"Service":"s","Addr":"10.0.0.1:1000","Zone":"r0-a","Slots":64,"State":"ready"`
	for name, odd := range map[string]string{
		"deep":        `{"more":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `,` + sound + `}`,
		"cold":        `{` + sound + `,"ColdLeftMs":1e300,"Seq":3,"born":1764700000123}`,
		"start":       `{` + sound + `,"Seq":3,"born":9223372036854775807}`,
		"number":      `{` + sound + `,"Seq":18446744073709551615,"born":1764700000123}`,
		"port":        `{"Service":"s","Addr":"10.0.0.1:70000","Zone":"r0-a","State":"ready","Seq":3,"born":1764700000123}`,
		"no document": `[[[`,
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			n := newFleetNode(smallFleet, func() time.Time { return now })
			revision := n.control.mirror.Position().Revision
			for _, value := range []string{
				`{` + sound + `,"Seq":1,"born":1764700000123}`,
				odd,
				strings.Replace(`{`+sound+`,"Seq":4,"born":1764700000123}`, ":1000", ":1001", 1),
			} {
				revision++
				now = now.Add(time.Second)
				n.control.applyRevision(discovery.Item{
					Key:      "servers/i-0",
					Revision: revision,
					Value:    []byte(value),
				}, now)
				n.control.publish(now)
			}
			usable := n.pools.warmEndpoints()
			assert.Assert(t, slices.ContainsFunc(usable, func(e fleet.Endpoint) bool { return e.ID == "i-0" && e.Addr == "10.0.0.1:1001" }), "%v", usable)
		})
	}
}
