package main

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestSum adds up a day with one attempt for each reason, one that was in time
// and one that did not end.
func TestSum(t *testing.T) {
	kinds, err := readKinds("testdata/site.toml")
	assert.NilError(t, err)
	attempts, err := readFile("testdata/day.log")
	assert.NilError(t, err)
	var out strings.Builder
	addUp(attempts, kinds, 2*time.Second).print(&out)
	golden.Assert(t, out.String(), "sum.txt")
}
