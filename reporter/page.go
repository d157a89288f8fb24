package reporter

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Size of a chart in pixels.
const (
	chartWidth  = 1000
	chartHeight = 320
)

// page is the data of the template.
type page struct {
	Report *Report
	Until  string
	Lag    time.Duration
	Levels []levelSection
}

type levelSection struct {
	Level Level
	Lines []*Line
	Chart template.HTML
}

// WriteHTML writes a report as one self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	p := page{Report: r, Until: r.until.Format(time.RFC3339), Lag: Lag}
	for _, l := range r.lines {
		last := len(p.Levels) - 1
		if last < 0 || p.Levels[last].Level.name != l.level.name {
			svg, err := drawTrends(r.trends[l.level.name])
			if err != nil {
				return fmt.Errorf("draw burn of level %q: %w", l.level.name, err)
			}
			p.Levels = append(p.Levels, levelSection{Level: l.level, Chart: svg})
			last++
		}
		p.Levels[last].Lines = append(p.Levels[last].Lines, l)
	}
	return wrapWrite(pageTemplate.Execute(w, p))
}

// drawTrends returns an inline SVG chart. Its text contains only names that match
// validName, so it needs no escaping.
func drawTrends(trends []*Trend) (template.HTML, error) {
	graph := chart.Chart{
		Width:      chartWidth,
		Height:     chartHeight,
		Background: chart.Style{Padding: chart.Box{Top: 20, Left: 160, Right: 20, Bottom: 10}},
		XAxis:      chart.XAxis{ValueFormatter: chart.TimeValueFormatterWithFormat("01-02 15:04")},
		YAxis:      chart.YAxis{Name: "burn rate", Range: &chart.ContinuousRange{Min: 0, Max: maxBurn(trends)}},
	}
	for _, t := range trends {
		graph.Series = append(graph.Series, newTimeSeries(t))
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	var buffer bytes.Buffer
	if err := graph.Render(chart.SVG, &buffer); err != nil {
		return "", fmt.Errorf("render chart: %w", err)
	}
	return template.HTML(buffer.String()), nil
}

func newTimeSeries(t *Trend) chart.TimeSeries {
	s := chart.TimeSeries{Name: t.scope.String()}
	for _, p := range t.points {
		s.XValues = append(s.XValues, p.at)
		s.YValues = append(s.YValues, p.Burn())
	}
	return s
}

// maxBurn returns the maximum of the burn rate axis. It is above 1, the rate that
// uses up the budget exactly, so that small rates look small.
func maxBurn(trends []*Trend) float64 {
	top := 1.0
	for _, t := range trends {
		for _, p := range t.points {
			top = max(top, p.Burn())
		}
	}
	return top * 1.05
}
