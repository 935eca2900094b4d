package peer

import (
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// UnixMilli encodes a time as Unix milliseconds; the zero time becomes 0.
func UnixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// FromUnixMilli decodes Unix milliseconds; 0 becomes the zero time.
func FromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// CallToProto encodes a call for immediate sending; deadlines of a routed call become
// remaining durations.
func CallToProto(c *call.Call, now time.Time) *peerpb.Call {
	m := &peerpb.Call{
		Id:            c.ID,
		Workspace:     c.Workspace,
		Kind:          uint32(c.Kind),
		Model:         c.Model,
		Service:       c.Service,
		Method:        c.Method,
		Path:          []byte(c.Path),
		Header:        headerToProto(c.Header),
		Body:          c.Payload(),
		Stream:        c.Stream,
		Idempotent:    c.Idempotent,
		Priority:      uint32(c.Priority),
		Ticket:        c.Ticket,
		FirstByUnixMs: UnixMilli(c.FirstTokenDeadline),
		WholeByUnixMs: UnixMilli(c.Deadline),
		PromptTokens:  uint32(c.PromptTokens),
		MaxTokens:     uint32(c.MaxTokens),
		PrefixHash:    c.PrefixHash,
		Origin:        c.ChargedRegion,
		Trial:         uint64(c.Trial),
	}
	if c.Routed != nil {
		writeRoutedFields(m, c, now)
	}
	return m
}

// callFromProto decodes a call. Remaining durations count from sentAt.
func callFromProto(m *peerpb.Call, sentAt time.Time) *call.Call {
	c := &call.Call{
		ID:                 m.GetId(),
		Workspace:          m.GetWorkspace(),
		Kind:               call.Kind(m.GetKind()),
		Model:              m.GetModel(),
		Service:            m.GetService(),
		Method:             m.GetMethod(),
		Path:               string(m.GetPath()),
		Header:             headerFromProto(m.GetHeader()),
		Body:               m.GetBody(),
		Stream:             m.GetStream(),
		Idempotent:         m.GetIdempotent(),
		Priority:           min(call.Priority(m.GetPriority()), call.PriorityReport),
		Ticket:             m.GetTicket(),
		FirstTokenDeadline: FromUnixMilli(m.GetFirstByUnixMs()),
		Deadline:           FromUnixMilli(m.GetWholeByUnixMs()),
		PromptTokens:       int(m.GetPromptTokens()),
		MaxTokens:          int(m.GetMaxTokens()),
		PrefixHash:         m.GetPrefixHash(),
		Forwarded:          true,
		ChargedRegion:      m.GetOrigin(),
		Trial:              call.Subject(m.GetTrial()),
	}
	if c.Kind == call.KindRouted {
		readRoutedFields(c, m, sentAt)
	}
	return c
}

func headerToProto(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			out = append(out, &peerpb.Header{
				Name:  name,
				Value: []byte(value),
			})
		}
	}
	return out
}

func headerFromProto(headers []*peerpb.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out.Add(h.GetName(), string(h.GetValue()))
	}
	return out
}
