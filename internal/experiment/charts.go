package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"indigousher/internal/audit"
)

type chart struct {
	Title string
	SVG   template.HTML
}

// charts draws each metric that differs against the first factor, and service by time at each level.
func (t *Table) charts() (list []chart, err error) {
	if len(t.Plan.Factors) > 0 && len(t.Plan.Factors[0].Levels) > 1 {
		for _, m := range Metrics {
			c, differs, err := t.against(m)
			if err != nil {
				return nil, err
			}
			if differs {
				list = append(list, c)
			}
		}
	}
	var combos [][]float64
	for _, c := range t.Cells {
		if c.Policy == t.Plan.Policies[0] {
			combos = append(combos, c.Levels)
		}
	}
	for _, levels := range combos {
		for _, draw := range []func([]float64) (chart, error){t.byTime, t.byQuantile, t.byEndpoint} {
			c, err := draw(levels)
			if err != nil {
				return nil, err
			}
			list = append(list, c)
		}
	}
	return list, nil
}

// against draws a metric against the first factor, one line for each policy at the first levels of the others.
func (t *Table) against(m Metric) (chart, bool, error) {
	p := plot.New()
	f := t.Plan.Factors[0]
	p.X.Label.Text, p.Y.Label.Text = f.Name, m.Name
	first, last := f.Levels[0], f.Levels[len(f.Levels)-1]
	if first > 0 && last/first >= 10 {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	differs := false
	var met []float64
	for n, policy := range t.Plan.Policies {
		var points plotter.XYs
		var bars plotter.YErrors
		for i, c := range t.Cells {
			if c.Policy != policy || !t.firstOfOthers(c.Levels) {
				continue
			}
			g := t.Figure(i, m)
			if g.Runs == 0 {
				continue
			}
			points = append(points, plotter.XY{X: c.Levels[0], Y: g.Mean})
			bars = append(bars, struct{ Low, High float64 }{g.HalfWidth, g.HalfWidth})
			met = append(met, g.Mean)
			differs = differs || g.Mean != met[0]
		}
		if len(points) == 0 {
			continue
		}
		if err := addLine(p, n, policy, points, bars); err != nil {
			return chart{}, false, err
		}
	}
	svg, err := render(p)
	return chart{m.Name + " against " + f.Name, svg}, differs, err
}

func (t *Table) firstOfOthers(levels []float64) bool {
	for i, f := range t.Plan.Factors[1:] {
		if levels[i+1] != f.Levels[0] {
			return false
		}
	}
	return true
}

func addLine(p *plot.Plot, n int, name string, points plotter.XYs, bars plotter.YErrors) error {
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("draw %s: %w", name, err)
	}
	line.Color, dots.Color, dots.Shape = plotutil.Color(n), plotutil.Color(n), draw.CircleGlyph{}
	p.Add(line, dots)
	if bars != nil {
		e, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{points, bars})
		if err != nil {
			return fmt.Errorf("draw %s: %w", name, err)
		}
		e.Color = plotutil.Color(n)
		p.Add(e)
	}
	p.Legend.Add(name, line)
	return nil
}

// byTime draws service by windows of time.
func (t *Table) byTime(levels []float64) (chart, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", "service"
	p.Y.Min, p.Y.Max = 0, 1
	return t.curves(p, "service by time: "+t.Plan.Label(levels), levels, func(r *Result) plotter.XYs {
		var points plotter.XYs
		for i, w := range r.Windows {
			points = append(points, plotter.XY{X: (float64(i) + 0.5) * audit.WindowMs / 1000, Y: w})
		}
		return points
	})
}

// byQuantile draws latency by quantile; the last steps are wide on a scale of what is left.
func (t *Table) byQuantile(levels []float64) (chart, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "nines of the quantile", "ms"
	return t.curves(p, "latency by quantile: "+t.Plan.Label(levels), levels, func(r *Result) plotter.XYs {
		var points plotter.XYs
		for i, v := range r.Quantiles {
			points = append(points, plotter.XY{X: -math.Log10(1 - quantiles[i]), Y: v})
		}
		return points
	})
}

// byEndpoint draws what endpoints carried, least first.
func (t *Table) byEndpoint(levels []float64) (chart, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "part of the endpoints", "busy part of their cores"
	return t.curves(p, "load by endpoint: "+t.Plan.Label(levels), levels, func(r *Result) plotter.XYs {
		var points plotter.XYs
		for i, v := range r.Loads {
			points = append(points, plotter.XY{X: float64(i) / 20, Y: v})
		}
		return points
	})
}

// curves draws the mean curve of each policy's runs.
func (t *Table) curves(p *plot.Plot, title string, levels []float64, of func(*Result) plotter.XYs) (chart, error) {
	for n, policy := range t.Plan.Policies {
		cell := slices.IndexFunc(t.Cells, func(c Cell) bool { return c.Policy == policy && slices.Equal(c.Levels, levels) })
		var sums plotter.XYs
		runs := 0.0
		for _, r := range t.Results[cell] {
			if r == nil {
				continue
			}
			runs++
			for i, xy := range of(r) {
				if i == len(sums) {
					sums = append(sums, plotter.XY{X: xy.X})
				}
				sums[i].Y += xy.Y
			}
		}
		for i := range sums {
			sums[i].Y /= runs
		}
		if len(sums) > 0 {
			if err := addLine(p, n, policy, sums, nil); err != nil {
				return chart{}, err
			}
		}
	}
	svg, err := render(p)
	return chart{title, svg}, err
}

func render(p *plot.Plot) (template.HTML, error) {
	p.BackgroundColor = color.White
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	c := vgsvg.New(20*vg.Centimeter, 10*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("draw: %w", err)
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // what comes before belongs to a file of its own
		text = text[i:]
	}
	return template.HTML(text), nil // made by the plotting library from our own labels
}
