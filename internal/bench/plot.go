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

// Plot writes a file with the first token's p50 and p95 by second. The file's
// ending chooses the format: svg, png or pdf.
func (r Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	median, high := bySecond(r.Generated.Series())
	if err := plotutil.AddLinePoints(p, "p50", median, "p95", high); err != nil {
		return errors.Wrap(err, "draw the plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write the plot")
}

// bySecond returns the first token's p50 and p95 of each second.
func bySecond(points []load.Point) (median, high plotter.XYs) {
	seconds := make(map[int][]time.Duration)
	for _, p := range points {
		second := int(p.At.Seconds())
		seconds[second] = append(seconds[second], p.FirstToken)
	}
	for second, values := range seconds {
		sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
		x := float64(second)
		median = append(median, plotter.XY{X: x, Y: quantile(values, 0.50)})
		high = append(high, plotter.XY{X: x, Y: quantile(values, 0.95)})
	}
	for _, line := range []plotter.XYs{median, high} {
		sort.Slice(line, func(i, j int) bool { return line[i].X < line[j].X })
	}
	return median, high
}

// quantile returns a quantile of sorted values in milliseconds.
func quantile(values []time.Duration, q float64) float64 {
	place := int(q * float64(len(values)-1))
	return float64(values[place]) / float64(time.Millisecond)
}
