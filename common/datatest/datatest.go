// Package datatest runs tests from data files: JSON tables, and txtar archives of
// scripts with one command per line.
package datatest

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// Read decodes a JSON file, such as the rows of a table.
func Read[T any](t testing.TB, path string) T {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var value T
	assert.NilError(t, json.Unmarshal(data, &value), path)
	return value
}

// CommandFunc runs one command of a script and returns its output.
type CommandFunc func(t *testing.T, name string, words []string) string

// RunScripts runs each script of the txtar archives that match pattern as a subtest,
// with a CommandFunc of its own. A line "command -> text" expects that output; a line
// without an arrow expects none.
func RunScripts(t *testing.T, pattern string, newDo func() CommandFunc) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, pattern)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		assert.NilError(t, err)
		for _, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) { runScript(t, string(f.Data), newDo()) })
		}
	}
}

func runScript(t *testing.T, text string, do CommandFunc) {
	for line := range strings.Lines(text) {
		command, want, _ := strings.Cut(strings.TrimSpace(line), "->")
		words := strings.Fields(command)
		if len(words) == 0 {
			continue
		}
		got := strings.TrimSpace(do(t, words[0], words[1:]))
		assert.Equal(t, got, strings.TrimSpace(want), line)
	}
}
