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
	// loggedEvent matches the event of a log call in the code, documentedEvent
	// one in the table of docs/logs.md.
	loggedEvent     = regexp.MustCompile(`\b(?:log|Log|logger|direct|Trail)\.(?:Debug|Info|Warn|Error|Add|Fail|Log)\((?:context\.Background\(\), level, )?"([a-z_]+)"`)
	documentedEvent = regexp.MustCompile("`([a-z_]+)`")
)

// TestEventsAreDocumented checks that docs/logs.md lists exactly the events that
// the code logs.
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
			for _, match := range loggedEvent.FindAllSubmatch(data, -1) {
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
		for _, match := range documentedEvent.FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			listed = append(listed, match[1])
		}
	}
	slices.Sort(written)
	slices.Sort(listed)
	assert.DeepEqual(t, slices.Compact(written), listed)
}
