// Package capacity fits lines to measurements of resource use at several sizes,
// extrapolates them to the target size of a deployment, and writes the plots
// and tables of docs/CAPACITY.md.
package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a quantity measured at several sizes.
type Series struct {
	Name    string  `json:"name"`    // also the plot's file name, without extension
	Title   string  `json:"title"`   // what was measured
	XLabel  string  `json:"x_label"` // size, with unit
	YLabel  string  `json:"y_label"` // quantity, with unit
	Command string  `json:"command"` // that produced the measurements
	Points  []Point `json:"points"`
	Fit     Fit     `json:"fit"`
}

// maxY returns the largest Y of the points.
func (s *Series) maxY() float64 {
	y := s.Points[0].Y
	for _, p := range s.Points {
		y = max(y, p.Y)
	}
	return y
}

// Fit is the straight line fitted to a series.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root mean square distance of the points from the line,
	// in the unit of Y.
	Residual float64 `json:"residual"`
}

// minPoints is the smallest number of points to which a line is fitted.
const minPoints = 4

// FitLine fits a straight line to points by least squares. It returns false if
// there are fewer than minPoints.
func FitLine(points []Point) (Fit, bool) {
	if len(points) < minPoints {
		return Fit{}, false
	}
	xs, ys := coordinates(points)
	a, b := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Intercept: a, Slope: b}
	f.Residual = f.rmsResidual(points)
	return f, true
}

func coordinates(points []Point) (xs, ys []float64) {
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	return xs, ys
}

// rmsResidual returns the root mean square distance of the points from the
// line.
func (f Fit) rmsResidual(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		d := p.Y - f.ValueAt(p.X)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(points)))
}

// ValueAt returns the line's value at x.
func (f Fit) ValueAt(x float64) float64 { return f.Intercept + f.Slope*x }

// Results is the machine-readable outcome of one run of measurements.
type Results struct {
	Machine string   `json:"machine"` // number of processors and Go version
	Series  []Series `json:"series"`
}

// Find returns the series with the given name, or nil.
func (r *Results) Find(name string) *Series {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i]
		}
	}
	return nil
}
