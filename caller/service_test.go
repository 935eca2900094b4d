package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestServicePath guards against a path that reaches a service decoded, as one with a query that
// the caller did not send.
func TestServicePath(t *testing.T) {
	got := ""
	mux := http.NewServeMux()
	mux.HandleFunc(PathServicesPrefix+"{service}/{path...}", func(_ http.ResponseWriter, r *http.Request) { got = servicePath(r) })
	for target, want := range map[string]string{
		"/v1/services/s/a/b?c=d":        "/a/b?c=d",
		"/v1/services/s/a%3Fb=c":        "/a%3Fb=c",
		"/v1/services/s/a%2Fb%20c?":     "/a%2Fb%20c?",
		"/v1/%73ervices/%73/a?b?c":      "/a?b?c",
		"/v1/services/s/":               "/",
		"http://h/v1/services/s/a%2f/b": "/a%2f/b",
	} {
		mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, target, nil))
		assert.Equal(t, got, want)
	}
}
