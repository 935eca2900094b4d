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
	columnGap = 2
	none      = "-"
)

// WriteTable writes the fleet as three tables for people: VMs, documents, and
// VMs that gave no answer.
func (f *Fleet) WriteTable(w io.Writer) error {
	t := newTable(w)
	t.row("VM", "REGION", "DATA CENTRE", "READY", "LEAVING", "LIST", "VIEW", "REACHES", "IN FLIGHT", "QUEUED")
	for i := range f.VMs {
		s := &f.VMs[i]
		t.row(s.VM, s.Region, s.DataCentre, yesNo(s.Ready), yesNo(s.Leaving), number(s.ListRevision),
			number(s.View.Revision), reaches(s.View), strconv.Itoa(s.Load.InFlight), strconv.Itoa(s.Load.Queued))
	}
	t.row("")
	t.row("DOCUMENT", "IN FORCE", "REFUSED", "VMS", "REASON")
	for _, h := range f.Holdings() {
		t.row(h.Key, number(h.InForce), number(h.Refused), f.vmsText(h.VMs), h.Reason)
	}
	for _, u := range f.Unreached {
		t.row("")
		t.row("NOT REACHED", u.Addr, u.Error)
	}
	return t.flush()
}

// reaches returns the VMs of the region that are reached, out of all, and names the others.
func reaches(v operator.View) string {
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

func (f *Fleet) vmsText(vms []string) string {
	if len(vms) == len(f.VMs) {
		return fmt.Sprintf("all %d", len(vms))
	}
	return strings.Join(vms, ",")
}

// Events are a time line to be shown.
type Events struct {
	operator.Timeline
}

// WriteTable writes one line for each event, and one for the VMs that are missing.
func (l *Events) WriteTable(w io.Writer) error {
	t := newTable(w)
	t.row("TIME", "VM", "KIND", "REQUEST", "WORKSPACE", "PEER", "ENDPOINT", "CODE", "DETAIL")
	for _, e := range l.Events {
		at := e.Stamp.Time().UTC().Format(time.RFC3339Nano)
		code := none
		if e.Code != 0 {
			code = fmt.Sprintf("%d %s", e.Code, e.Code)
		}
		t.row(at, e.VM, e.Kind, text(e.Request), text(e.Workspace), text(e.Peer), text(e.Endpoint), code, e.Detail)
	}
	if len(l.Unreached) > 0 {
		t.row("")
		t.row("NOT REACHED", strings.Join(l.Unreached, ","))
	}
	return t.flush()
}

// table writes rows of cells in columns. Control characters in cells never break it.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer) *table {
	return &table{
		w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0),
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

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func number(n uint64) string {
	if n == 0 {
		return none
	}
	return strconv.FormatUint(n, 10)
}

func text(s string) string {
	if s == "" {
		return none
	}
	return s
}
