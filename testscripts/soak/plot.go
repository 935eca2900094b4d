package main

import (
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot, and the y coordinate of the topmost fault labels.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	faultY     = -2
)

// faultMark is the label of an injected fault.
type faultMark struct {
	at   time.Time
	name string
}

// writePlot writes an SVG plot of the attempts per second that were served, refused and
// failed, with the faults labelled below.
func (l *ledger) writePlot(path, title string, start time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "attempts a second"
	served, refused, failed := l.perSecond(start)
	if err := plotutil.AddLines(p, "served", served, "refused", refused, "failed", failed); err != nil {
		return err
	}
	marks := make(plotter.XYs, 0, len(l.faultMarks))
	names := make([]string, 0, len(l.faultMarks))
	for i, m := range l.faultMarks {
		marks = append(marks, plotter.XY{
			X: m.at.Sub(start).Seconds(),
			// Staggers neighbouring labels, so that they don't overlap.
			Y: faultY * float64(1+i%4),
		})
		names = append(names, m.name)
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    marks,
		Labels: names,
	})
	if err != nil {
		return err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Color = color.Gray{Y: 90}
		labels.TextStyle[i].Font.Size = vg.Points(6)
	}
	p.Add(labels)
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, path)
}

// perSecond counts the attempts by outcome and the second in which they were sent.
func (l *ledger) perSecond(start time.Time) (served, refused, failed plotter.XYs) {
	last := 0
	for _, a := range l.attempts {
		last = max(last, int(a.sentAt.Sub(start).Seconds()))
	}
	for second := range last + 1 {
		at := plotter.XY{X: float64(second)}
		served = append(served, at)
		refused = append(refused, at)
		failed = append(failed, at)
	}
	for _, a := range l.attempts {
		second := max(int(a.sentAt.Sub(start).Seconds()), 0)
		switch {
		case a.complete:
			served[second].Y++
		case a.reportedNotRun():
			refused[second].Y++
		case a.status != 404:
			failed[second].Y++
		}
	}
	return served, refused, failed
}
