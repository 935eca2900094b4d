package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

const (
	// unreadEvery is the least time between two notes to one VM, for each VM of the
	// region that is told: a VM sends at most 50 notes a second, of some 100 bytes.
	pendingNoteInterval = 20 * time.Millisecond
	// unreadAgain is when a note is sent again though nothing changed, while
	// anything waits.
	pendingResendInterval = 200 * time.Millisecond
	// unreadIdle is the same while nothing waits, so that others know that this VM tells.
	pendingIdleInterval = time.Second
	// unreadMost is the number of other VMs of a region up to which they tell each
	// other. More would cost more than the 3 KB a second of control that a VM may
	// spend, and many VMs are well guessed from the own calls.
	maxPendingPeers = 8
	// unreadWithin bounds one note.
	pendingNoteTimeout = 300 * time.Millisecond
)

// tellUnread tells the other VMs of the region which prompts wait at engines for
// this VM's calls: two or three VMs choose among the same few engines, and a
// prompt of 50,000 tokens keeps one of them busy for a second. Of short calls beside
// one in ten such prompts 0.9% were late with it and 22% without (three VMs, four
// engines, routing/testdata/expect.json).
func (p *pools) sharePendingPrompts(ctx context.Context) error {
	var lastChanges uint64
	var lastSentAt time.Time
	if !p.node.settings.Has(settings.UnreadNotes) {
		<-ctx.Done()
		return nil
	}
	for ctx.Err() == nil {
		peers := p.reachablePeers()
		now := p.node.now()
		worker.SleepUntil(ctx, now, now.Add(pendingNoteInterval*time.Duration(max(len(peers), 1))))
		if len(peers) == 0 || len(peers) > maxPendingPeers {
			continue
		}
		note, changes := p.pendingNote(p.node.now())
		resendAfter := pendingIdleInterval
		if len(note.GetEngines()) > 0 {
			resendAfter = pendingResendInterval
		}
		if changes == lastChanges && p.node.now().Sub(lastSentAt) < resendAfter {
			continue
		}
		lastChanges = changes
		lastSentAt = p.node.now()
		for _, vm := range peers {
			go p.sendPendingNote(ctx, vm, note)
		}
	}
	return nil
}

// regionPeers are the other VMs of the region that are in reach.
func (p *pools) reachablePeers() []fleet.VM {
	var out []fleet.VM
	for _, vm := range p.reachableVMs() {
		if vm.ID != p.node.deployment.VM {
			out = append(out, vm)
		}
	}
	return out
}

func (p *pools) pendingNote(now time.Time) (note *peerpb.UnreadNote, changes uint64) {
	note = &peerpb.UnreadNote{
		From: p.node.identity(),
	}
	for _, pool := range p.table.Load().byService {
		list, poolChanges := pool.Endpoints.Unread()
		changes += poolChanges
		for _, u := range list {
			note.Engines = append(note.Engines, pendingPromptsMessage(u, now))
		}
	}
	return note, changes
}

func (p *pools) sendPendingNote(ctx context.Context, vm fleet.VM, note *peerpb.UnreadNote) {
	timeoutCtx, cancel := context.WithTimeout(ctx, pendingNoteTimeout)
	defer cancel()
	err := p.node.peers.Unread(timeoutCtx, vm, &peerpb.UnreadNote{
		From:    note.GetFrom(),
		Engines: note.GetEngines(),
	})
	if err != nil {
		p.node.log.Debug("unread_failed", "peer", vm.ID, "reason", err.Error())
	}
}

// takeUnread takes another VM's note.
func (p *pools) handlePendingNote(m *peerpb.UnreadNote, sentAt time.Time) {
	if m.GetFrom().GetRegion() != p.node.deployment.Region {
		return
	}
	var list []routing.Unread
	for _, e := range m.GetEngines() {
		list = append(list, pendingPromptsFromMessage(e, sentAt))
	}
	for _, pool := range p.table.Load().byService {
		pool.Endpoints.TakeUnread(m.GetFrom().GetVm(), list, sentAt, p.node.now())
	}
}

func pendingPromptsMessage(u routing.Unread, now time.Time) *peerpb.EngineUnread {
	m := &peerpb.EngineUnread{
		Endpoint: u.Endpoint,
		MovedMs:  ageMs(u.MovedAt, now),
	}
	for _, q := range u.Prompts {
		m.Prompts = append(m.Prompts, &peerpb.UnreadPrompt{
			Tokens: uint32(max(q.Tokens, 0)),
			Turn:   uint32(q.Turn),
			AgeMs:  ageMs(q.SentAt, now),
		})
	}
	return m
}

// longAgo stands in for a moment that never was, in milliseconds.
const maxAgeMs = 1 << 20

func ageMs(at, now time.Time) uint32 {
	if at.IsZero() {
		return maxAgeMs
	}
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), maxAgeMs))
}

func pendingPromptsFromMessage(m *peerpb.EngineUnread, sentAt time.Time) routing.Unread {
	u := routing.Unread{
		Endpoint: m.GetEndpoint(),
		MovedAt:  sentAt.Add(-time.Duration(m.GetMovedMs()) * time.Millisecond),
	}
	for _, q := range m.GetPrompts() {
		u.Prompts = append(u.Prompts, routing.UnreadPrompt{
			Tokens: int(q.GetTokens()),
			Turn:   int(q.GetTurn()),
			SentAt: sentAt.Add(-time.Duration(q.GetAgeMs()) * time.Millisecond),
		})
	}
	return u
}
