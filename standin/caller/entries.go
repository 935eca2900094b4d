package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// askWithin bounds one question for entries or a ticket.
const askWithin = 5 * time.Second

// asksPerQuestion is the first VM asked and one more.
const asksPerQuestion = 2

var errNoEntries = errors.New("no VM named entries")

// entryCache remembers the last entries until they are no longer good.
type entryCache struct {
	// lock holds one token; who takes it may use the fields below.
	lock    chan struct{}
	held    Entries
	askedAt time.Time
}

func newEntryCache() entryCache {
	return entryCache{
		lock: make(chan struct{}, 1),
	}
}

// Entries returns the VMs to use, best first, and asks for them when those
// remembered are no longer good.
func (c *Caller) Entries(ctx context.Context) ([]Entry, error) {
	if c.options.Direct {
		return c.direct(), nil
	}
	select {
	case c.entries.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.entries.lock }()
	if time.Now().Before(c.entries.held.GoodUntil) && len(c.entries.held.Entries) > 0 {
		return c.entries.held.Entries, nil
	}
	askedAt := time.Now()
	fresh, err := c.askEntries(ctx)
	if err != nil {
		return nil, err
	}
	if len(fresh.Entries) == 0 {
		return nil, errNoEntries
	}
	c.entries.held = fresh
	c.entries.askedAt = askedAt
	return fresh.Entries, nil
}

// direct returns the configured VMs without asking.
func (c *Caller) direct() []Entry {
	out := make([]Entry, 0, len(c.options.VMs))
	for _, addr := range c.options.VMs {
		out = append(out, Entry{
			Addr: addr,
		})
	}
	return out
}

// askEntries asks one of the configured VMs, and the next one if that fails.
func (c *Caller) askEntries(ctx context.Context) (fresh Entries, err error) {
	err = errNoEntries
	for _, addr := range atMost(asksPerQuestion, c.askedAddrs()) {
		if fresh, err = ask[Entries](ctx, c, http.MethodGet, addr, pathEntries); err == nil {
			break
		}
	}
	return fresh, err
}

// Ticket gets a ticket for one non-idempotent call, from the first entry VM or
// from the next one if that fails.
func (c *Caller) Ticket(ctx context.Context) (ticket Ticket, err error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return ticket, err
	}
	for _, e := range atMost(asksPerQuestion, entries) {
		if ticket, err = ask[Ticket](ctx, c, http.MethodPost, e.Addr, pathTickets); err == nil {
			break
		}
		c.demote(e.Addr)
	}
	return ticket, err
}

// forget drops the remembered entries, unless they were asked for after a time.
func (c *Caller) forget(before time.Time) {
	c.entries.lock <- struct{}{}
	defer func() { <-c.entries.lock }()
	if !c.entries.askedAt.After(before) {
		c.entries.held = Entries{}
	}
}

// demote moves a VM that could not be used behind the other remembered ones.
func (c *Caller) demote(addr string) {
	c.entries.lock <- struct{}{}
	defer func() { <-c.entries.lock }()
	held := c.entries.held.Entries
	i := slices.IndexFunc(held, func(e Entry) bool { return e.Addr == addr })
	if i < 0 || i == len(held)-1 {
		return
	}
	// A copy, since calls under way hold the old order.
	c.entries.held.Entries = slices.Concat(held[:i], held[i+1:], held[i:i+1])
}

// askedAddrs returns the configured VMs, from another one each time.
func (c *Caller) askedAddrs() []string {
	vms := c.options.VMs
	if len(vms) == 0 {
		return nil
	}
	first := int((c.askedVMs.Add(1) - 1) % uint64(len(vms)))
	return slices.Concat(vms[first:], vms[:first])
}

func atMost[T any](n int, of []T) []T {
	return of[:min(n, len(of))]
}

// ask puts a question without a body to one VM. It fails with a
// *result.Refusal where the VM refused.
func ask[T any](ctx context.Context, c *Caller, method, addr, path string) (body T, err error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, http.NoBody)
	if err != nil {
		return body, err
	}
	r.Header.Set("Authorization", "Bearer "+c.options.Key)
	response, err := c.client.Do(r)
	if err != nil {
		return body, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readAll(response.Body)
	if err != nil {
		return body, err
	}
	if response.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, &body)
		return body, err
	}
	var refused errorBody
	if err := json.Unmarshal(data, &refused); err != nil {
		return body, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	return body, result.Refuse(refused.Error.Code, "%s", refused.Error.Message).Until(refused.Error.ComeBackAt)
}
