package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Allowance is the budget of one service on one VM. Return gives back a retry that was
// granted at a time and never sent; nil keeps it.
type Allowance struct {
	OnRequest func()
	Allow     func() bool
	Return    func(grantedAt time.Time)
	// Covers reports whether a retry that was granted at a time counts there if it is sent now; nil
	// means that it always does.
	Covers func(grantedAt time.Time) bool
	Now    func() time.Time
}

// CallBudget is what one call takes from a retry budget on one VM. A call counts as a
// request once, on the VM that first sends it to an endpoint, however many VMs it visits.
type CallBudget struct {
	allowance Allowance
	// counted is set once the call has been sent to an endpoint, by this VM or another.
	counted atomic.Bool

	mu sync.Mutex
	// granted is set while this VM has granted a retry that is not sent yet, grantedAt is when the
	// last retry was granted, by this VM or the one that sent the call.
	granted   bool
	grantedAt time.Time
}

// NewCallBudget returns the budget of a call; sentBefore says that another VM may have sent
// it to an endpoint.
func NewCallBudget(a Allowance, sentBefore bool) *CallBudget {
	b := &CallBudget{
		allowance: a,
	}
	b.counted.Store(sentBefore)
	return b
}

// Begin reports whether the first attempt on this VM may be made. It is a retry if another
// VM may have sent the call.
func (b *CallBudget) Begin() bool {
	return !b.counted.Load() || b.Allow(true)
}

// BeginGranted begins the first attempt of a retry that the VM which sent the call has granted.
func (b *CallBudget) BeginGranted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantedAt = b.allowance.Now()
}

// OnSend counts the call as a request, unless it was counted before, and reports whether the attempt
// may be sent. A retry that has waited for long is granted anew, as it counts when it arrives. OnSend
// is called right before an attempt's first byte is sent, from any goroutine.
func (b *CallBudget) OnSend() bool {
	if b.counted.CompareAndSwap(false, true) {
		b.allowance.OnRequest()
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.grantedAt.IsZero() || b.allowance.Covers == nil || b.allowance.Covers(b.grantedAt) {
		return true
	}
	b.giveBack()
	return b.grant()
}

// Allow reports whether another attempt may follow one that ended; sent says that a byte of
// it may have reached its endpoint. An attempt that was not sent leaves its grant to the
// next one.
func (b *CallBudget) Allow(sent bool) bool {
	if !sent {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grant()
}

// End gives back a retry that the last attempt did not use; sent as in Allow.
func (b *CallBudget) End(sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !sent {
		b.giveBack()
	}
	b.granted = false
}

// giveBack requires b.mu.
func (b *CallBudget) giveBack() {
	if b.granted && b.allowance.Return != nil {
		b.allowance.Return(b.grantedAt)
	}
	b.granted = false
}

// grant requires b.mu.
func (b *CallBudget) grant() bool {
	b.granted = b.allowance.Allow()
	b.grantedAt = b.allowance.Now()
	return b.granted
}
