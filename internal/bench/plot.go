package bench

import (
	"sort"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot writes a plot of the p50 and p95 of the time to the first token, by second.
// The extension of the file selects the format: svg, png or pdf.
func (r Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	p50, p95 := bySecond(r.Generated.Series())
	if err := plotutil.AddLinePoints(p, "p50", p50, "p95", p95); err != nil {
		return errors.Wrap(err, "draw the plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write the plot")
}

// bySecond returns the p50 and p95 of the time to the first token, by the second
// in which the response ended.
func bySecond(points []load.Point) (p50, p95 plotter.XYs) {
	seconds := make(map[int][]time.Duration)
	for _, p := range points {
		second := int(p.At.Seconds())
		seconds[second] = append(seconds[second], p.FirstToken)
	}
	for second, values := range seconds {
		sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
		x := float64(second)
		p50 = append(p50, plotter.XY{X: x, Y: quantile(values, 0.50)})
		p95 = append(p95, plotter.XY{X: x, Y: quantile(values, 0.95)})
	}
	for _, line := range []plotter.XYs{p50, p95} {
		sort.Slice(line, func(i, j int) bool { return line[i].X < line[j].X })
	}
	return p50, p95
}

// quantile returns the quantile q of sorted values, in milliseconds.
func quantile(values []time.Duration, q float64) float64 {
	index := int(q * float64(len(values)-1))
	return float64(values[index]) / float64(time.Millisecond)
}
