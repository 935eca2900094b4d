package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWorkspaceSeries holds that any number of workspaces makes a bounded number of series.
func TestWorkspaceSeries(t *testing.T) {
	m := New()
	for i := range 15000 {
		m.LimitRefused(fmt.Sprintf("w%d", i))
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, strings.Count(w.Body.String(), "fuchsianotch_limit_refused_total{"), workspacesMost+1)
	assert.Assert(t, strings.Contains(w.Body.String(), `fuchsianotch_limit_refused_total{workspace="_other"} 14936`))
}
