package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/result"
)

func TestPlatform(t *testing.T) {
	for _, c := range []struct {
		name, text string
		code       result.Code
		want       Platform
	}{
		{name: "defaults", text: "{}\n", want: DefaultPlatform()},
		{name: "comments", text: "// why\n{\n  // here\n  \"metrics_port\": 9464\n}\n", want: Platform{LogLevel: "info", LogSampleEvery: 100, LogLines: 4096, MetricsPort: 9464}},
		{name: "unknown field", text: "{\"port\": 1}\n", code: result.SettingUnknownField},
		{name: "port out of range", text: "{\"metrics_port\": 70000}\n", code: result.SettingValue},
		{name: "unknown level", text: "{\"log_level\": \"loud\"}\n", code: result.SettingValue},
		{name: "invalid JSON", text: "{", code: result.SettingSyntax},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, refusal := ParsePlatform("gateway.json", []byte(c.text))
			if c.code != 0 {
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, c.code)
				return
			}
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.DeepEqual(t, *s, c.want)
		})
	}
	s, refusal := LoadPlatform("")
	assert.Assert(t, refusal == nil)
	assert.DeepEqual(t, *s, DefaultPlatform())
	_, refusal = LoadPlatform("testdata/none.json")
	assert.Equal(t, refusal.Code, result.SettingFile)
}

// TestPlatformDocs checks that docs/settings-platform.md has exactly one row per field.
func TestPlatformDocs(t *testing.T) {
	page, err := os.ReadFile("../docs/settings-platform.md")
	assert.NilError(t, err)
	fields := reflect.TypeFor[Platform]()
	for i := range fields.NumField() {
		name := fields.Field(i).Tag.Get("json")
		assert.Assert(t, strings.Contains(string(page), "| `"+name+"` |"), name)
	}
	assert.Equal(t, strings.Count(string(page), "\n| `"), fields.NumField())
}
