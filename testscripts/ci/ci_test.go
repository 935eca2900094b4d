// Package ci tests the scripts of continuous integration.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestKnownRedListSkipsOnlyNamedTests guards against a list of known failures that skips a test
// which it doesn't name, or that holds a line which nobody can act on.
func TestKnownRedListSkipsOnlyNamedTests(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name     string
		Lines    []string
		Skipped  []string
		Problems []string
	}](t, "testdata/known_red.json") {
		t.Run(c.Name, func(t *testing.T) {
			list := filepath.Join(t.TempDir(), "list.txt")
			assert.NilError(t, os.WriteFile(list, []byte(strings.Join(c.Lines, "\n")), 0o600))
			skipped, err := knownRed("tests", list)
			assert.NilError(t, err)
			assert.DeepEqual(t, skipped, c.Skipped)
			problems, err := knownRed("check", list)
			assert.DeepEqual(t, problems, c.Problems)
			assert.Equal(t, err != nil, len(c.Problems) > 0, "the exit status")
		})
	}
}

// knownRed runs the script and returns the lines of its output.
func knownRed(verb, list string) ([]string, error) {
	out, err := exec.Command("../../.ci/known-red", verb, list).Output()
	return strings.Split(strings.TrimSuffix(string(out), "\n"), "\n")[:strings.Count(string(out), "\n")], err
}
