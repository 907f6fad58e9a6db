package mangobench

import (
	"fmt"
	"io"
	"strings"
)

const (
	plotWidth, plotHeight, plotMargin = 520, 320, 50 // pixels
	// maxPlotLoad and maxPlotGoodput are the ends of the axes, as ratios to the throughput bound.
	maxPlotLoad, maxPlotGoodput = 2.2, 1.2
)

// series holds the measurements of one router on one deployment, which are plotted as one line.
type series struct {
	name   string
	points []Row
}

// WritePlot writes an SVG plot of goodput over offered load, both as ratios to the throughput bound.
func WritePlot(w io.Writer, rows []Row) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth+200, plotHeight)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	writeAxes(&b)
	for i, s := range groupSeries(rows) {
		writeSeries(&b, i, s)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// plotX returns the horizontal position of a load in pixels.
func plotX(load float64) float64 { return plotMargin + load/maxPlotLoad*(plotWidth-2*plotMargin) }

// plotY returns the vertical position of a goodput in pixels.
func plotY(goodput float64) float64 {
	return plotHeight - plotMargin - goodput/maxPlotGoodput*(plotHeight-2*plotMargin)
}

func writeAxes(b *strings.Builder) {
	for i := range 5 {
		load, goodput := float64(i)*0.5, float64(i)*0.25
		fmt.Fprintf(b, `<line x1="%.0f" y1="%.0f" x2="%.0f" y2="%.0f" stroke="#ddd"/>`+"\n", plotX(0), plotY(goodput), plotX(maxPlotLoad), plotY(goodput))
		fmt.Fprintf(b, `<text x="%.0f" y="%.0f" text-anchor="end">%.2f</text>`+"\n", plotX(0)-6, plotY(goodput)+4, goodput)
		fmt.Fprintf(b, `<text x="%.0f" y="%.0f" text-anchor="middle">%.1f</text>`+"\n", plotX(load), plotY(0)+16, load)
	}
	fmt.Fprintf(b, `<text x="%.0f" y="%.0f" text-anchor="middle">offered load / bound</text>`+"\n", plotX(maxPlotLoad/2), plotY(0)+34)
	fmt.Fprintf(b, `<text x="%.0f" y="%.0f">goodput / bound</text>`+"\n", plotX(0)-30, plotY(maxPlotGoodput)-8)
}

func writeSeries(b *strings.Builder, i int, s series) {
	colours := [...]string{"#0057b8", "#c0392b", "#2e8b57", "#b8860b"}
	colour := colours[i%len(colours)]
	var points []string
	for _, p := range s.points {
		points = append(points, fmt.Sprintf("%.1f,%.1f", plotX(p.Multiple), plotY(p.Goodput)))
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>`+"\n", plotX(p.Multiple), plotY(p.Goodput), colour)
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="%s"/>`+"\n", strings.Join(points, " "), colour)
	fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotWidth-20, plotMargin+16*i, colour, s.name)
}

// groupSeries groups the rows by deployment and router, in the order of their first appearance.
func groupSeries(rows []Row) []series {
	var all []series
	index := map[string]int{}
	for _, r := range rows {
		name := r.Deployment + " " + r.Router
		if _, ok := index[name]; !ok {
			index[name] = len(all)
			all = append(all, series{name: name})
		}
		s := &all[index[name]]
		s.points = append(s.points, r)
	}
	return all
}
