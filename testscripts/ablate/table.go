package main

import (
	"fmt"
	"path/filepath"
	"strings"
)

// calmDay is the name of the day without trouble.
const calmDay = "quiet-1"

// row is one variant's figures, one for each deployment.
type row struct {
	name  string
	sites []figures
}

// figures are means over plays and days: of the days with trouble, and of the
// calm day. broken counts the plays that broke a rule.
type figures struct {
	trouble float64
	calm    float64
	broken  int
}

func sumUp(days []day) figures {
	var f figures
	troubled, calm := 0, 0
	for _, d := range days {
		if d.broken {
			f.broken++
		}
		if d.name == calmDay {
			calm++
			f.calm += d.worth
			continue
		}
		troubled++
		f.trouble += d.worth
	}
	f.trouble /= float64(max(troubled, 1))
	f.calm /= float64(max(calm, 1))
	return f
}

// printTable prints the row with everything on first, and what each mechanism is
// worth: how much less is earned without it.
func printTable(w *strings.Builder, sites []string, rows []row) {
	fmt.Fprint(w, "| Without |")
	for _, site := range sites {
		name := strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
		fmt.Fprintf(w, " %s, trouble | calm |", name)
	}
	fmt.Fprintf(w, " days with a broken rule |\n| --- |%s --- |\n", strings.Repeat(" --- | --- |", len(sites)))
	for i, r := range rows {
		broken := 0
		fmt.Fprintf(w, "| %s |", r.name)
		for j, f := range r.sites {
			broken += f.broken
			if i == 0 {
				fmt.Fprintf(w, " %.3f | %.3f |", f.trouble, f.calm)
				continue
			}
			all := rows[0].sites[j]
			fmt.Fprintf(w, " %+.3f | %+.3f |", f.trouble-all.trouble, f.calm-all.calm)
		}
		fmt.Fprintf(w, " %d |\n", broken)
	}
}
