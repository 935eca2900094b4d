// Package jsonc decodes JSON with comments into typed values. It is stricter
// than encoding/json: it rejects unknown fields, duplicate fields, nulls and field
// names in another case, and reports the line of each problem.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDepth bounds the nesting of objects and arrays, since the parser recurses.
const MaxDepth = 64

// Kind is the kind of a Problem.
type Kind int

// The kinds of problems.
const (
	// KindSyntax is text that is not JSON with comments.
	KindSyntax Kind = iota + 1
	// KindUnknown is a field that the type does not have.
	KindUnknown
	// KindDuplicate is a field or a name that occurs twice.
	KindDuplicate
	// KindValue is a value of the wrong type or out of range.
	KindValue
)

// Problem is an error at a line and field of a file, with what was expected there.
type Problem struct {
	File string
	// Line counts from 1.
	Line int
	// Field is a path such as "contracts[0].home"; it is empty for the whole file.
	Field string
	Want  string
	Kind  Kind
}

// Error returns the file, the line, the field and what was expected.
func (p *Problem) Error() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Want)
	}
	return fmt.Sprintf("%s:%d: field %q: %s", p.File, p.Line, p.Field, p.Want)
}

// Decode decodes data into a T. The name is used in problems only.
func Decode[T any](name string, data []byte) (*T, *Problem) {
	into := new(T)
	if problem := DecodeInto(name, data, into); problem != nil {
		return nil, problem
	}
	return into, nil
}

// DecodeInto decodes data into a T that holds defaults, which absent fields keep.
// If it returns a problem, the T is unchanged.
func DecodeInto[T any](name string, data []byte, into *T) *Problem {
	root, problem := parse(name, data)
	if problem != nil {
		return problem
	}
	c := typeChecker{
		name: name,
		data: data,
	}
	if problem := c.checkRoot(root, into); problem != nil {
		return problem
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), into); err != nil {
		return c.newProblem(root, "", KindValue, err.Error())
	}
	return nil
}

// At returns a problem at the value that a JSON pointer refers to.
func At(name string, data []byte, pointer string, kind Kind, want string) *Problem {
	return &Problem{
		File:  name,
		Line:  Line(data, pointer),
		Field: Field(pointer),
		Want:  want,
		Kind:  kind,
	}
}

// Line returns the line of the value that a JSON pointer refers to. For an absent
// value it returns the line of the nearest parent, and 1 if data is invalid.
func Line(data []byte, pointer string) int {
	root, problem := parse("", data)
	if problem != nil {
		return 1
	}
	for {
		if v := root.Find(pointer); v != nil {
			return lineAt(data, v.StartOffset)
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
}

// Field returns the path form of a JSON pointer: "/contracts/0/home" becomes
// "contracts[0].home".
func Field(pointer string) string {
	var b strings.Builder
	for _, part := range strings.Split(strings.TrimPrefix(pointer, "/"), "/") {
		switch {
		case isIndex(part):
			b.WriteString("[" + part + "]")
		case b.Len() == 0:
			b.WriteString(unescapePointer(part))
		default:
			b.WriteString("." + unescapePointer(part))
		}
	}
	return b.String()
}

func isIndex(part string) bool {
	return part != "" && strings.Trim(part, "0123456789") == ""
}

// Escaping of reference tokens in JSON pointers (RFC 6901).
var (
	pointerEscaper   = strings.NewReplacer("~", "~0", "/", "~1")
	pointerUnescaper = strings.NewReplacer("~1", "/", "~0", "~")
)

func escapePointer(name string) string {
	return pointerEscaper.Replace(name)
}

func unescapePointer(part string) string {
	return pointerUnescaper.Replace(part)
}

// parse parses a copy of data, because Standardize overwrites its input.
func parse(name string, data []byte) (*hujson.Value, *Problem) {
	if offset, deep := exceedsMaxDepth(data); deep {
		return nil, &Problem{
			File: name,
			Line: lineAt(data, offset),
			Want: fmt.Sprintf("at most %d levels of nesting", MaxDepth),
			Kind: KindSyntax,
		}
	}
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		return nil, syntaxProblem(name, err)
	}
	return &root, nil
}

// syntaxProblem extracts the line from the parser's message, because its errors
// have no field for it.
func syntaxProblem(name string, err error) *Problem {
	var line, column int
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		line = 1
	}
	_, reason, found := strings.Cut(text, fmt.Sprintf("column %d: ", column))
	if !found {
		reason = text
	}
	return &Problem{
		File: name,
		Line: line,
		Want: "one JSON value with comments: " + reason,
		Kind: KindSyntax,
	}
}

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
}

// Peek decodes only the value that a JSON pointer refers to. It fails if data is
// invalid, or if the value is absent or does not decode into a T.
func Peek[T any](data []byte, pointer string) (value T, ok bool) {
	root, problem := parse("", data)
	if problem != nil {
		return value, false
	}
	v := root.Find(pointer)
	if v == nil {
		return value, false
	}
	v.Standardize()
	err := json.Unmarshal(v.Pack(), &value)
	return value, err == nil
}
