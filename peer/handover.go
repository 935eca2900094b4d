package peer

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

// HandOverToProto encodes a hand-over.
func HandOverToProto(h ticket.HandOver) *peerpb.HandOverRequest {
	m := &peerpb.HandOverRequest{
		From: holderToProto(h.From),
		To:   holderToProto(h.To),
	}
	for _, r := range h.Rights {
		m.Rights = append(m.Rights, rightsToProto(r))
	}
	return m
}

// HandOverFromProto decodes a hand-over.
func HandOverFromProto(m *peerpb.HandOverRequest) ticket.HandOver {
	h := ticket.HandOver{
		From: holderFromProto(m.GetFrom()),
		To:   holderFromProto(m.GetTo()),
	}
	for _, r := range m.GetRights() {
		h.Rights = append(h.Rights, rightsFromProto(r))
	}
	return h
}

func holderToProto(h ticket.IncarnationID) *peerpb.Identity {
	return &peerpb.Identity{
		Vm:          h.VM,
		Incarnation: h.Incarnation,
	}
}

func holderFromProto(m *peerpb.Identity) ticket.IncarnationID {
	return ticket.IncarnationID{
		VM:          m.GetVm(),
		Incarnation: m.GetIncarnation(),
	}
}

func rightsToProto(r ticket.IncarnationRights) *peerpb.Rights {
	m := &peerpb.Rights{
		Of:             holderToProto(r.Issuer),
		Key:            r.Key,
		UntilUnixNano:  unixNano(r.ExpiresAt),
		ClosedUnixNano: unixNano(r.ExpiredUntil),
		SweptUnixNano:  unixNano(r.DroppedUntil),
	}
	for _, record := range r.Records {
		m.Records = append(m.Records, recordToProto(record))
	}
	return m
}

func rightsFromProto(m *peerpb.Rights) ticket.IncarnationRights {
	r := ticket.IncarnationRights{
		Issuer:       holderFromProto(m.GetOf()),
		Key:          m.GetKey(),
		ExpiresAt:    fromUnixNano(m.GetUntilUnixNano()),
		ExpiredUntil: fromUnixNano(m.GetClosedUnixNano()),
		DroppedUntil: fromUnixNano(m.GetSweptUnixNano()),
	}
	for _, record := range m.GetRecords() {
		r.Records = append(r.Records, recordFromProto(record))
	}
	return r
}

func recordToProto(r ticket.TransferredRecord) *peerpb.Record {
	return &peerpb.Record{
		Ticket:            r.Ticket,
		CallHash:          r.CallHash,
		KeepUntilUnixNano: unixNano(r.KeepUntil),
		Code:              uint32(r.Record.Code),
		Status:            uint32(r.Record.Status),
		Header:            headerToProto(r.Record.Header),
		Body:              r.Record.Body,
	}
}

func recordFromProto(m *peerpb.Record) ticket.TransferredRecord {
	return ticket.TransferredRecord{
		Ticket:    m.GetTicket(),
		CallHash:  m.GetCallHash(),
		KeepUntil: fromUnixNano(m.GetKeepUntilUnixNano()),
		Record: ticket.Record{
			Code:   result.Code(m.GetCode()),
			Status: int(m.GetStatus()),
			Header: headerFromProto(m.GetHeader()),
			Body:   m.GetBody(),
		},
	}
}

func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}
