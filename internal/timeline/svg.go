package timeline

import (
	"fmt"
	"html"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Sizes of the picture, in pixels.
const (
	width, panelHeight = 800, 160
	marginLeft         = 60
	marginTop          = 34
)

// colours are those of the lines of a panel, in their order.
var colours = []string{"#1b6ca8", "#c8553d", "#7a7a7a"}

// line is a line of a panel.
type line struct {
	name   string
	values []int
}

// WriteSVG draws the timeline: a panel with the groups of each model, and one with
// the requests a second.
func (t Timeline) WriteSVG(w io.Writer) error {
	var b strings.Builder
	panels := len(t.Models) + 1
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		width, panels*(panelHeight+marginTop)+marginTop)
	for i, model := range t.Models {
		serving, forming, ending := t.series(func(p Point) int { return p.Groups[model].Serving }),
			t.series(func(p Point) int { return p.Groups[model].Forming }),
			t.series(func(p Point) int { return p.Groups[model].Ending })
		t.drawPanel(&b, i, "groups of model "+model, []line{{"serving", serving}, {"ending", ending}, {"forming", forming}})
	}
	t.drawPanel(&b, len(t.Models), "requests a second", []line{
		{"served", t.series(func(p Point) int { return p.Served })},
		{"rejected (503)", t.series(func(p Point) int { return p.Rejected })},
		{"failed", t.series(func(p Point) int { return p.Failed })},
	})
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write the picture")
}

func (t Timeline) series(value func(Point) int) []int {
	values := make([]int, 0, len(t.Points))
	for _, p := range t.Points {
		values = append(values, value(p))
	}
	return values
}

// drawPanel draws lines over the seconds since the first point.
func (t Timeline) drawPanel(b *strings.Builder, index int, title string, lines []line) {
	top := index*(panelHeight+marginTop) + marginTop
	highest := 1
	for _, l := range lines {
		for _, v := range l.values {
			highest = max(highest, v)
		}
	}
	x := func(i int) float64 {
		return marginLeft + float64(i)*(width-2*marginLeft)/float64(max(len(t.Points)-1, 1))
	}
	y := func(v int) float64 { return float64(top+panelHeight) - float64(v)*panelHeight/float64(highest) }
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", marginLeft, top-8, html.EscapeString(title))
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="black"/>`+"\n", marginLeft, top, top+panelHeight, width-marginLeft)
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%d</text>`+"\n", marginLeft-6, top+10, highest)
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%d s</text>`+"\n", width-marginLeft, top+panelHeight+14, max(len(t.Points)-1, 0))
	for i, l := range lines {
		var points []string
		for n, v := range l.values {
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(n), y(v)))
		}
		fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="1.5"/>`+"\n", strings.Join(points, " "), colours[i])
		fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", width-marginLeft-300+i*110, top-8, colours[i], html.EscapeString(l.name))
	}
}
