package result

import (
	"errors"
	"io/fs"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const pagePath = "../docs/result-codes.md"

// TestTable checks that codes are in ascending order with unique names, and that class
// and HTTP status match the code's range.
func TestTable(t *testing.T) {
	classes := map[Code]Class{1: ClassDone, 2: ClassNotRun, 3: ClassUnknown, 4: ClassRefused, 5: ClassRefused}
	name := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	names := map[string]bool{}
	var last Code
	for _, info := range Table {
		assert.Assert(t, info.Code > last, "%d is out of order", info.Code)
		last = info.Code
		assert.Equal(t, info.Class, classes[info.Code/1000], info.Name)
		assert.Assert(t, name.MatchString(info.Name), info.Name)
		assert.Assert(t, !names[info.Name], info.Name)
		names[info.Name] = true
		assert.Assert(t, strings.HasSuffix(info.Meaning, ".") && strings.HasSuffix(info.Advice, "."), info.Name)
		assert.Equal(t, info.HTTPStatus == 0, info.Class == ClassRefused, info.Name)
		assert.Equal(t, info.HTTPStatus == http.StatusOK, info.Class == ClassDone, info.Name)
		assert.Equal(t, info.Code.String(), info.Name)
		assert.Equal(t, info.Code.Class(), info.Class)
	}
	assert.Equal(t, Code(9999).Class(), ClassUnknown)
	assert.Equal(t, Code(9999).String(), "unknown_code")
}

// TestConstantsAreInTable parses the constants from the source to find codes without
// an entry in Table.
func TestConstantsAreInTable(t *testing.T) {
	source, err := os.ReadFile("result.go")
	assert.NilError(t, err)
	constants := regexp.MustCompile(`(?m)^\t(\w+) +Code = (\d+)$`).FindAllStringSubmatch(string(source), -1)
	assert.Equal(t, len(constants), len(Table))
	for _, c := range constants {
		assert.Assert(t, strings.Contains(string(source), "row("+c[1]+", "), c[1])
	}
}

// TestPage checks that docs/result-codes.md is up to date.
func TestPage(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, WriteMarkdown(&b))
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pagePath, []byte(b.String()), 0o644))
	}
	page, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	assert.Equal(t, string(page), b.String())
}

func TestRefusal(t *testing.T) {
	at := time.Unix(1, 0)
	r := Refuse(LimitSpend, "%d spent", 7).WithRetryAt(at).WithCause(fs.ErrNotExist)
	assert.Equal(t, r.Error(), "2012 limit_spend: 7 spent")
	assert.Equal(t, r.RetryAt, at)
	assert.Assert(t, errors.Is(r, fs.ErrNotExist))
	assert.Equal(t, FromError(errors.Join(errors.New("other"), r), BadRequest), r)
	assert.Equal(t, FromError(fs.ErrNotExist, BadRequest).Code, BadRequest)
	assert.Assert(t, errors.Is(FromError(fs.ErrNotExist, BadRequest), fs.ErrNotExist))
}
