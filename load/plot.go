package load

import (
	"sort"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"rackspur/api"
)

// ErrPlot is returned when a plot can't be drawn.
var ErrPlot = eris.New("load: plot")

// Size of a plot and the largest ratio on it.
const (
	plotWidth    = 18 * vg.Centimeter
	plotHeight   = 11 * vg.Centimeter
	plotMaxRatio = 5.0
)

// WritePlot plots, for each kind, the cumulative distribution of response time
// divided by the ideal over complete submissions. The extension of the file, .png
// or .svg, selects the format.
func (r *Report) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = "Response time against the ideal: " + r.Scenario
	p.X.Label.Text = "response time / ideal"
	p.Y.Label.Text = "share of submissions"
	p.X.Min, p.X.Max = 1, plotMaxRatio
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = false
	p.Add(plotter.NewGrid())
	var lines []any
	for _, k := range r.Kinds {
		points := r.curve(k.Kind)
		if k.Kind != allKinds && len(points) > 0 {
			lines = append(lines, k.Kind, points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(ErrPlot, err.Error())
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return eris.Wrap(ErrPlot, err.Error())
	}
	return nil
}

// curve returns the cumulative distribution of a kind's ratios. Ratios above
// plotMaxRatio are clipped.
func (r *Report) curve(kind string) plotter.XYs {
	var ratios []float64
	for _, s := range r.samples {
		if s.kind == kind && s.outcome == string(api.Complete) {
			ratios = append(ratios, s.response.Seconds()/s.ideal.Seconds())
		}
	}
	sort.Float64s(ratios)
	points := make(plotter.XYs, len(ratios))
	for i, v := range ratios {
		points[i].X = min(v, plotMaxRatio)
		points[i].Y = float64(i+1) / float64(len(ratios))
	}
	return points
}
