package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/settings"
)

const benchOutput = `score on the standard days: 0.647
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 6/13   0.53  0.880  0.961   0.000  0.011  worst windows 0.87
scale-1                 6/13   0.74 -0.100  0.524   0.264  0.046  worst windows 0.14
trouble-1               6/13   0.00  0.700  0.889   0.011  0.027  worst windows 0.43  BROKEN: GONE 1
fresh-6836              8/12   0.79  0.764  0.926   0.008  0.034  worst windows 0.59
GATE failed
`

func TestTable(t *testing.T) {
	results := parseResults(benchOutput)
	assert.Equal(t, len(results), 3)
	without := []dayResult{{name: quietDay, worth: 0.8}, {name: "scale-1", worth: 0.2}}
	var out strings.Builder
	printTable(&out, []string{"sites/one.toml"}, []variant{
		{name: baseline, sites: []siteSummary{summarize(results)}},
		{name: settings.Borrowing, sites: []siteSummary{summarize(without)}},
	})
	assert.Equal(t, out.String(), `| Without | one, trouble | calm | days with a broken rule |
| --- | --- | --- | --- |
| (all on) | 0.300 | 0.880 | 1 |
| borrowing | -0.100 | -0.080 | 0 |
`)
}

// TestDisableMechanism checks that the copied settings disable only the given mechanism.
func TestDisableMechanism(t *testing.T) {
	data, err := os.ReadFile("../../deploy/gateway.json")
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "gateway.json")
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	assert.NilError(t, disableMechanism(file, settings.Fetches))
	s, refusal := settings.LoadPlatform(file)
	assert.Assert(t, refusal == nil)
	assert.Assert(t, !s.Enabled(settings.Fetches))
	assert.Assert(t, s.Enabled(settings.Borrowing))
}
