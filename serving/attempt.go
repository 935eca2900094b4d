package serving

import (
	"context"
	"net/http"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// sendInSlot makes an attempt and releases its slot, also if the sink panics.
func (s *Server) sendInSlot(ctx context.Context, pool *Pool, slot admission.Slot, attempt endpoint.Attempt, sink call.Sink) (out endpoint.Outcome) {
	out.Code = result.EndpointFailed
	out.Sent = true
	defer func() { pool.Queue.Release(slot, routingOutcome(out, slot.Choice), s.options.Now()) }()
	return s.options.Endpoint.Send(ctx, attempt, endpointSink(sink, slot.Choice.Endpoint))
}

// endpointSink passes a response on with the software version of the endpoint that sends it.
func endpointSink(sink call.Sink, e fleet.Endpoint) endpoint.Sink {
	return endpoint.Sink{
		Head: func(status int, header http.Header) error {
			if sink.Version != nil {
				sink.Version(e.SoftwareVersion)
			}
			return sink.Head(status, header)
		},
		Chunk: sink.Chunk,
	}
}
