package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// reason is why an attempt lost worth.
type reason string

const (
	reasonLateAsExpected   reason = "first token late, as expected"
	reasonLateUnexpectedly reason = "first token late, expected on time"
	reasonLongPause        reason = "a pause too long"
)

// rowKey identifies a row of the table.
type rowKey struct {
	class  string
	reason reason
}

// rowTotal sums the losses of one row.
type rowTotal struct {
	attempts    int
	otherRegion int
	worth       float64
}

// summary holds the losses and the worth that all attempts could have earned.
type summary struct {
	rows         map[rowKey]rowTotal
	windows      map[int]map[reason]float64
	offeredWorth float64
	window       time.Duration
}

func summarize(attempts []attempt, classes []callClass, window time.Duration) summary {
	s := summary{
		rows:    make(map[rowKey]rowTotal),
		windows: make(map[int]map[reason]float64),
		window:  window,
	}
	for _, k := range classes {
		var classAttempts []attempt
		totalTokens := 0.0
		for _, a := range attempts {
			if k.matches(a) {
				classAttempts = append(classAttempts, a)
				totalTokens += a.weightedTokens()
			}
		}
		for _, a := range classAttempts {
			s.add(k, a, worthFactor(a.weightedTokens(), totalTokens/float64(len(classAttempts))))
		}
	}
	return s
}

func (s *summary) add(k callClass, a attempt, factor float64) {
	s.offeredWorth += factor * k.Worth
	why, worth := classifyLoss(k, a)
	if why == "" {
		return
	}
	row := s.rows[rowKey{
		class:  k.Name,
		reason: why,
	}]
	row.attempts++
	row.worth += factor * worth
	if a.otherRegion {
		row.otherRegion++
	}
	s.rows[rowKey{
		class:  k.Name,
		reason: why,
	}] = row
	index := int(a.arrived.seconds / s.window.Seconds())
	if s.windows[index] == nil {
		s.windows[index] = make(map[reason]float64)
	}
	s.windows[index][why] += factor * worth
}

// classifyLoss returns the reason for an attempt's loss and its amount; the reason is
// empty if nothing was lost.
func classifyLoss(k callClass, a attempt) (why reason, worth float64) {
	code := result.Code(a.ended.Code)
	switch {
	case code.Class() != result.ClassDone || code == result.FailurePassed:
		return reason(fmt.Sprintf("%d %s", a.ended.Code, codeMeaning(code))), k.Worth
	case a.ended.FirstMs > a.arrived.FirstInMs && a.expectedMs > a.arrived.FirstInMs:
		return reasonLateAsExpected, k.Worth - k.LateWorth
	case a.ended.FirstMs > a.arrived.FirstInMs:
		return reasonLateUnexpectedly, k.Worth - k.LateWorth
	case a.arrived.GapMs > 0 && a.ended.PauseMs > a.arrived.GapMs:
		return reasonLongPause, k.Worth - k.LateWorth
	default:
		return "", 0
	}
}

func codeMeaning(code result.Code) string {
	info, ok := result.Lookup(code)
	if !ok {
		return ""
	}
	return info.Meaning
}

func (s summary) print(w *strings.Builder) {
	fmt.Fprintf(w, "worth owed by the attempts seen: %.0f\n\n", s.offeredWorth)
	fmt.Fprintln(w, "| lost, per 1,000 owed | attempts | sent away | kind | reason |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	keys := make([]rowKey, 0, len(s.rows))
	for k := range s.rows {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, s.compare)
	for _, k := range keys {
		row := s.rows[k]
		fmt.Fprintf(w, "| %.1f | %d | %d | %s | %s |\n", 1000*row.worth/s.offeredWorth, row.attempts, row.otherRegion, k.class, k.reason)
	}
	s.printWindows(w)
}

// compare orders rows by descending loss, then by name.
func (s summary) compare(a, b rowKey) int {
	return cmp.Or(
		cmp.Compare(s.rows[b].worth, s.rows[a].worth),
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.reason, b.reason),
	)
}

// maxWindowsShown bounds the list of time windows with the largest losses.
const maxWindowsShown = 12

func (s summary) printWindows(w *strings.Builder) {
	fmt.Fprintln(w, "\n| from second | lost, per 1,000 owed | most for |")
	fmt.Fprintln(w, "| --- | --- | --- |")
	indexes := make([]int, 0, len(s.windows))
	for m := range s.windows {
		indexes = append(indexes, m)
	}
	slices.SortFunc(indexes, func(a, b int) int { return cmp.Compare(sumLosses(s.windows[b]), sumLosses(s.windows[a])) })
	for _, m := range indexes[:min(len(indexes), maxWindowsShown)] {
		fmt.Fprintf(w, "| %.0f | %.1f | %s |\n", float64(m)*s.window.Seconds(), 1000*sumLosses(s.windows[m])/s.offeredWorth, largestLoss(s.windows[m]))
	}
}

func sumLosses(losses map[reason]float64) float64 {
	sum := 0.0
	for _, worth := range losses {
		sum += worth
	}
	return sum
}

func largestLoss(losses map[reason]float64) reason {
	var best reason
	for why, worth := range losses {
		if best == "" || worth > losses[best] || (worth == losses[best] && why < best) {
			best = why
		}
	}
	return best
}
