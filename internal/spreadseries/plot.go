package spreadseries

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Line colours of runs with and without load spreading.
var (
	colourSpread = color.RGBA{R: 20, G: 110, B: 60, A: 255}
	colourOff    = color.RGBA{R: 180, G: 60, B: 40, A: 255}
)

// Plot draws the coefficient of variation of the machines' shares over time, with one line for each run,
// into a file. The extension of its name selects the format.
func Plot(path, title string, all []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "coefficient of variation of shares"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	inLegend := map[bool]bool{}
	for _, series := range all {
		line, err := plotter.NewLine(points(series))
		if err != nil {
			return fmt.Errorf("plot %s: %w", series.Run, err)
		}
		name := "off"
		line.Color = colourOff
		if series.Spread {
			name, line.Color = "on", colourSpread
		}
		p.Add(line)
		if !inLegend[series.Spread] {
			inLegend[series.Spread] = true
			p.Legend.Add(name, line)
		}
	}
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func points(series Series) plotter.XYs {
	xys := make(plotter.XYs, 0, len(series.Samples))
	for _, sample := range series.Samples {
		xys = append(xys, plotter.XY{X: sample.AtS, Y: sample.Variation})
	}
	return xys
}
