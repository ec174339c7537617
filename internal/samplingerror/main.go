// Command samplingerror compares methods of sampling load reports on the same random stream, for docs/intake.md: the
// error of each endpoint's estimated attempts against the fraction of report lines that are kept. It is a development
// tool that is run by hand (go run ./internal/samplingerror DIR). It writes a table to standard output and a plot,
// intake-error.svg, to DIR.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const plotFile = "intake-error.svg"

// minPlotted replaces smaller errors in the plot, because its logarithmic scale cannot show 0.
const minPlotted = 1e-3

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: samplingerror DIR")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run measures all methods, prints the table and saves the plot in a directory.
func run(dir string) error {
	lines, truth := drawStream(1)
	kept := []float64{1, 0.5, 0.2, 0.1, 0.05, 0.02}
	var curves []curve
	for _, m := range methods {
		curves = append(curves, measure(m, lines, truth, kept))
	}
	curves = append(curves, uniformBound(lines, kept))
	printTable(len(lines), kept, curves)
	return savePlot(filepath.Join(dir, plotFile), kept, curves)
}

// curve is the error of one method at each kept fraction.
type curve struct {
	name   string
	points []relativeError
}

// measure returns the error of a method at each kept fraction. All methods use the same random seeds.
func measure(m method, lines []line, truth [][]float64, kept []float64) curve {
	c := curve{name: m.name}
	for i, fraction := range kept {
		estimate := m.estimate(lines, fraction, rand.New(rand.NewPCG(2, uint64(i))))
		c.points = append(c.points, compare(estimate, truth))
	}
	return c
}

// uniformBound returns the theoretical error of a uniform sample at each kept fraction. Its bias is 0.
func uniformBound(lines []line, kept []float64) curve {
	c := curve{name: "bound of a uniform sample"}
	for _, fraction := range kept {
		c.points = append(c.points, relativeError{rms: uniformSampleError(lines, fraction)})
	}
	return c
}

// printTable prints the curves as a Markdown table: the root mean square error, and the bias in parentheses. The
// argument lines is the number of lines of the whole stream.
func printTable(lines int, kept []float64, curves []curve) {
	fmt.Printf("%d lines a second, %d senders, %d endpoints\n\n| method |", lines/seconds, senders, endpoints)
	for _, fraction := range kept {
		fmt.Printf(" %g |", fraction)
	}
	fmt.Println()
	for _, c := range curves {
		fmt.Printf("| %s |", c.name)
		for _, point := range c.points {
			fmt.Printf(" %.3f (%+.3f) |", point.rms, point.bias)
		}
		fmt.Println()
	}
}

// savePlot writes the curves as a plot with logarithmic axes.
func savePlot(path string, kept []float64, curves []curve) error {
	p := plot.New()
	p.Title.Text = "Error of an endpoint's tries in a second"
	p.X.Label.Text = "part of the lines kept"
	p.Y.Label.Text = "root mean square of the relative error"
	p.X.Scale = plot.LogScale{}
	p.Y.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true

	var named []any // alternating names and points, as AddLinePoints expects
	for _, c := range curves {
		var points plotter.XYs
		for i, fraction := range kept {
			points = append(points, plotter.XY{X: fraction, Y: math.Max(c.points[i].rms, minPlotted)})
		}
		named = append(named, c.name, points)
	}
	if err := plotutil.AddLinePoints(p, named...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
