package jsonc

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Names of VMs, regions and workspaces need no escaping in paths, headers and metrics.
const (
	maxNameLength  = 63
	nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-"
)

// Verifier validates decoded values and keeps the first problem. Pointers are
// JSON pointers into Data.
type Verifier struct {
	File  string
	Data  []byte
	first *Problem
}

// Problem returns the first problem, or nil.
func (v *Verifier) Problem() *Problem {
	return v.first
}

// Require reports a problem unless ok is true; the format describes what was expected.
func (v *Verifier) Require(ok bool, pointer, format string, args ...any) {
	v.checkKind(ok, pointer, KindValue, format, args...)
}

func (v *Verifier) checkKind(ok bool, pointer string, kind Kind, format string, args ...any) {
	if ok || v.first != nil {
		return
	}
	v.first = At(v.File, v.Data, pointer, kind, fmt.Sprintf(format, args...))
}

// Name reports a name that is empty, too long or contains a character other than
// a lower-case letter, a digit or a hyphen.
func (v *Verifier) Name(pointer, name string) {
	ok := name != "" && len(name) <= maxNameLength && strings.Trim(name, nameCharacters) == ""
	v.Require(ok, pointer, "a name of 1 to %d characters from a-z, 0-9 and -", maxNameLength)
}

// OneOf reports a value that is not in values.
func (v *Verifier) OneOf(pointer, value string, values []string) {
	v.Require(slices.Contains(values, value), pointer, "one of %s", strings.Join(values, ", "))
}

// IntRange reports an integer that is out of range.
func (v *Verifier) IntRange(pointer string, value, low, high int) {
	v.Require(value >= low && value <= high, pointer, "a whole number from %d to %d", low, high)
}

// Number reports a number that is out of range.
func (v *Verifier) Number(pointer string, value, low, high float64) {
	v.Require(value >= low && value <= high, pointer, "a number from %g to %g", low, high)
}

// Duration reports a duration that is out of range.
func (v *Verifier) Duration(pointer string, value Duration, low, high time.Duration) {
	ok := value.Duration >= low && value.Duration <= high
	v.Require(ok, pointer, "a duration from %s to %s", low, high)
}

// NameSet is the set of names that occurred in a document.
type NameSet map[string]bool

// Unique reports a duplicate name, and adds the name to seen.
func (v *Verifier) Unique(seen NameSet, pointer, name string) {
	v.checkKind(!seen[name], pointer, KindDuplicate, "each name once; %q stands twice", name)
	seen[name] = true
}
