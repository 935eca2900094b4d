package console

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/fuchsianotch/fuchsianotch/operator"
)

const (
	columnPadding = 2
	emptyCell     = "-"
)

// WriteTable writes tables of the VMs, the documents and the unreachable VMs.
func (f *Fleet) WriteTable(w io.Writer) error {
	t := newTable(w)
	t.row("VM", "REGION", "DATA CENTRE", "READY", "LEAVING", "LIST", "VIEW", "REACHES", "IN FLIGHT", "QUEUED")
	for i := range f.VMs {
		s := &f.VMs[i]
		t.row(s.VM, s.Region, s.DataCentre, formatBool(s.Ready), formatBool(s.Leaving), formatNumber(s.ListRevision),
			formatNumber(s.View.Revision), formatReachability(s.View), strconv.Itoa(s.Load.InFlight), strconv.Itoa(s.Load.Queued))
	}
	t.row("")
	t.row("DOCUMENT", "IN FORCE", "REFUSED", "VMS", "REASON")
	for _, state := range f.DocumentStates() {
		t.row(state.Key, formatNumber(state.Active), formatNumber(state.Rejected), f.formatVMs(state.VMs), state.Reason)
	}
	for _, u := range f.Unreachable {
		t.row("")
		t.row("NOT REACHED", u.Addr, u.Error)
	}
	return t.flush()
}

// formatReachability returns how many VMs of the region are reachable and lists
// the others.
func formatReachability(v operator.View) string {
	var missing []string
	for _, m := range v.Region {
		if !m.Reachable {
			missing = append(missing, m.VM)
		}
	}
	text := fmt.Sprintf("%d of %d", len(v.Region)-len(missing), len(v.Region))
	if len(missing) > 0 {
		text += " not " + strings.Join(missing, ",")
	}
	return text
}

func (f *Fleet) formatVMs(vms []string) string {
	if len(vms) == len(f.VMs) {
		return fmt.Sprintf("all %d", len(vms))
	}
	return strings.Join(vms, ",")
}

// Timeline is a timeline that can be written as a table.
type Timeline struct {
	operator.Timeline
}

// WriteTable writes one row per event, and one listing the unreachable VMs.
func (tl *Timeline) WriteTable(w io.Writer) error {
	t := newTable(w)
	t.row("TIME", "VM", "KIND", "REQUEST", "WORKSPACE", "PEER", "ENDPOINT", "CODE", "DETAIL")
	for _, e := range tl.Events {
		at := e.Stamp.Time().UTC().Format(time.RFC3339Nano)
		code := emptyCell
		if e.Code != 0 {
			code = fmt.Sprintf("%d %s", e.Code, e.Code)
		}
		t.row(at, e.VM, e.Kind, orEmptyCell(e.Request), orEmptyCell(e.Workspace), orEmptyCell(e.Peer), orEmptyCell(e.Endpoint), code, e.Detail)
	}
	if len(tl.Unreachable) > 0 {
		t.row("")
		t.row("NOT REACHED", strings.Join(tl.Unreachable, ","))
	}
	return t.flush()
}

// table writes aligned columns. Control characters in cells are replaced by spaces.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer) *table {
	return &table{
		w: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0),
	}
}

func (t *table) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = strings.Join(strings.FieldsFunc(cell, unicode.IsControl), " ")
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error {
	return t.w.Flush()
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func formatNumber(n uint64) string {
	if n == 0 {
		return emptyCell
	}
	return strconv.FormatUint(n, 10)
}

func orEmptyCell(s string) string {
	if s == "" {
		return emptyCell
	}
	return s
}
