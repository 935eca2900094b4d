package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// reason says why an attempt lost worth.
type reason string

const (
	reasonFirstWaited   reason = "first token late, as expected"
	reasonFirstSurprise reason = "first token late, expected on time"
	reasonPause         reason = "a pause too long"
)

// key is one row of the sum.
type key struct {
	kind   string
	reason reason
}

// loss is what the attempts of one row lost.
type loss struct {
	attempts int
	away     int
	worth    float64
}

// summary is what was lost, and what was owed.
type summary struct {
	rows    map[key]loss
	moments map[int]map[reason]float64
	owed    float64
	window  time.Duration
}

func addUp(attempts []attempt, kinds []kind, window time.Duration) summary {
	s := summary{
		rows:    make(map[key]loss),
		moments: make(map[int]map[reason]float64),
		window:  window,
	}
	for _, k := range kinds {
		var own []attempt
		total := 0.0
		for _, a := range attempts {
			if k.matches(a) {
				own = append(own, a)
				total += a.size()
			}
		}
		for _, a := range own {
			s.add(k, a, factor(a.size(), total/float64(len(own))))
		}
	}
	return s
}

func (s *summary) add(k kind, a attempt, factor float64) {
	s.owed += factor * k.Worth
	why, worth := lost(k, a)
	if why == "" {
		return
	}
	row := s.rows[key{
		kind:   k.Name,
		reason: why,
	}]
	row.attempts++
	row.worth += factor * worth
	if a.away {
		row.away++
	}
	s.rows[key{
		kind:   k.Name,
		reason: why,
	}] = row
	moment := int(a.arrived.at / s.window.Seconds())
	if s.moments[moment] == nil {
		s.moments[moment] = make(map[reason]float64)
	}
	s.moments[moment][why] += factor * worth
}

// lost says why an attempt lost worth and how much; the reason is empty where
// it lost none.
func lost(k kind, a attempt) (why reason, worth float64) {
	code := result.Code(a.ended.Code)
	switch {
	case code.Class() != result.ClassDone || code == result.FailurePassed:
		return reason(fmt.Sprintf("%d %s", a.ended.Code, meaning(code))), k.Worth
	case a.ended.FirstMs > a.arrived.FirstInMs && a.expectedMs > a.arrived.FirstInMs:
		return reasonFirstWaited, k.Worth - k.LateWorth
	case a.ended.FirstMs > a.arrived.FirstInMs:
		return reasonFirstSurprise, k.Worth - k.LateWorth
	case a.arrived.GapMs > 0 && a.ended.PauseMs > a.arrived.GapMs:
		return reasonPause, k.Worth - k.LateWorth
	default:
		return "", 0
	}
}

func meaning(code result.Code) string {
	info, ok := result.Lookup(code)
	if !ok {
		return ""
	}
	return info.Meaning
}

func (s summary) print(w *strings.Builder) {
	fmt.Fprintf(w, "worth owed by the attempts seen: %.0f\n\n", s.owed)
	fmt.Fprintln(w, "| lost, per 1,000 owed | attempts | sent away | kind | reason |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	keys := make([]key, 0, len(s.rows))
	for k := range s.rows {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, s.compare)
	for _, k := range keys {
		row := s.rows[k]
		fmt.Fprintf(w, "| %.1f | %d | %d | %s | %s |\n", 1000*row.worth/s.owed, row.attempts, row.away, k.kind, k.reason)
	}
	s.printMoments(w)
}

// compare sorts the greatest loss first, equal ones by name.
func (s summary) compare(a, b key) int {
	return cmp.Or(
		cmp.Compare(s.rows[b].worth, s.rows[a].worth),
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.reason, b.reason),
	)
}

// momentsShown is how many moments are listed, the worst first.
const momentsShown = 12

func (s summary) printMoments(w *strings.Builder) {
	fmt.Fprintln(w, "\n| from second | lost, per 1,000 owed | most for |")
	fmt.Fprintln(w, "| --- | --- | --- |")
	moments := make([]int, 0, len(s.moments))
	for m := range s.moments {
		moments = append(moments, m)
	}
	slices.SortFunc(moments, func(a, b int) int { return cmp.Compare(total(s.moments[b]), total(s.moments[a])) })
	for _, m := range moments[:min(len(moments), momentsShown)] {
		fmt.Fprintf(w, "| %.0f | %.1f | %s |\n", float64(m)*s.window.Seconds(), 1000*total(s.moments[m])/s.owed, most(s.moments[m]))
	}
}

func total(by map[reason]float64) float64 {
	sum := 0.0
	for _, worth := range by {
		sum += worth
	}
	return sum
}

func most(by map[reason]float64) reason {
	var best reason
	for why, worth := range by {
		if best == "" || worth > by[best] || (worth == by[best] && why < best) {
			best = why
		}
	}
	return best
}
