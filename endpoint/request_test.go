package endpoint

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestRequestHasRetainedBody guards against calls that other VMs have sent on and that reach their
// endpoint without a body, with and without a contract.
func TestRequestHasRetainedBody(t *testing.T) {
	client := newRelayClient(t)
	for _, kind := range []call.Kind{call.KindService, call.KindRouted} {
		attempt := routedCall("127.0.0.1:1", "")
		attempt.Call.Kind = kind
		attempt.Call.Retained = call.RetainBody([]byte("body"), func() {})
		req, refusal := client.newRequest(t.Context(), attempt)
		assert.Assert(t, refusal == nil)
		body, err := io.ReadAll(req.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "body")
		attempt.Call.ReleaseBody()
		_, refusal = client.newRequest(t.Context(), attempt)
		assert.Equal(t, refusal.Code, result.BodyMemoryFull)
	}
}
