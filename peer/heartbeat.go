package peer

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// HeartbeatToProto encodes a heartbeat.
func HeartbeatToProto(b membership.Beat) *peerpb.Beat {
	m := &peerpb.Beat{
		From: &peerpb.Identity{
			Vm:          b.VM,
			Incarnation: b.Incarnation,
			Region:      b.Region,
		},
		Stamp:             b.Stamp,
		Leaving:           b.Leaving,
		Ready:             b.Ready,
		ListRevision:      b.ListRevision,
		DocumentsRevision: b.DocumentsRevision,
		DocumentsHash:     b.DocumentsHash,
		Load:              uint32(b.Load),
		ViewHash:          b.ViewHash,
	}
	for _, a := range b.Adopted {
		m.Adopted = append(m.Adopted, adoptionToProto(a))
	}
	for _, s := range b.Surplus {
		m.Surplus = append(m.Surplus, surplusToProto(s))
	}
	return m
}

// HeartbeatFromProto decodes a heartbeat.
func HeartbeatFromProto(m *peerpb.Beat) membership.Beat {
	from := m.GetFrom()
	b := membership.Beat{
		VM:                from.GetVm(),
		Incarnation:       from.GetIncarnation(),
		Region:            from.GetRegion(),
		Stamp:             m.GetStamp(),
		Leaving:           m.GetLeaving(),
		Ready:             m.GetReady(),
		ListRevision:      m.GetListRevision(),
		DocumentsRevision: m.GetDocumentsRevision(),
		DocumentsHash:     m.GetDocumentsHash(),
		Load:              int(m.GetLoad()),
		ViewHash:          m.GetViewHash(),
	}
	for _, a := range m.GetAdopted() {
		b.Adopted = append(b.Adopted, adoptionFromProto(a))
	}
	for _, s := range m.GetSurplus() {
		b.Surplus = append(b.Surplus, surplusFromProto(s, from))
	}
	return b
}

func adoptionToProto(a membership.Adoption) *peerpb.Adoption {
	return &peerpb.Adoption{
		Of: &peerpb.Identity{
			Vm:          a.VM,
			Incarnation: a.Incarnation,
		},
		UntilUnixMs: UnixMilli(a.Until),
	}
}

func adoptionFromProto(m *peerpb.Adoption) membership.Adoption {
	return membership.Adoption{
		VM:          m.GetOf().GetVm(),
		Incarnation: m.GetOf().GetIncarnation(),
		Until:       FromUnixMilli(m.GetUntilUnixMs()),
	}
}

func surplusToProto(s membership.Surplus) *peerpb.Surplus {
	return &peerpb.Surplus{
		Target:          s.Target,
		TokensPerSecond: float32(s.TokensPerSecond),
		UntilUnixMs:     UnixMilli(s.Until),
		WaitMs:          float32(s.Wait) / float32(time.Millisecond),
	}
}

func surplusFromProto(m *peerpb.Surplus, from *peerpb.Identity) membership.Surplus {
	return membership.Surplus{
		Target:          m.GetTarget(),
		Region:          from.GetRegion(),
		VM:              from.GetVm(),
		TokensPerSecond: float64(m.GetTokensPerSecond()),
		Wait:            time.Duration(float64(m.GetWaitMs()) * float64(time.Millisecond)),
		Until:           FromUnixMilli(m.GetUntilUnixMs()),
	}
}
