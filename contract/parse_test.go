package contract

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// refusedCase is one edit to a base document and the expected refusal.
type refusedCase struct {
	Name    string      `json:"name"`
	Key     string      `json:"key"`
	Old     string      `json:"old"`
	New     string      `json:"new"`
	Code    result.Code `json:"code"`
	Message string      `json:"message"`
}

func readBaseDocuments(t testing.TB) map[string]string {
	t.Helper()
	archive, err := txtar.ParseFile("testdata/base.txtar")
	assert.NilError(t, err)
	documents := map[string]string{}
	for _, f := range archive.Files {
		documents[f.Name] = string(f.Data)
	}
	return documents
}

func TestParseRefuses(t *testing.T) {
	const path = "testdata/refused.json"
	base := readBaseDocuments(t)
	cases := readCases(t, path)
	for i := range cases {
		c := &cases[i]
		t.Run(c.Name, func(t *testing.T) {
			document := base[c.Key]
			assert.Equal(t, strings.Count(document, c.Old), 1, "old must occur once in the base document")
			d, refusal := Parse(c.Key, []byte(strings.Replace(document, c.Old, c.New, 1)))
			assert.Assert(t, d == nil)
			assert.Assert(t, refusal != nil)
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

func readCases(t *testing.T, path string) []refusedCase {
	t.Helper()
	cases := datatest.Read[[]refusedCase](t, path)
	return cases
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

func TestParseAccepts(t *testing.T) {
	for key, document := range readBaseDocuments(t) {
		d, refusal := Parse(key, []byte(document))
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, d.Key, key)
		assert.Equal(t, d.Models != nil, key == KeyModels)
		assert.Equal(t, d.Regions != nil, key == KeyRegions)
		assert.Equal(t, d.Bucket != nil, strings.HasPrefix(key, KeyBucketPrefix))
	}
}

func TestParseBoundsSize(t *testing.T) {
	document := readBaseDocuments(t)["contracts/3"]
	filled := append([]byte(document), bytes.Repeat([]byte(" "), MaxBytes-len(document))...)
	_, refusal := Parse("contracts/3", filled)
	assert.Assert(t, refusal == nil, "%v", refusal)
	_, refusal = Parse("contracts/3", append(filled, ' '))
	assert.Equal(t, refusal.Code, result.DocumentTooLarge)
}

func TestKnownKey(t *testing.T) {
	known := map[string]bool{
		"models": true, "regions": true, "contracts/0": true, "contracts/4095": true,
		"": false, "model": false, "contracts": false, "contracts/": false, "contracts/01": false,
		"contracts/-1": false, "contracts/+1": false, "contracts/4096": false, "contracts/1.json": false,
		"contracts/99999999999999999999": false, "/models": false, "Models": false,
	}
	for key, want := range known {
		assert.Equal(t, KnownKey(key), want, key)
		_, refusal := Parse(key, []byte("{"))
		assert.Equal(t, refusal.Code == result.DocumentKey, !want, key)
	}
}

// readExampleDocuments returns the example documents of a deployment by key.
func readExampleDocuments(t testing.TB, deployment string) map[string][]byte {
	t.Helper()
	documents := map[string][]byte{}
	root := filepath.Join("..", "examples", deployment)
	for _, pattern := range []string{"models.json", "regions.json", "contracts/*.json"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		assert.NilError(t, err)
		for _, path := range paths {
			key, err := filepath.Rel(root, strings.TrimSuffix(path, ".json"))
			assert.NilError(t, err)
			documents[filepath.ToSlash(key)], err = os.ReadFile(path)
			assert.NilError(t, err)
		}
	}
	return documents
}

// TestExamples checks that the example documents are valid and that contracts
// refer only to models, services and regions that the other documents define.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"tesfaye", "planhigion"} {
		published := map[string]bool{}
		var contracts []Contract
		for key, value := range readExampleDocuments(t, deployment) {
			d, refusal := Parse(key, value)
			assert.Assert(t, refusal == nil, "%v", refusal)
			switch {
			case d.Models != nil:
				published[d.Models.Models[0].Model] = true
				published[d.Models.Services[0].Service] = true
			case d.Regions != nil:
				for _, r := range d.Regions.Regions {
					published[r.Region] = true
				}
			default:
				contracts = append(contracts, d.Bucket.Contracts...)
			}
		}
		assert.Assert(t, len(contracts) > 4)
		for _, c := range contracts {
			names := append(append([]string{c.Home}, c.Models...), c.Services...)
			for _, r := range c.Regions {
				names = append(names, r.Region)
			}
			for _, name := range names {
				assert.Assert(t, published[name], "%s: %s", c.Workspace, name)
			}
		}
	}
}

// FuzzParse checks that Parse never panics, is deterministic, and accepts a
// re-encoded document with the same content.
func FuzzParse(f *testing.F) {
	for key, document := range readBaseDocuments(f) {
		f.Add(key, []byte(document))
	}
	for key, document := range readExampleDocuments(f, "planhigion") {
		f.Add(key, document)
	}
	f.Add(KeyModels, []byte(`{"format": 1, "models": [/**/], "services": [],}//`))
	f.Add(KeyRegions, bytes.Repeat([]byte("["), 100_000))
	f.Add("contracts/0", []byte(`{"`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		given := bytes.Clone(value)
		d, refusal := Parse(key, value)
		assert.Assert(t, bytes.Equal(given, value))
		assert.Assert(t, (d == nil) != (refusal == nil))
		if refusal != nil {
			_, again := Parse(key, value)
			assert.Equal(t, again.Error(), refusal.Error())
			assert.Equal(t, refusal.Code.Class(), result.ClassRefused)
			return
		}
		written := d.marshalContent(t)
		if len(written) > MaxBytes {
			return
		}
		again, refusal := Parse(key, written)
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, string(again.marshalContent(t)), string(written))
	})
}

// marshalContent encodes the field of the document that is set.
func (d *Document) marshalContent(t *testing.T) []byte {
	t.Helper()
	var part any = d.Bucket
	switch d.Key {
	case KeyModels:
		part = d.Models
	case KeyRegions:
		part = d.Regions
	}
	written, err := json.Marshal(part)
	assert.NilError(t, err)
	return written
}
