package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/load"
)

// report collects the records and tables of one experiment.
type report struct {
	Experiment string         `json:"experiment"`
	Command    string         `json:"command"`
	StartedAt  time.Time      `json:"started_at"`
	Machine    []string       `json:"machine"`
	Notes      []string       `json:"notes,omitempty"`
	Records    []*load.Record `json:"records,omitempty"`
	Points     []point        `json:"points,omitempty"`
	tables     []table
}

// point is one figure of one run that is no record of calls.
type point struct {
	Name  string  `json:"name"`
	Seed  uint64  `json:"seed"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// table is rows of cells, the first of which are headings.
type table struct {
	title string
	rows  [][]string
}

func newReport(e experiment, command string) *report {
	return &report{
		Experiment: e.name,
		Command:    command,
		StartedAt:  time.Now().UTC().Truncate(time.Second),
		Machine:    []string{"at the start: " + machine()},
	}
}

func (r *report) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

func (r *report) record(name string, rec *load.Record) {
	rec.Name = name
	r.Records = append(r.Records, rec)
}

func (r *report) point(name string, seed uint64, value float64, unit string) {
	r.Points = append(r.Points, point{
		Name:  name,
		Seed:  seed,
		Value: value,
		Unit:  unit,
	})
}

func (r *report) table(title string, headings ...string) *table {
	r.tables = append(r.tables, table{
		title: title,
		rows:  [][]string{headings},
	})
	return &r.tables[len(r.tables)-1]
}

func (t *table) row(cells ...string) {
	t.rows = append(t.rows, cells)
	fmt.Println(strings.Join(cells, " | "))
}

// write puts the report beside each other as JSON and as a page.
func (r *report) write(path string) error {
	r.Machine = append(r.Machine, "at the end: "+machine())
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".json", append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(path+".md", []byte(r.page()), 0o644)
}

func (r *report) page() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Measurement: %s\n\n    %s\n\n", r.Experiment, r.Command)
	fmt.Fprintf(&b, "Started %s. Machine shared with other work, %s.\n", r.StartedAt.Format(time.RFC3339), strings.Join(r.Machine, "; "))
	fmt.Fprintf(&b, "Cells with several seeds give the median and, in brackets, the lowest and highest.\n\n")
	for _, n := range r.Notes {
		fmt.Fprintf(&b, "- %s\n", n)
	}
	for _, t := range r.tables {
		fmt.Fprintf(&b, "\n## %s\n\n", t.title)
		t.write(&b)
	}
	return b.String()
}

func (t *table) write(b *strings.Builder) {
	for i, cells := range t.rows {
		fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
		if i == 0 {
			fmt.Fprintf(b, "|%s\n", strings.Repeat(" --- |", len(cells)))
		}
	}
}

// named returns the records of one variant, one for each seed.
func (r *report) named(name string) []*load.Record {
	var out []*load.Record
	for _, rec := range r.Records {
		if rec.Name == name {
			out = append(out, rec)
		}
	}
	return out
}

// over returns one figure of each record of a variant.
func (r *report) over(name string, figure func(*load.Record) float64) spread {
	var s spread
	for _, rec := range r.named(name) {
		s = append(s, figure(rec))
	}
	return s
}

// pointsOf returns the values of the points of one name.
func (r *report) pointsOf(name string) spread {
	var s spread
	for _, p := range r.Points {
		if p.Name == name {
			s = append(s, p.Value)
		}
	}
	return s
}

// spread is one figure over several seeds.
type spread []float64

func (s spread) median() float64 {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}

// format writes the median and spread with a verb such as "%.1f".
func (s spread) format(verb string) string {
	switch len(s) {
	case 0:
		return "-"
	case 1:
		return fmt.Sprintf(verb, s[0])
	}
	return fmt.Sprintf(verb+" ("+verb+" to "+verb+")", s.median(), slices.Min(s), slices.Max(s))
}

// ratio divides two spreads seed by seed, since a seed's runs follow each other.
func ratio(of, by spread) spread {
	var s spread
	for i := range min(len(of), len(by)) {
		if by[i] != 0 {
			s = append(s, of[i]/by[i])
		}
	}
	return s
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
