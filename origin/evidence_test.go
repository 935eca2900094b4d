package origin

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestVersionOfEvidence guards against joining a stream at a version that another one may have
// begun.
func TestVersionOfEvidence(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		// Endpoints are lines "id version read|unread|incomplete".
		Endpoints  []string
		Serving    map[string]string
		Known      bool
		Departures []string
		Want       string
		Doubt      Doubt
	}](t, "testdata/evidence.json") {
		t.Run(c.Name, func(t *testing.T) {
			e := Evidence{
				Serving:         c.Serving,
				DeparturesKnown: c.Known,
			}
			for _, line := range c.Endpoints {
				fields := strings.Fields(line)
				e.Endpoints = append(e.Endpoints, EndpointEvidence{
					Endpoint: fields[0],
					Version:  fields[1],
					HasRead:  fields[2] == "read",
					Complete: fields[2] != "incomplete",
				})
			}
			for _, version := range c.Departures {
				e.Departures = append(e.Departures, Departure{
					Version:        version,
					VersionUnknown: version == "?",
				})
			}
			version, doubt := e.Version()
			assert.Equal(t, version, c.Want)
			assert.Equal(t, doubt, c.Doubt)
			assert.Equal(t, doubt == "", c.Want != "")
		})
	}
}

// TestPast guards against taking an endpoint for gone before it can have been.
func TestPast(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range datatest.Read[[]struct {
		Name        string
		Until, Kept float64
		// Writes are lines "id version seq [draining [remaining]]", "id gone" or "configuration".
		Writes        []string
		Since         float64
		Left          map[string]float64
		Configuration float64
		// Timeouts is when the timeouts are known from.
		Timeouts float64
	}](t, "testdata/past.json") {
		t.Run(c.Name, func(t *testing.T) {
			h := History{
				Until:     at(c.Until),
				Heartbeat: 1200 * time.Millisecond,
				Drain:     4 * time.Second,
			}
			if c.Kept > 0 {
				h.Since = at(c.Kept)
			}
			for _, line := range c.Writes {
				h.Writes = append(h.Writes, parseWrite(t, line))
			}
			p := h.Past("s")
			assert.Equal(t, p.Since, at(c.Since))
			assert.Equal(t, len(p.departures), len(c.Left))
			for version, seconds := range c.Left {
				d := departed{version: version, known: true}
				if version == "?" {
					d = departed{}
				}
				assert.Equal(t, p.departures[d], at(seconds), version)
			}
			if c.Configuration > 0 {
				assert.Equal(t, h.ConfigurationSince(), at(c.Configuration))
				assert.Equal(t, h.Timeouts().Since, at(c.Timeouts))
			}
		})
	}
}

func parseWrite(t *testing.T, line string) Write {
	fields := strings.Fields(line)
	w := Write{
		Endpoint:      fields[0],
		Removed:       strings.HasSuffix(line, " gone"),
		Configuration: line == "configuration",
	}
	if len(fields) < 3 {
		return w
	}
	seq, err := strconv.ParseUint(fields[2], 10, 64)
	assert.NilError(t, err)
	w.Service, w.Version, w.Seq, w.Draining = "s", fields[1], seq, len(fields) > 3
	if w.Version == "other" {
		w.Service = "other"
	}
	if len(fields) > 4 {
		seconds, err := strconv.ParseFloat(fields[4], 64)
		assert.NilError(t, err)
		w.Remaining = time.Duration(seconds * float64(time.Second))
	}
	return w
}

// TestRestore guards against claiming to know a time in which changes may have gone unseen.
func TestRestore(t *testing.T) {
	past := History{Until: start, Since: start.Add(-20 * time.Second)}.Past("s")
	r := NewRegister()
	r.Observe("s", []string{"v1"}, start)
	assert.Assert(t, !r.KnownSince("s", start.Add(-time.Second)))
	r.Restore("s", past)
	version, ok := r.Sole("s", start.Add(-10*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, version, "v1")
	r.ObserveDeparture("s", "v2", start.Add(time.Second))
	_, ok = r.Sole("s", start)
	assert.Assert(t, !ok)
	departures, known := r.Departures("s", start)
	assert.Assert(t, known)
	assert.DeepEqual(t, departures, []Departure{{Version: "v2"}})
	r.Restart(start.Add(2 * time.Second))
	r.Restore("s", past)
	assert.Assert(t, !r.KnownSince("s", start))
}
