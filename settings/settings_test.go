package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const acceptedPath = "testdata/accepted.json"

// refusedCase is one edit to the accepted settings and the expected refusal.
type refusedCase struct {
	Name    string      `json:"name"`
	Old     string      `json:"old"`
	New     string      `json:"new"`
	Code    result.Code `json:"code"`
	Message string      `json:"message"`
}

func TestParseRefuses(t *testing.T) {
	const path = "testdata/refused.json"
	accepted, err := os.ReadFile(acceptedPath)
	assert.NilError(t, err)
	cases := datatest.Read[[]refusedCase](t, path)
	for i := range cases {
		c := &cases[i]
		t.Run(c.Name, func(t *testing.T) {
			assert.Equal(t, strings.Count(string(accepted), c.Old), 1, "old must occur once in the accepted settings")
			changed := strings.Replace(string(accepted), c.Old, c.New, 1)
			s, refusal := Parse("gateway.json", []byte(changed))
			assert.Assert(t, s == nil)
			assert.Equal(t, refusal.Code, c.Code, refusal.Message)
			if golden.FlagUpdate() {
				c.Message = refusal.Message
			}
			assert.Equal(t, refusal.Message, c.Message)
		})
	}
	if golden.FlagUpdate() {
		writeCases(t, path, cases)
	}
}

func writeCases(t *testing.T, path string, cases []refusedCase) {
	t.Helper()
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "\t")
	assert.NilError(t, encoder.Encode(cases))
	assert.NilError(t, os.WriteFile(path, b.Bytes(), 0o644))
}

// TestParseSetsEveryField checks that the accepted file, which sets every field to a value
// other than its default, leaves none at its default.
func TestParseSetsEveryField(t *testing.T) {
	s, refusal := Load(acceptedPath)
	assert.Assert(t, refusal == nil, "%v", refusal)
	defaults := Default()
	for _, f := range fieldsOf(reflect.ValueOf(*s), "") {
		defaultValue := reflect.ValueOf(defaults).FieldByIndex(f.path)
		assert.Assert(t, !reflect.DeepEqual(f.value.Interface(), defaultValue.Interface()), f.name)
	}
}

func TestParseKeepsDefaults(t *testing.T) {
	s, refusal := Parse("few", []byte(`{"vm": "a", "region": "r", "data_centre": "d", "platform_url": "http://127.0.0.1:1", "queue": {"length": 3}}`))
	assert.Assert(t, refusal == nil, "%v", refusal)
	want := Default()
	want.VM = "a"
	want.Region = "r"
	want.DataCentre = "d"
	want.PlatformURL = "http://127.0.0.1:1"
	want.Queue.Length = 3
	assert.DeepEqual(t, *s, want)
}

func TestLoad(t *testing.T) {
	_, refusal := Load(filepath.Join(t.TempDir(), "absent.json"))
	assert.Equal(t, refusal.Code, result.SettingFile)
	large := filepath.Join(t.TempDir(), "large.json")
	assert.NilError(t, os.WriteFile(large, bytes.Repeat([]byte(" "), MaxBytes+1), 0o600))
	_, refusal = Load(large)
	assert.Equal(t, refusal.Code, result.SettingFile)
	for _, deployment := range []string{"tesfaye", "planhigion"} {
		_, refusal = Load(filepath.Join("..", "examples", deployment+"-vm.json"))
		assert.Assert(t, refusal == nil, "%v", refusal)
	}
}

// TestDocs checks that docs/settings.md has a row with the default of each setting.
func TestDocs(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	assert.NilError(t, err)
	rows := 0
	for _, f := range fieldsOf(reflect.ValueOf(Default()), "") {
		value, err := json.Marshal(f.value.Interface())
		assert.NilError(t, err)
		row := "| `" + f.name + "` | `" + string(value) + "` |"
		if f.value.IsZero() {
			row = "| `" + f.name + "` | none |"
		}
		assert.Assert(t, strings.Contains(string(page), row), row)
		rows++
	}
	assert.Equal(t, strings.Count(string(page), "\n| `"), rows, "a row for a setting that does not exist")
}

// settingField is a field of Settings that is not a group of other fields.
type settingField struct {
	name  string
	path  []int
	value reflect.Value
}

func fieldsOf(v reflect.Value, prefix string) []settingField {
	var fields []settingField
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		name := prefix + tag
		field := v.Field(i)
		_, leaf := field.Interface().(json.Marshaler)
		if field.Kind() != reflect.Struct || leaf {
			fields = append(fields, settingField{
				name:  name,
				path:  []int{i},
				value: field,
			})
			continue
		}
		for _, inner := range fieldsOf(field, name+".") {
			inner.path = append([]int{i}, inner.path...)
			fields = append(fields, inner)
		}
	}
	return fields
}
