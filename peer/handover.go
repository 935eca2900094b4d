package peer

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

// HandOverMessage writes a hand-over for a message.
func HandOverMessage(h ticket.HandOver) *peerpb.HandOverRequest {
	m := &peerpb.HandOverRequest{
		From: holderMessage(h.From),
		To:   holderMessage(h.To),
	}
	for _, r := range h.Rights {
		m.Rights = append(m.Rights, rightsMessage(r))
	}
	return m
}

// HandOverFromMessage reads a hand-over.
func HandOverFromMessage(m *peerpb.HandOverRequest) ticket.HandOver {
	h := ticket.HandOver{
		From: holderFromMessage(m.GetFrom()),
		To:   holderFromMessage(m.GetTo()),
	}
	for _, r := range m.GetRights() {
		h.Rights = append(h.Rights, rightsFromMessage(r))
	}
	return h
}

func holderMessage(h ticket.Holder) *peerpb.Identity {
	return &peerpb.Identity{
		Vm:          h.VM,
		Incarnation: h.Incarnation,
	}
}

func holderFromMessage(m *peerpb.Identity) ticket.Holder {
	return ticket.Holder{
		VM:          m.GetVm(),
		Incarnation: m.GetIncarnation(),
	}
}

func rightsMessage(r ticket.Rights) *peerpb.Rights {
	m := &peerpb.Rights{
		Of:             holderMessage(r.Of),
		Key:            r.Key,
		UntilUnixNano:  unixNano(r.Until),
		ClosedUnixNano: unixNano(r.Closed),
		SweptUnixNano:  unixNano(r.Swept),
	}
	for _, record := range r.Records {
		m.Records = append(m.Records, recordMessage(record))
	}
	return m
}

func rightsFromMessage(m *peerpb.Rights) ticket.Rights {
	r := ticket.Rights{
		Of:     holderFromMessage(m.GetOf()),
		Key:    m.GetKey(),
		Until:  fromUnixNano(m.GetUntilUnixNano()),
		Closed: fromUnixNano(m.GetClosedUnixNano()),
		Swept:  fromUnixNano(m.GetSweptUnixNano()),
	}
	for _, record := range m.GetRecords() {
		r.Records = append(r.Records, recordFromMessage(record))
	}
	return r
}

func recordMessage(r ticket.HandedRecord) *peerpb.Record {
	return &peerpb.Record{
		Ticket:            r.Ticket,
		CallHash:          r.CallHash,
		KeepUntilUnixNano: unixNano(r.KeepUntil),
		Code:              uint32(r.Record.Code),
		Status:            uint32(r.Record.Status),
		Header:            headerMessage(r.Record.Header),
		Body:              r.Record.Body,
	}
}

func recordFromMessage(m *peerpb.Record) ticket.HandedRecord {
	return ticket.HandedRecord{
		Ticket:    m.GetTicket(),
		CallHash:  m.GetCallHash(),
		KeepUntil: fromUnixNano(m.GetKeepUntilUnixNano()),
		Record: ticket.Record{
			Code:   result.Code(m.GetCode()),
			Status: int(m.GetStatus()),
			Header: headerFromMessage(m.GetHeader()),
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
