package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestDays checks the number and the times of the disruptions, and that equal seeds give equal
// days.
func TestDays(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name          string
		Count         int
		Least         int
		Most          int
		FromSeconds   int `json:"from"`
		WithinSeconds int `json:"within"`
		Bursts        bool
		// Extra is the number of disruptions beside the random ones.
		Extra int
		Error string
	}](t, "testdata/days.json") {
		t.Run(c.Name, func(t *testing.T) {
			o := Options{
				Seed:   7,
				Count:  c.Count,
				Least:  c.Least,
				Most:   c.Most,
				From:   time.Duration(c.FromSeconds) * time.Second,
				Within: time.Duration(c.WithinSeconds) * time.Second,
				Bursts: c.Bursts,
				Dir:    t.TempDir(),
			}
			err := writeDays(o)
			if c.Error != "" {
				assert.ErrorContains(t, err, c.Error)
				return
			}
			assert.NilError(t, err)
			files, err := filepath.Glob(filepath.Join(o.Dir, "*.toml"))
			assert.NilError(t, err)
			assert.Equal(t, len(files), c.Count)
			for _, file := range files {
				day := readDay(t, file)
				again, err := newDay(o, day.Seed)
				assert.NilError(t, err)
				assert.DeepEqual(t, day, again)
				checkDay(t, o, day, c.Extra)
			}
		})
	}
}

func readDay(t *testing.T, file string) (day Day) {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	_, err = toml.Decode(string(text), &day)
	assert.NilError(t, err)
	return day
}

func checkDay(t *testing.T, o Options, day Day, extra int) {
	t.Helper()
	all := slices.Concat(day.Plan, day.Faults)
	assert.Assert(t, len(all) >= o.Least+extra && len(all) <= o.Most+extra, len(all))
	for _, d := range all {
		if extra == 0 {
			assert.Assert(t, d.At >= o.From.Seconds() && d.At <= (o.From+o.Within).Seconds(), d.At)
		}
	}
}
