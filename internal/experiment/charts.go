package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"indigousher/internal/audit"
)

// chart is a rendered plot with its title.
type chart struct {
	Title string
	SVG   template.HTML
}

// logScaleFrom is the smallest ratio of the last to the first level of a factor at which its axis is logarithmic.
const logScaleFrom = 10

// charts draws all charts of the report: each metric that varies against the first factor and, for each combination of
// levels, service over time, latency over quantiles and load over endpoints.
func (t *Table) charts() ([]chart, error) {
	list, err := t.factorCharts()
	if err != nil {
		return nil, err
	}
	for _, c := range t.Cells {
		if c.Policy != t.Plan.Policies[0] {
			continue
		}
		for _, draw := range []func([]float64) (chart, error){t.byTime, t.byQuantile, t.byEndpoint} {
			drawn, err := draw(c.Levels)
			if err != nil {
				return nil, err
			}
			list = append(list, drawn)
		}
	}
	return list, nil
}

// factorCharts draws each metric that is not the same everywhere against the first factor. It returns nil if there are
// no factors or the first has only one level.
func (t *Table) factorCharts() ([]chart, error) {
	if len(t.Plan.Factors) == 0 || len(t.Plan.Factors[0].Levels) < 2 {
		return nil, nil
	}
	var list []chart
	for _, m := range Metrics {
		drawn, differs, err := t.factorChart(m)
		if err != nil {
			return nil, err
		}
		if differs {
			list = append(list, drawn)
		}
	}
	return list, nil
}

// factorChart draws a metric against the first factor, one line for each policy, with all other factors at their first
// levels. It also returns whether the points differ in their values.
func (t *Table) factorChart(m Metric) (drawn chart, differs bool, err error) {
	factor := t.Plan.Factors[0]
	p := plot.New()
	p.X.Label.Text = factor.Name
	p.Y.Label.Text = m.Name
	first := factor.Levels[0]
	last := factor.Levels[len(factor.Levels)-1]
	if first > 0 && last/first >= logScaleFrom {
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	var all plotter.XYs
	for number, policy := range t.Plan.Policies {
		points, bars := t.factorLine(policy, m)
		if len(points) == 0 {
			continue
		}
		all = append(all, points...)
		if err := addLine(p, number, policy, points, bars); err != nil {
			return chart{}, false, err
		}
	}
	for _, point := range all {
		differs = differs || point.Y != all[0].Y
	}
	svg, err := render(p)
	return chart{Title: m.Name + " against " + factor.Name, SVG: svg}, differs, err
}

// factorLine returns the means of a metric against the first factor for a policy, with error bars that show their
// confidence intervals. Cells without results are skipped.
func (t *Table) factorLine(policy string, m Metric) (plotter.XYs, plotter.YErrors) {
	var points plotter.XYs
	var bars plotter.YErrors
	for i, c := range t.Cells {
		if c.Policy != policy || !t.othersAtFirstLevel(c.Levels) {
			continue
		}
		figure := t.Figure(i, m)
		if figure.Runs == 0 {
			continue
		}
		points = append(points, plotter.XY{X: c.Levels[0], Y: figure.Mean})
		bars = append(bars, struct{ Low, High float64 }{figure.HalfWidth, figure.HalfWidth})
	}
	return points, bars
}

// othersAtFirstLevel returns whether all factors except the first are at their first levels.
func (t *Table) othersAtFirstLevel(levels []float64) bool {
	for i, factor := range t.Plan.Factors[1:] {
		if levels[i+1] != factor.Levels[0] {
			return false
		}
	}
	return true
}

// addLine adds a line with a dot at each point to a plot, and error bars unless bars is nil. The number selects the
// colour.
func addLine(p *plot.Plot, number int, name string, points plotter.XYs, bars plotter.YErrors) error {
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("draw %s: %w", name, err)
	}
	line.Color = plotutil.Color(number)
	dots.Color = plotutil.Color(number)
	dots.Shape = draw.CircleGlyph{}
	p.Add(line, dots)
	if bars != nil {
		errorBars, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{points, bars})
		if err != nil {
			return fmt.Errorf("draw %s: %w", name, err)
		}
		errorBars.Color = plotutil.Color(number)
		p.Add(errorBars)
	}
	p.Legend.Add(name, line)
	return nil
}

// byTime draws the service of each policy over time (s), at a combination of levels.
func (t *Table) byTime(levels []float64) (chart, error) {
	p := plot.New()
	p.X.Label.Text = "s"
	p.Y.Label.Text = "service"
	p.Y.Min = 0
	p.Y.Max = 1
	return t.curves(p, "service by time: "+t.Plan.Label(levels), levels, func(r *Result) plotter.XYs {
		var points plotter.XYs
		for i, w := range r.Windows {
			points = append(points, plotter.XY{X: (float64(i) + 0.5) * audit.WindowMs / 1000, Y: w})
		}
		return points
	})
}

// byQuantile draws the latency (ms) of each policy over its quantiles q, at a combination of levels. The horizontal
// axis is -log10(1-q), which spreads out the highest quantiles.
func (t *Table) byQuantile(levels []float64) (chart, error) {
	p := plot.New()
	p.X.Label.Text = "nines of the quantile"
	p.Y.Label.Text = "ms"
	return t.curves(p, "latency by quantile: "+t.Plan.Label(levels), levels, func(r *Result) plotter.XYs {
		var points plotter.XYs
		for i, v := range r.Quantiles {
			points = append(points, plotter.XY{X: -math.Log10(1 - quantiles[i]), Y: v})
		}
		return points
	})
}

// byEndpoint draws the loads of the endpoints (busy fractions) for each policy in ascending order, at a combination of
// levels.
func (t *Table) byEndpoint(levels []float64) (chart, error) {
	p := plot.New()
	p.X.Label.Text = "part of the endpoints"
	p.Y.Label.Text = "busy part of their cores"
	return t.curves(p, "load by endpoint: "+t.Plan.Label(levels), levels, func(r *Result) plotter.XYs {
		var points plotter.XYs
		for i, v := range r.Loads {
			points = append(points, plotter.XY{X: float64(i) / loadSteps, Y: v})
		}
		return points
	})
}

// curves draws the mean curve of each policy's runs at a combination of levels. The function of returns the curve of
// one run.
func (t *Table) curves(p *plot.Plot, title string, levels []float64, of func(*Result) plotter.XYs) (chart, error) {
	for number, policy := range t.Plan.Policies {
		points := meanCurve(t.Results[t.cellIndex(policy, levels)], of)
		if len(points) == 0 {
			continue
		}
		if err := addLine(p, number, policy, points, nil); err != nil {
			return chart{}, err
		}
	}
	svg, err := render(p)
	return chart{Title: title, SVG: svg}, err
}

// meanCurve returns the point-wise mean of the curves of some results. Nil results, from runs that were left out, are
// skipped.
func meanCurve(results []*Result, of func(*Result) plotter.XYs) plotter.XYs {
	var mean plotter.XYs
	runs := 0.0
	for _, r := range results {
		if r == nil {
			continue
		}
		runs++
		for i, point := range of(r) {
			if i == len(mean) {
				mean = append(mean, plotter.XY{X: point.X})
			}
			mean[i].Y += point.Y
		}
	}
	for i := range mean {
		mean[i].Y /= runs
	}
	return mean
}

// Size of a chart in the report.
const (
	chartWidth  = 20 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// render returns a plot as an SVG element that can be embedded in an HTML page.
func render(p *plot.Plot) (template.HTML, error) {
	p.BackgroundColor = color.White
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("draw: %w", err)
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // the XML declaration is only valid in a separate file
		text = text[i:]
	}
	return template.HTML(text), nil // safe: the plotting library generated it
}
