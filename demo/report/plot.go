package report

import (
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pollengauge.dev/demo/load"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	plotFormat = "svg"
	// smoothingBuckets is the number of buckets in the moving average; without it
	// the lines are too noisy to read.
	smoothingBuckets = 5
	// headroom is the height of the plot relative to the highest offered load.
	headroom  = 1.15
	lineWidth = vg.Length(1.5)
)

var markColor = color.Gray{Y: 130}

// Plot writes an SVG that shows the goodput of several systems under the same
// load. It also shows the offered load and the events of the first run. Only
// the classes that keep accepts are counted.
func Plot(w io.Writer, title string, runs []*Run, keep func(load.Class) bool) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "whole operations per second"
	p.Legend.Left = true
	top := 0.0
	for i, r := range runs {
		records := r.Evidence.recordsOf(keep)
		if i == 0 {
			offered := points(load.Offered(records, r.Timeline.Length))
			top = highest(offered) * headroom
			if err := addLine(p, "offered", offered, i); err != nil {
				return err
			}
		}
		goodput := points(load.Goodput(records, r.Timeline.Length))
		if err := addLine(p, r.System, goodput, i+1); err != nil {
			return err
		}
	}
	p.Y.Min, p.Y.Max = 0, top
	if err := addMarks(p, runs, top); err != nil {
		return err
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, plotFormat)
	if err != nil {
		return &PlotError{Err: err}
	}
	if _, err := writer.WriteTo(w); err != nil {
		return &WriteError{What: "plot", Err: err}
	}
	return nil
}

// recordsOf returns the records of the classes that keep accepts.
func (e Evidence) recordsOf(keep func(load.Class) bool) []load.Record {
	var kept []load.Record
	for _, r := range e.Records {
		if keep(e.Classes[r.Class]) {
			kept = append(kept, r)
		}
	}
	return kept
}

// points returns the moving average of a series; the window of each point ends
// at that point.
func points(series []load.Point) plotter.XYs {
	xys := make(plotter.XYs, len(series))
	sum := 0.0
	for i, point := range series {
		sum += point.PerSecond
		if i >= smoothingBuckets {
			sum -= series[i-smoothingBuckets].PerSecond
		}
		xys[i] = plotter.XY{X: point.At.Seconds(), Y: sum / float64(min(i+1, smoothingBuckets))}
	}
	return xys
}

func highest(xys plotter.XYs) float64 {
	top := 1.0
	for _, xy := range xys {
		top = max(top, xy.Y)
	}
	return top
}

func addLine(p *plot.Plot, name string, xys plotter.XYs, style int) error {
	line, err := plotter.NewLine(xys)
	if err != nil {
		return &PlotError{Err: err}
	}
	line.Color = plotutil.Color(style)
	line.Width = lineWidth
	line.Dashes = plotutil.Dashes(style)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// addMarks draws a vertical line at each event of the first run. The labels are
// staggered vertically so that adjacent ones don't overlap.
func addMarks(p *plot.Plot, runs []*Run, top float64) error {
	if len(runs) == 0 {
		return nil
	}
	const rows = 4
	const rowHeight = 0.05
	var labels plotter.XYLabels
	for i, mark := range runs[0].Marks {
		at := float64(mark.At) / float64(time.Second)
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return &PlotError{Err: err}
		}
		line.Color = markColor
		line.Dashes = []vg.Length{vg.Points(1), vg.Points(2)}
		p.Add(line)
		labels.XYs = append(labels.XYs, plotter.XY{X: at, Y: top * (1 - rowHeight*float64(i%rows+1))})
		labels.Labels = append(labels.Labels, mark.Label)
	}
	if len(labels.Labels) == 0 {
		return nil
	}
	texts, err := plotter.NewLabels(labels)
	if err != nil {
		return &PlotError{Err: err}
	}
	p.Add(texts)
	return nil
}
