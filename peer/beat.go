package peer

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// BeatMessage writes a beat for a message.
func BeatMessage(b membership.Beat) *peerpb.Beat {
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
		m.Adopted = append(m.Adopted, adoptionMessage(a))
	}
	for _, s := range b.Surplus {
		m.Surplus = append(m.Surplus, surplusMessage(s))
	}
	return m
}

// BeatFromMessage reads a beat.
func BeatFromMessage(m *peerpb.Beat) membership.Beat {
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
		b.Adopted = append(b.Adopted, adoptionFromMessage(a))
	}
	for _, s := range m.GetSurplus() {
		b.Surplus = append(b.Surplus, surplusFromMessage(s, from))
	}
	return b
}

func adoptionMessage(a membership.Adoption) *peerpb.Adoption {
	return &peerpb.Adoption{
		Of: &peerpb.Identity{
			Vm:          a.VM,
			Incarnation: a.Incarnation,
		},
		UntilUnixMs: UnixMilli(a.Until),
	}
}

func adoptionFromMessage(m *peerpb.Adoption) membership.Adoption {
	return membership.Adoption{
		VM:          m.GetOf().GetVm(),
		Incarnation: m.GetOf().GetIncarnation(),
		Until:       FromUnixMilli(m.GetUntilUnixMs()),
	}
}

func surplusMessage(s membership.Surplus) *peerpb.Surplus {
	return &peerpb.Surplus{
		Target:          s.Target,
		TokensPerSecond: float32(s.TokensPerSecond),
		UntilUnixMs:     UnixMilli(s.Until),
		WaitMs:          float32(s.Wait) / float32(time.Millisecond),
	}
}

func surplusFromMessage(m *peerpb.Surplus, from *peerpb.Identity) membership.Surplus {
	return membership.Surplus{
		Target:          m.GetTarget(),
		Region:          from.GetRegion(),
		VM:              from.GetVm(),
		TokensPerSecond: float64(m.GetTokensPerSecond()),
		Wait:            time.Duration(float64(m.GetWaitMs()) * float64(time.Millisecond)),
		Until:           FromUnixMilli(m.GetUntilUnixMs()),
	}
}
