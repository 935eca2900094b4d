package retry

import (
	"sync/atomic"
	"time"
)

// Allowance is the budget of one service on one VM. Return gives back a retry that was
// granted at a time and never sent; nil keeps it.
type Allowance struct {
	OnRequest func()
	Allow     func() bool
	Return    func(grantedAt time.Time)
	Now       func() time.Time
}

// CallBudget is what one call takes from a retry budget on one VM. A call counts as a
// request once, on the VM that first sends it to an endpoint, however many VMs it visits.
type CallBudget struct {
	allowance Allowance
	// counted is set once the call has been sent to an endpoint, by this VM or another.
	counted atomic.Bool
	// granted is set while a retry is granted and not sent yet, since grantedAt.
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
	return !b.counted.Load() || b.grant()
}

// OnSend counts the call as a request, unless it was counted before. It is called right
// before an attempt's first byte is sent, from any goroutine.
func (b *CallBudget) OnSend() {
	if b.counted.CompareAndSwap(false, true) {
		b.allowance.OnRequest()
	}
}

// Allow reports whether another attempt may follow one that ended; sent says that a byte of
// it may have reached its endpoint. An attempt that was not sent leaves its grant to the
// next one.
func (b *CallBudget) Allow(sent bool) bool {
	if !sent {
		return true
	}
	return b.grant()
}

// End gives back a retry that the last attempt did not use; sent as in Allow.
func (b *CallBudget) End(sent bool) {
	if b.granted && !sent && b.allowance.Return != nil {
		b.allowance.Return(b.grantedAt)
	}
	b.granted = false
}

func (b *CallBudget) grant() bool {
	b.granted = b.allowance.Allow()
	b.grantedAt = b.allowance.Now()
	return b.granted
}
