// Package datatest runs tests from data files: tables in JSON, and archives of
// scripts with one command a line.
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

// Read reads a JSON file as a value, such as the rows of a table.
func Read[T any](t testing.TB, path string) T {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var value T
	assert.NilError(t, json.Unmarshal(data, &value), path)
	return value
}

// Do runs one command of a script and gives what it prints.
type Do func(t *testing.T, name string, words []string) string

// Scripts runs each script of the txtar archives that match a pattern as a
// subtest of its own, with the Do that begin makes. A line "command -> text"
// must print the text; one without an arrow must print nothing.
func Scripts(t *testing.T, pattern string, begin func() Do) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, pattern)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		assert.NilError(t, err)
		for _, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) { run(t, string(f.Data), begin()) })
		}
	}
}

func run(t *testing.T, text string, do Do) {
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
