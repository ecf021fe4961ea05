package experiment

import (
	"io"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of the plot.
const (
	plotWidth = 24 * vg.Centimeter
	// plotHeight is that of one rank.
	plotHeight = 8 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	// headroom is above the highest line, for the legend.
	headroom = 1.3
)

// WritePlot writes an SVG of the worth that was served over time: one part for
// each rank, one line for each variant, the mean of its plays.
func (r *Report) WritePlot(w io.Writer) error {
	ranks := r.ranks()
	if len(ranks) == 0 {
		return nil
	}
	canvas := vgsvg.New(plotWidth, plotHeight*vg.Length(len(ranks)))
	tiles := draw.Tiles{Rows: len(ranks), Cols: 1}
	whole := draw.New(canvas)
	for i, rank := range ranks {
		p, err := r.plotRank(rank)
		if err != nil {
			return &PlotError{Cause: err}
		}
		p.Draw(tiles.At(whole, 0, i))
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return &PlotError{Cause: err}
	}
	return nil
}

// ranks are those of the first play.
func (r *Report) ranks() []int {
	if len(r.Plays) == 0 {
		return nil
	}
	var ranks []int
	for _, s := range r.Plays[0].Result.Ranks {
		ranks = append(ranks, s.Rank)
	}
	return ranks
}

func (r *Report) plotRank(rank int) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Workload + ", rank " + strconv.Itoa(rank)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "worth served a second"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, v := range r.Variants {
		mean := r.meanSeries(v.Variant, rank)
		if len(mean) == 0 {
			continue
		}
		line, err := plotter.NewLine(mean)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		line.Width = lineWidth
		p.Add(line)
		p.Legend.Add(v.Variant, line)
	}
	p.Y.Max *= headroom
	return p, nil
}

// meanSeries is the mean of a variant's plays in each second.
func (r *Report) meanSeries(variant string, rank int) plotter.XYs {
	var mean plotter.XYs
	plays := r.of(variant)
	for _, p := range plays {
		for _, s := range p.Result.Ranks {
			if s.Rank != rank {
				continue
			}
			for second, worth := range s.PerSecond {
				if second == len(mean) {
					mean = append(mean, plotter.XY{X: float64(second)})
				}
				mean[second].Y += worth / float64(len(plays))
			}
		}
	}
	return mean
}
