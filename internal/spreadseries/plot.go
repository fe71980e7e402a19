package spreadseries

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// The colours of runs with and without load spreading.
var (
	colourSpread = color.RGBA{R: 20, G: 110, B: 60, A: 255}
	colourOff    = color.RGBA{R: 180, G: 60, B: 40, A: 255}
)

// Plot draws the coefficient of variation of all courses over time into a file, whose name tells its
// format.
func Plot(path, title string, courses []Course) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "coefficient of variation of shares"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	named := map[bool]bool{}
	for _, c := range courses {
		line, err := plotter.NewLine(points(c))
		if err != nil {
			return fmt.Errorf("plot %s: %w", c.Run, err)
		}
		name := "off"
		line.Color = colourOff
		if c.Spread {
			name, line.Color = "on", colourSpread
		}
		p.Add(line)
		if !named[c.Spread] {
			named[c.Spread] = true
			p.Legend.Add(name, line)
		}
	}
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func points(c Course) plotter.XYs {
	xys := make(plotter.XYs, 0, len(c.Moments))
	for _, m := range c.Moments {
		xys = append(xys, plotter.XY{X: m.AtS, Y: m.Variation})
	}
	return xys
}
