package capacity

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot on the page.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// WritePlot draws the points of s and its fitted line, and writes them to an
// SVG file.
func WritePlot(s *Series, file string) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = s.XLabel
	p.Y.Label.Text = s.YLabel
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	pts := make(plotter.XYs, len(s.Points))
	for i, v := range s.Points {
		pts[i].X, pts[i].Y = v.X, v.Y
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return err
	}
	p.Add(dots, plotter.NewFunction(s.Fit.ValueAt))
	return p.Save(plotWidth, plotHeight, file)
}
