package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// earlierDescription is that of a version without ForwardInParts.
type earlierDescription struct {
	peerpb.DRPCPeerDescription
}

// NumMethods implements drpc.Description.
func (d earlierDescription) NumMethods() int { return d.DRPCPeerDescription.NumMethods() - 1 }

// Method implements drpc.Description.
func (d earlierDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	for i := 0; i <= n; i++ {
		if rpc, _, _, _, _ := d.DRPCPeerDescription.Method(i); methodName(rpc) == "forward_in_parts" {
			n++
		}
	}
	return d.DRPCPeerDescription.Method(n)
}

// breakingService ends a call as soon as it has asked for the body.
type breakingService struct {
	*service
}

// ForwardInParts implements peerpb.DRPCPeerServer.
func (breakingService) ForwardInParts(stream peerpb.DRPCPeer_ForwardInPartsStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.Send(&peerpb.ForwardReply{Step: &peerpb.ForwardReply_Proceed{Proceed: &peerpb.Proceed{}}}); err != nil {
		return err
	}
	return errors.New("broken")
}

// VMs of two versions must understand each other, and a body that broke off must not count as run.
func TestForwardLargeBody(t *testing.T) {
	const bodyBytes = 5 << 20
	ran := 0
	own := &service{
		forwards: new(forwardCount),
		handlers: Handlers{
			Forward: func(_ context.Context, _ *peerpb.Identity, c *call.Call, sink call.Sink) call.Outcome {
				ran = len(c.Payload())
				answer := make([]byte, 3*bodyPartBytes+1)
				if sink.Head(http.StatusOK, http.Header{"Content-Length": {strconv.Itoa(3*bodyPartBytes + 1)}}) != nil || sink.Chunk(answer) != nil {
					return call.Refused(result.Refuse(result.PeerLost, "gone"))
				}
				return call.Outcome{Code: result.Done}
			},
			Stamp:     func() uint64 { return 0 },
			Witness:   func(uint64) {},
			BodyShare: unlimitedBodies(),
			Now:       time.Now,
			Delays:    NewDelayEstimator(time.Now),
		},
	}
	for _, row := range []struct {
		name        string
		server      peerpb.DRPCPeerServer
		description drpc.Description
		code        result.Code
		ran         int
	}{
		{"this version", own, peerpb.DRPCPeerDescription{}, result.Done, bodyBytes},
		{"version before", own, earlierDescription{}, result.Done, bodyBytes},
		{"broken off", breakingService{service: own}, peerpb.DRPCPeerDescription{}, result.PeerUnreachable, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			ran = 0
			mux := drpcmux.New()
			assert.NilError(t, mux.Register(row.server, row.description))
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).Serve(t.Context(), ln)
			}()
			client := New(Options{CountMessage: func(string, bool, int, int) {}})
			defer func() { _ = client.Close() }()
			received := 0
			outcome := client.Forward(t.Context(), fleet.VM{ID: "far", PeerAddr: ln.Addr().String()}, &peerpb.ForwardRequest{
				Call: CallToProto(&call.Call{ID: "id", Body: make([]byte, bodyBytes)}, time.Now()),
			}, call.Sink{
				Head:  func(int, http.Header) error { return nil },
				Chunk: func(data []byte) error { received += len(data); return nil },
			}, func(uint64) {})
			assert.Equal(t, outcome.Code, row.code)
			assert.Equal(t, ran, row.ran)
			if row.ran > 0 {
				assert.Equal(t, received, 3*bodyPartBytes+1)
			}
		})
	}
}
