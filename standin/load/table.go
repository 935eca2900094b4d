package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
)

const columnPadding = 2

// WriteTable writes a record as aligned text tables.
func WriteTable(w io.Writer, r *Record) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	row := func(cells string, args ...any) { _, _ = fmt.Fprintf(t, cells+"\n", args...) }
	row("calls\tdone\tin time\tnot run\tunknown\twrong\tshed\tretried\ttries")
	row("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", r.Calls, r.Done, r.InTime, r.NotRun, r.Unknown, r.Incorrect, r.Shed, r.Retried, r.Tries)
	for _, g := range []struct {
		title  string
		groups []Latency
	}{
		{
			title:  "priority",
			groups: r.Priorities,
		},
		{
			title:  "kind",
			groups: r.Kinds,
		},
		{
			title:  "origin",
			groups: r.Origins,
		},
	} {
		row("\n%s\tcalls\tin time\tfirst p50\tp95\tp99\twhole p50\tp95\tp99\trefusal p99", g.title)
		for _, l := range g.groups {
			row("%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s", l.Name, l.Calls, l.InTime,
				FormatDuration(l.First.P50), FormatDuration(l.First.P95), FormatDuration(l.First.P99),
				FormatDuration(l.Whole.P50), FormatDuration(l.Whole.P95), FormatDuration(l.Whole.P99), FormatDuration(l.Refusal.P99))
		}
	}
	row("\nregion\truns\tcold\tprompt tokens\tcached\tgenerated")
	for _, c := range r.Endpoints {
		row("%s\t%d\t%d\t%d\t%d\t%d", c.Region, c.Runs, c.ColdPrefills, c.PromptTokens, c.CachedTokens, c.GeneratedTokens)
	}
	row("\nsent away\tshare\tforwards\tretries\tdoubled\tran though not run\tlost")
	row("%d\t%.3f\t%d\t%d\t%d\t%d\t%d", r.VMs.SentAway, r.SentAwayShare, r.VMs.Forwards, r.VMs.Retries, r.Runs.Doubled, r.Runs.RanNotRun, r.Runs.Lost)
	row("\ncode\tname\tcalls")
	for _, c := range r.Codes {
		row("%d\t%s\t%d", c.Code, c.Name, c.Calls)
	}
	return t.Flush()
}

// FormatDuration formats a duration with about three significant digits.
func FormatDuration(d jsonc.Duration) string {
	switch {
	case d.Duration >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d.Duration >= 10*time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	default:
		return d.Round(10 * time.Microsecond).String()
	}
}
