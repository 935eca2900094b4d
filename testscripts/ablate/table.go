package main

import (
	"fmt"
	"path/filepath"
	"strings"
)

// quietDay is the day without faults.
const quietDay = "quiet-1"

// variant holds the results of one variant, one for each deployment.
type variant struct {
	name  string
	sites []siteSummary
}

// siteSummary holds the mean worth of the days with faults and of the quiet day, and
// how many days broke a rule.
type siteSummary struct {
	faultWorth float64
	quietWorth float64
	violations int
}

func summarize(results []dayResult) siteSummary {
	var f siteSummary
	faultDays, quietDays := 0, 0
	for _, d := range results {
		if d.ruleBroken {
			f.violations++
		}
		if d.name == quietDay {
			quietDays++
			f.quietWorth += d.worth
			continue
		}
		faultDays++
		f.faultWorth += d.worth
	}
	f.faultWorth /= float64(max(faultDays, 1))
	f.quietWorth /= float64(max(quietDays, 1))
	return f
}

// printTable prints the baseline first, then each variant's difference from it.
func printTable(w *strings.Builder, sites []string, variants []variant) {
	fmt.Fprint(w, "| Without |")
	for _, site := range sites {
		name := strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
		fmt.Fprintf(w, " %s, trouble | calm |", name)
	}
	fmt.Fprintf(w, " days with a broken rule |\n| --- |%s --- |\n", strings.Repeat(" --- | --- |", len(sites)))
	for i, r := range variants {
		violations := 0
		fmt.Fprintf(w, "| %s |", r.name)
		for j, f := range r.sites {
			violations += f.violations
			if i == 0 {
				fmt.Fprintf(w, " %.3f | %.3f |", f.faultWorth, f.quietWorth)
				continue
			}
			base := variants[0].sites[j]
			fmt.Fprintf(w, " %+.3f | %+.3f |", f.faultWorth-base.faultWorth, f.quietWorth-base.quietWorth)
		}
		fmt.Fprintf(w, " %d |\n", violations)
	}
}
