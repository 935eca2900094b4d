package main

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestSum covers each reason for a loss, an attempt in time and an unfinished one.
func TestSum(t *testing.T) {
	classes, err := readClasses("testdata/site.toml")
	assert.NilError(t, err)
	attempts, err := readFile("testdata/day.log")
	assert.NilError(t, err)
	var out strings.Builder
	summarize(attempts, classes, 2*time.Second).print(&out)
	golden.Assert(t, out.String(), "sum.txt")
}
