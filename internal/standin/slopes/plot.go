package slopes

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	// Registers the SVG format for plot.Save.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// writePlots writes one SVG for each metric of each series.
func writePlots(result Result, dir string) error {
	for _, s := range result.Series {
		for i, line := range s.Lines {
			name := fmt.Sprintf("%s-%s.svg", s.Name, line.Metric)
			if err := writePlot(s, i, filepath.Join(dir, name)); err != nil {
				return err
			}
		}
	}
	return nil
}

func writePlot(s Series, metric int, path string) error {
	line := s.Lines[metric]
	points := make(plotter.XYs, len(s.Points))
	for i, p := range s.Points {
		points[i].X = p.X
		points[i].Y = p.Metrics[metric].Value
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %.3g %s each, r2 %.3f", line.Metric, line.Slope, line.Unit, line.R2)
	p.X.Label.Text = s.Quantity
	p.Y.Label.Text = line.Unit
	p.X.Min, p.Y.Min = 0, 0
	fitted := plotter.NewFunction(func(x float64) float64 { return line.Intercept + line.Slope*x })
	p.Add(scatter, fitted, plotter.NewGrid())
	return p.Save(plotWidth, plotHeight, path)
}
