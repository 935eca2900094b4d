package console

import (
	"context"
	"io"
	"net/http"
	"time"
)

// PathEntries is the path at which the caller API lists the VMs to use.
const PathEntries = "/v1/entries"

// Entries are the VMs that a workspace's callers should use, in order of preference.
type Entries struct {
	Workspace    string    `json:"workspace"`
	ViewRevision uint64    `json:"view_revision"`
	GoodUntil    time.Time `json:"good_until"`
	Entries      []Entry   `json:"entries"`
}

// Entry is a VM and the address of its caller API.
type Entry struct {
	VM         string `json:"vm"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
}

// Entries returns the entry VMs of the key's workspace, given the "ip:port" of a
// caller API.
func (c *Client) Entries(ctx context.Context, addr, key string) (*Entries, error) {
	header := http.Header{}
	header.Set("Authorization", "Bearer "+key)
	return get[Entries](ctx, c.http, addr, PathEntries, nil, header)
}

// WriteTable writes the entries as a table, one row per VM.
func (e *Entries) WriteTable(w io.Writer) error {
	t := newTable(w)
	t.row("WORKSPACE", "VIEW", "GOOD UNTIL")
	t.row(e.Workspace, formatNumber(e.ViewRevision), e.GoodUntil.UTC().Format(time.RFC3339))
	t.row("")
	t.row("VM", "REGION", "DATA CENTRE", "ADDRESS")
	for _, entry := range e.Entries {
		t.row(entry.VM, entry.Region, entry.DataCentre, entry.Addr)
	}
	return t.flush()
}
