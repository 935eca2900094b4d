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
	// pendingNoteInterval is the least time between two notes, per receiving VM: at most 50
	// notes of some 100 bytes per second.
	pendingNoteInterval = 20 * time.Millisecond
	// pendingResendInterval is when an unchanged note is sent again while prompts are
	// pending.
	pendingResendInterval = 200 * time.Millisecond
	// pendingIdleInterval is the same while none are pending, so that peers know this VM
	// sends notes.
	pendingIdleInterval = time.Second
	// maxPendingPeers is the number of peers up to which VMs exchange notes. Beyond it the
	// traffic exceeds the control budget of 3 KB/s, and prompts of other VMs are estimated
	// instead.
	maxPendingPeers = 8
	// pendingNoteTimeout bounds one note.
	pendingNoteTimeout = 300 * time.Millisecond
)

// sharePendingPrompts tells the other VMs of the region which prompts this VM has sent
// to engines that have not finished prefill. In a small region one long prompt can
// occupy an engine for a second, and VMs that do not know of it queue short calls behind
// it.
func (p *pools) sharePendingPrompts(ctx context.Context) error {
	var lastChanges uint64
	var lastSentAt time.Time
	if !p.node.settings.Enabled(settings.UnreadNotes) {
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

// reachablePeers returns the other reachable VMs of the region.
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
	for _, pool := range p.all() {
		list, poolChanges := pool.Endpoints.PrefillQueues()
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

// handlePendingNote applies a note of another VM of the region.
func (p *pools) handlePendingNote(m *peerpb.UnreadNote, sentAt time.Time) {
	if m.GetFrom().GetRegion() != p.node.deployment.Region {
		return
	}
	var list []routing.PrefillQueue
	for _, e := range m.GetEngines() {
		list = append(list, pendingPromptsFromMessage(e, sentAt))
	}
	for _, pool := range p.all() {
		pool.Endpoints.SetPeerQueues(m.GetFrom().GetVm(), list, sentAt, p.node.now())
	}
}

func pendingPromptsMessage(u routing.PrefillQueue, now time.Time) *peerpb.EngineUnread {
	m := &peerpb.EngineUnread{
		Endpoint: u.Endpoint,
		MovedMs:  ageMs(u.HeadChangedAt, now),
	}
	for _, q := range u.Prompts {
		m.Prompts = append(m.Prompts, &peerpb.UnreadPrompt{
			Tokens: uint32(max(q.Tokens, 0)),
			Turn:   uint32(q.QueueLevel),
			AgeMs:  ageMs(q.SentAt, now),
		})
	}
	return m
}

// maxAgeMs caps the ages in a note and stands for a zero time.
const maxAgeMs = 1 << 20

func ageMs(at, now time.Time) uint32 {
	if at.IsZero() {
		return maxAgeMs
	}
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), maxAgeMs))
}

func pendingPromptsFromMessage(m *peerpb.EngineUnread, sentAt time.Time) routing.PrefillQueue {
	u := routing.PrefillQueue{
		Endpoint:      m.GetEndpoint(),
		HeadChangedAt: sentAt.Add(-time.Duration(m.GetMovedMs()) * time.Millisecond),
	}
	for _, q := range m.GetPrompts() {
		u.Prompts = append(u.Prompts, routing.QueuedPrompt{
			Tokens:     int(q.GetTokens()),
			QueueLevel: int(q.GetTurn()),
			SentAt:     sentAt.Add(-time.Duration(q.GetAgeMs()) * time.Millisecond),
		})
	}
	return u
}
