package node

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestIsPeerLost checks that a VM is not reported as lost when the caller disconnects
// during a forwarded call.
func TestIsPeerLost(t *testing.T) {
	left, leave := context.WithCancel(t.Context())
	leave()
	for _, tc := range []struct {
		name string
		ctx  context.Context
		code result.Code
		want bool
	}{
		{name: "lost", ctx: t.Context(), code: result.PeerLost, want: true},
		{name: "not reached", ctx: t.Context(), code: result.PeerUnreachable, want: true},
		{name: "answered", ctx: t.Context(), code: result.NoEndpoint},
		{name: "caller left", ctx: left, code: result.PeerLost},
		{name: "caller left while dialing", ctx: left, code: result.PeerUnreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, isPeerLost(tc.ctx, tc.code), tc.want)
		})
	}
}
