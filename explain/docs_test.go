package explain

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// logged finds the event of a line that the code writes, documented one that
	// the page names.
	logged     = regexp.MustCompile(`\b(?:log|Log|logger|direct|Trail)\.(?:Debug|Info|Warn|Error|Add|Fail|Log)\((?:context\.Background\(\), level, )?"([a-z_]+)"`)
	documented = regexp.MustCompile("`([a-z_]+)`")
)

// TestEventsAreDocumented holds that the page lists just the events that the
// code of a process on the platform writes.
func TestEventsAreDocumented(t *testing.T) {
	var written []string
	for _, pattern := range []string{"../site/*.go", "../platform/*.go", "../serving/*.go", "../logs/*.go", "../quarantine/agent/*.go", "../gateway/platform.go"} {
		files, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			for _, match := range logged.FindAllSubmatch(data, -1) {
				written = append(written, string(match[1]))
			}
		}
	}
	page, err := os.ReadFile("../docs/logs.md")
	assert.NilError(t, err)
	var listed []string
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		for _, match := range documented.FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			listed = append(listed, match[1])
		}
	}
	slices.Sort(written)
	slices.Sort(listed)
	assert.DeepEqual(t, slices.Compact(written), listed)
}
