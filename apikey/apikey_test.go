package apikey

import (
	"encoding/hex"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// bearerCase holds the values of the header and the expected key.
type bearerCase struct {
	Name   string
	Values []string
	Want   string
	OK     bool
}

func TestBearer(t *testing.T) {
	for _, c := range datatest.Read[[]bearerCase](t, "testdata/bearer.json") {
		t.Run(c.Name, func(t *testing.T) {
			key, ok := Bearer(http.Header{Header: c.Values})
			assert.Equal(t, ok, c.OK)
			assert.Equal(t, key, c.Want)
		})
	}
}

func TestDigest(t *testing.T) {
	sum := Sum("a")
	assert.Assert(t, sum.Equal(Sum("a")))
	assert.Assert(t, !sum.Equal(Sum("b")))
	assert.Assert(t, sum.EqualHex(hex.EncodeToString(sum[:])))
	assert.Assert(t, !sum.EqualHex(""))
	assert.Assert(t, Digest{}.IsZero() && !sum.IsZero())
	again, ok := FromBytes(sum[:])
	assert.Assert(t, ok && again.Equal(sum))
	_, ok = FromBytes(sum[1:])
	assert.Assert(t, !ok)
}
