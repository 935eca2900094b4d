package endpoint

import (
	"context"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// maxMemoryBytes bounds one answer about an engine's memory, of some 60 bytes a part.
	maxMemoryBytes = 1 << 20
	// maxMemoryPages bounds the requests for the events of one engine.
	maxMemoryPages = 8
)

// MemoryPage is one answer of an engine about the prompt parts in its memory.
type MemoryPage struct {
	// Epoch changes when the engine restarts.
	Epoch uint64
	// Next is the number of the next event; Lost is set if events before those of the page are
	// missing.
	Next uint64
	Lost bool
	// Parts are the parts held or, in a page of events, those that were added or removed.
	Parts []uint64
}

// MemoryCursor is a position in the events of an engine's memory; the zero value is their start.
type MemoryCursor struct {
	Epoch uint64
	Next  uint64
}

// Memory is what an engine tells of the prompt parts that it has read.
type Memory struct {
	// Held are the parts in memory, Events those that were added or removed after the cursor.
	Held   []uint64
	Events []uint64
	Cursor MemoryCursor
	// Restarted is set if the cursor was of another life of the engine, so that Events begin
	// anew.
	Restarted bool
	// Complete is set if no event after the cursor is missing.
	Complete bool
}

// FetchMemory requests what an engine has read. The list comes first, as a part that is evicted
// later is on it, and one that was evicted before is among the events. It fails if another
// endpoint has taken over the engine's address.
func (c *Client) FetchMemory(ctx context.Context, e fleet.Endpoint, healthPath string, from MemoryCursor) (Memory, error) {
	held, err := c.fetchMemoryPage(ctx, e, c.dialect.MemoryListPath)
	if err != nil {
		return Memory{}, err
	}
	m := Memory{
		Held:   held.Parts,
		Cursor: from,
	}
	if from.Epoch != held.Epoch {
		m.Cursor = MemoryCursor{
			Epoch: held.Epoch,
		}
		m.Restarted = from.Epoch != 0
	}
	if err := c.fetchMemoryEvents(ctx, e, &m); err != nil {
		return Memory{}, err
	}
	return m, c.confirmInstance(ctx, e, healthPath)
}

// fetchMemoryEvents adds the events after the cursor and moves it.
func (c *Client) fetchMemoryEvents(ctx context.Context, e fleet.Endpoint, m *Memory) error {
	m.Complete = true
	for range maxMemoryPages {
		page, err := c.fetchMemoryPage(ctx, e, c.dialect.MemoryEventsPath(m.Cursor.Next))
		if err != nil {
			return err
		}
		if page.Epoch != m.Cursor.Epoch {
			return merry.Errorf("memory of %s: the engine has restarted", e.ID)
		}
		m.Complete = m.Complete && !page.Lost
		m.Events = append(m.Events, page.Parts...)
		atEnd := len(page.Parts) == 0 || page.Next <= m.Cursor.Next
		m.Cursor.Next = page.Next
		if atEnd {
			return nil
		}
	}
	m.Complete = false
	return nil
}

func (c *Client) fetchMemoryPage(ctx context.Context, e fleet.Endpoint, path string) (MemoryPage, error) {
	resp, err := c.getProbe(ctx, e, path)
	if err != nil {
		return MemoryPage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMemoryBytes+1))
	if err != nil {
		return MemoryPage{}, merry.Prependf(err, "memory of %s", e.ID)
	}
	if resp.StatusCode != http.StatusOK || len(data) > maxMemoryBytes {
		return MemoryPage{}, merry.Errorf("memory of %s: status %d, %d bytes", e.ID, resp.StatusCode, len(data))
	}
	page, err := c.dialect.DecodeMemory(data)
	return page, merry.Prependf(err, "memory of %s", e.ID)
}

// confirmInstance fails unless the endpoint at an address says that it is the one expected.
func (c *Client) confirmInstance(ctx context.Context, e fleet.Endpoint, healthPath string) error {
	resp, err := c.getProbe(ctx, e, healthPath)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := readProbe(resp); err != nil {
		return merry.Prependf(err, "health of %s", e.ID)
	}
	if found := c.dialect.ReadInstance(resp.Header); found != e.ID {
		return merry.Errorf("health of %s: the answer is of instance %q", e.ID, found)
	}
	return nil
}

func (c *Client) getProbe(ctx context.Context, e fleet.Endpoint, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr+path, nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	// On a kept connection a late answer to one question would be read as that to the next.
	resp, err := c.unpooled.RoundTrip(req)
	return resp, merry.Wrap(err)
}
