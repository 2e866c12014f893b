package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
)

// offsetErrorBars draws error bars with the horizontal offset of their bars.
type offsetErrorBars struct {
	*plotter.YErrorBars
	offset vg.Length
}

// Plot implements plot.Plotter.
func (s offsetErrorBars) Plot(c vgdraw.Canvas, p *plot.Plot) {
	c.Push()
	defer c.Pop()
	c.Translate(vg.Point{X: s.offset})
	s.YErrorBars.Plot(c, p)
}

// policyColour returns the colour of the i-th policy.
func policyColour(i int) color.Color { return plotutil.Color(i) }
