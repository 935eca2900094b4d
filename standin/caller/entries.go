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

// requestTimeout bounds one request for entries or a ticket.
const requestTimeout = 5 * time.Second

// maxEntryRequests is the number of VMs to request entries or a ticket from.
const maxEntryRequests = 2

var errNoEntries = errors.New("no VM returned entries")

// entryCache caches the last entries until they expire.
type entryCache struct {
	// lock is a mutex that can be awaited together with a context. It guards the
	// fields below.
	lock        chan struct{}
	cached      Entries
	requestedAt time.Time
}

func newEntryCache() entryCache {
	return entryCache{
		lock: make(chan struct{}, 1),
	}
}

// Entries returns the VMs to use, best first. It requests them if the cached ones
// have expired.
func (c *Caller) Entries(ctx context.Context) ([]Entry, error) {
	if c.options.Direct {
		return c.directEntries(), nil
	}
	select {
	case c.entries.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.entries.lock }()
	if time.Now().Before(c.entries.cached.GoodUntil) && len(c.entries.cached.Entries) > 0 {
		return c.entries.cached.Entries, nil
	}
	requestedAt := time.Now()
	fresh, err := c.fetchEntries(ctx)
	if err != nil {
		return nil, err
	}
	if len(fresh.Entries) == 0 {
		return nil, errNoEntries
	}
	c.entries.cached = fresh
	c.entries.requestedAt = requestedAt
	return fresh.Entries, nil
}

// directEntries returns the configured VMs as entries.
func (c *Caller) directEntries() []Entry {
	out := make([]Entry, 0, len(c.options.VMs))
	for _, addr := range c.options.VMs {
		out = append(out, Entry{
			Addr: addr,
		})
	}
	return out
}

// fetchEntries requests entries from a configured VM, and from the next one if
// that fails.
func (c *Caller) fetchEntries(ctx context.Context) (fresh Entries, err error) {
	err = errNoEntries
	for _, addr := range firstN(maxEntryRequests, c.rotatedVMs()) {
		if fresh, err = fetch[Entries](ctx, c, http.MethodGet, addr, pathEntries); err == nil {
			break
		}
	}
	return fresh, err
}

// Ticket requests a ticket for a non-idempotent call from the first entry VM, and
// from the next one if that fails.
func (c *Caller) Ticket(ctx context.Context) (ticket Ticket, err error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return ticket, err
	}
	for _, e := range firstN(maxEntryRequests, entries) {
		if ticket, err = fetch[Ticket](ctx, c, http.MethodPost, e.Addr, pathTickets); err == nil {
			break
		}
		c.moveToEnd(e.Addr)
	}
	return ticket, err
}

// invalidateEntries drops the cached entries unless they were requested after a
// time.
func (c *Caller) invalidateEntries(before time.Time) {
	c.entries.lock <- struct{}{}
	defer func() { <-c.entries.lock }()
	if !c.entries.requestedAt.After(before) {
		c.entries.cached = Entries{}
	}
}

// moveToEnd makes an unavailable VM the last of the cached entries.
func (c *Caller) moveToEnd(addr string) {
	c.entries.lock <- struct{}{}
	defer func() { <-c.entries.lock }()
	cached := c.entries.cached.Entries
	i := slices.IndexFunc(cached, func(e Entry) bool { return e.Addr == addr })
	if i < 0 || i == len(cached)-1 {
		return
	}
	// Calls in flight still read the old slice.
	c.entries.cached.Entries = slices.Concat(cached[:i], cached[i+1:], cached[i:i+1])
}

// rotatedVMs returns the configured VMs, starting with the next one at each call.
func (c *Caller) rotatedVMs() []string {
	vms := c.options.VMs
	if len(vms) == 0 {
		return nil
	}
	first := int((c.fetchCount.Add(1) - 1) % uint64(len(vms)))
	return slices.Concat(vms[first:], vms[:first])
}

func firstN[T any](n int, of []T) []T {
	return of[:min(n, len(of))]
}

// fetch sends a request without a body to one VM and decodes the response. It
// returns a *result.Refusal if the VM refused.
func fetch[T any](ctx context.Context, c *Caller, method, addr, path string) (body T, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
	return body, result.Refuse(refused.Error.Code, "%s", refused.Error.Message).WithRetryAt(refused.Error.RetryAt)
}
