package jsonc

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

type sample struct {
	Name   string    `json:"name"`
	Count  int       `json:"count"`
	Inner  inner     `json:"inner"`
	Wait   Duration  `json:"wait"`
	At     time.Time `json:"at,omitzero"`
	Hidden string    `json:"-"`
}

type inner struct {
	List []float64 `json:"list"`
}

// problemCase is an input and the text of its problem, which is empty for valid input.
type problemCase struct {
	Name    string `json:"name"`
	Data    string `json:"data"`
	Problem string `json:"problem"`
}

func TestDecode(t *testing.T) {
	cases := datatest.Read[[]problemCase](t, "testdata/problems.json")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			_, problem := Decode[sample]("f", []byte(c.Data))
			text := ""
			if problem != nil {
				text = problem.Error()
			}
			assert.Equal(t, text, c.Problem)
		})
	}
}

func TestDecodeIntoLeavesItUnchanged(t *testing.T) {
	into := sample{
		Name: "default",
	}
	assert.Assert(t, DecodeInto("f", []byte(`{"name": "b", "count": "c"}`), &into) != nil)
	assert.DeepEqual(t, into, sample{
		Name: "default",
	})
	assert.Assert(t, DecodeInto("f", []byte(`{"count": 3}`), &into) == nil)
	assert.Equal(t, into.Name, "default")
}

func TestLine(t *testing.T) {
	data := []byte("// {\n{\n\"a\": [\n1,\n/* \" */ 2],\n\"b/c\": {}}")
	lines := map[string]int{"": 2, "/a": 3, "/a/1": 5, "/a/9": 3, "/b~1c": 6, "/b~1c/d/e": 6, "/x": 2}
	for pointer, want := range lines {
		assert.Equal(t, Line(data, pointer), want, pointer)
	}
	assert.Equal(t, Line([]byte("{"), "/a"), 1)
}

func TestDepth(t *testing.T) {
	nested := func(n int) []byte {
		return []byte(strings.Repeat("[", n) + strings.Repeat("]", n))
	}
	_, problem := parse("f", nested(MaxDepth))
	assert.Assert(t, problem == nil)
	_, problem = parse("f", nested(MaxDepth+1))
	assert.Equal(t, problem.Kind, KindSyntax)
	many := strings.Repeat("[{", MaxDepth)
	_, problem = parse("f", []byte(`["\"`+many+`"] /* `+many+` */ // `+many+"\n"))
	assert.Assert(t, problem == nil)
}

// FuzzDecode guards against panics and incomplete problems.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "inner": {"list": [1]}, "wait": "1s"}`))
	f.Add([]byte("{/*\"*/}//"))
	f.Fuzz(func(t *testing.T, data []byte) {
		value, problem := Decode[sample]("f", data)
		assert.Assert(t, (value == nil) != (problem == nil))
		if problem == nil {
			return
		}
		assert.Assert(t, problem.Line >= 1 && problem.Want != "" && problem.Kind != 0)
		assert.Assert(t, !strings.Contains(problem.Want, "hujson:"), problem.Want)
	})
}
