package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWorkspaceSeries checks that the number of series stays bounded however many
// workspaces there are.
func TestWorkspaceSeries(t *testing.T) {
	m := New()
	for i := range 15000 {
		m.CountLimitRejection(fmt.Sprintf("w%d", i))
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, strings.Count(w.Body.String(), "fuchsianotch_limit_refused_total{"), maxWorkspaceSeries+1)
	assert.Assert(t, strings.Contains(w.Body.String(), `fuchsianotch_limit_refused_total{workspace="_other"} 14936`))
}
