package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Table holds results by cell and seed; nil where a run was left out.
type Table struct {
	Plan    *Plan
	Cells   []Cell
	Results [][]*Result
	LeftOut int // runs that the budget left out
	Reused  int // from the store
}

// values returns a metric's values of a cell, by seed, and whether each is there.
func (t *Table) values(cell int, m Metric) (v []float64, seeds []int) {
	for seed, r := range t.Results[cell] {
		if r != nil {
			v, seeds = append(v, m.Of(r)), append(seeds, seed)
		}
	}
	return v, seeds
}

// base returns the cell of the first policy with the same levels.
func (t *Table) base(cell int) int {
	return slices.IndexFunc(t.Cells, func(c Cell) bool {
		return c.Policy == t.Plan.Policies[0] && slices.Equal(c.Levels, t.Cells[cell].Levels)
	})
}

// Figure is a mean with half the width of its 95% confidence interval, by Student's t; 0 runs: there is none.
type Figure struct {
	Mean, HalfWidth float64
	Runs            int
}

// String shows a figure.
func (f Figure) String() string {
	switch {
	case f.Runs == 0:
		return "-"
	case f.HalfWidth == 0:
		return fmt.Sprintf("%.4g", f.Mean)
	}
	return fmt.Sprintf("%.4g ±%.2g", f.Mean, f.HalfWidth)
}

// newFigure reckons one from values.
func newFigure(v []float64) Figure {
	f := Figure{Runs: len(v)}
	if len(v) == 0 {
		return f
	}
	mean, sd := stat.MeanStdDev(v, nil)
	f.Mean = mean
	if len(v) > 1 && sd > 0 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(v) - 1)}.Quantile(0.975)
		f.HalfWidth = t * sd / math.Sqrt(float64(len(v)))
	}
	return f
}

// Figure returns a metric of a cell.
func (t *Table) Figure(cell int, m Metric) Figure {
	v, _ := t.values(cell, m)
	return newFigure(v)
}

// Difference returns a metric of a cell less that of the first policy at the same levels, seed by seed.
func (t *Table) Difference(cell int, m Metric) Figure {
	base := t.base(cell)
	if base < 0 || base == cell {
		return Figure{}
	}
	var diffs []float64
	for seed, r := range t.Results[cell] {
		if b := t.Results[base][seed]; r != nil && b != nil {
			diffs = append(diffs, m.Of(r)-m.Of(b))
		}
	}
	return newFigure(diffs)
}

// Print writes the table as text.
func (t *Table) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "policy\tlevels\truns")
	for _, m := range Metrics {
		fmt.Fprintf(w, "\t%s", m.Name)
	}
	fmt.Fprintf(w, "\tservice beside %s\n", t.Plan.Policies[0])
	for i, c := range t.Cells {
		v, _ := t.values(i, Metrics[0])
		fmt.Fprintf(w, "%s\t%s\t%d", c.Policy, t.Plan.Label(c.Levels), len(v))
		for _, m := range Metrics {
			fmt.Fprintf(w, "\t%s", t.Figure(i, m))
		}
		fmt.Fprintf(w, "\t%s\n", t.Difference(i, Metrics[0]))
	}
	if t.LeftOut > 0 {
		fmt.Fprintf(w, "%d runs were left out: the budget was spent\n", t.LeftOut)
	}
	for i, c := range t.Cells {
		for seed, r := range t.Results[i] {
			if r != nil && r.Broken > 0 && c.Policy == Planner {
				fmt.Fprintf(w, "BROKEN at %s, seed %d: %s\n", t.Plan.Label(c.Levels), seed+1, r.Text)
			}
		}
	}
	return w.Flush()
}
