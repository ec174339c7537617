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

// Table holds the results of an experiment.
type Table struct {
	Plan    *Plan
	Cells   []Cell
	Results [][]*Result // by cell and repeat; nil where a run was left out
	LeftOut int         // runs that the budget did not allow
	Reused  int         // results from the store
}

func newTable(p *Plan) *Table {
	t := &Table{Plan: p, Cells: p.Cells()}
	t.Results = make([][]*Result, len(t.Cells))
	for i := range t.Results {
		t.Results[i] = make([]*Result, p.Repeats)
	}
	return t
}

// add sets a result, nil for a run that was left out.
func (t *Table) add(cell, repeat int, result *Result, reused bool) {
	t.Results[cell][repeat] = result
	if result == nil {
		t.LeftOut++
	} else if reused {
		t.Reused++
	}
}

// confidence is the quantile of Student's t for an interval of 95% on both sides.
const confidence = 0.975

// Figure is a mean with half the width of its 95% confidence interval, by Student's t. With 0 runs there is none.
type Figure struct {
	Mean      float64
	HalfWidth float64
	Runs      int
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

// newFigure returns the figure of some values.
func newFigure(values []float64) Figure {
	f := Figure{Runs: len(values)}
	if len(values) == 0 {
		return f
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	f.Mean = mean
	if len(values) > 1 && deviation > 0 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(confidence)
		f.HalfWidth = t * deviation / math.Sqrt(float64(len(values)))
	}
	return f
}

// Figure returns a metric of a cell.
func (t *Table) Figure(cell int, m Metric) Figure { return newFigure(t.values(cell, m)) }

// values returns a metric of a cell's results, by seed.
func (t *Table) values(cell int, m Metric) []float64 {
	var values []float64
	for _, r := range t.Results[cell] {
		if r != nil {
			values = append(values, m.Of(r))
		}
	}
	return values
}

// Difference returns a metric of a cell less that of the first policy at the same levels, paired by seed.
func (t *Table) Difference(cell int, m Metric) Figure {
	base := t.base(cell)
	if base < 0 || base == cell {
		return Figure{}
	}
	var differences []float64
	for seed, r := range t.Results[cell] {
		if b := t.Results[base][seed]; r != nil && b != nil {
			differences = append(differences, m.Of(r)-m.Of(b))
		}
	}
	return newFigure(differences)
}

// base returns the cell of the first policy at the same levels, -1 if there is none.
func (t *Table) base(cell int) int { return t.cell(t.Plan.Policies[0], t.Cells[cell].Levels) }

// cell returns the cell of a policy at some levels, -1 if there is none.
func (t *Table) cell(policy string, levels []float64) int {
	return slices.IndexFunc(t.Cells, func(c Cell) bool {
		return c.Policy == policy && slices.Equal(c.Levels, levels)
	})
}

// Print writes the table as text.
func (t *Table) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	// Errors of the writer show at the end, in Flush.
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	printf("policy\tlevels\truns")
	for _, m := range Metrics {
		printf("\t%s", m.Name)
	}
	printf("\tservice beside %s\n", t.Plan.Policies[0])
	for i, c := range t.Cells {
		printf("%s\t%s\t%d", c.Policy, t.Plan.Label(c.Levels), len(t.values(i, Metrics[0])))
		for _, m := range Metrics {
			printf("\t%s", t.Figure(i, m))
		}
		printf("\t%s\n", t.Difference(i, Metrics[0]))
	}
	if t.LeftOut > 0 {
		printf("%d runs were left out: the budget was spent\n", t.LeftOut)
	}
	t.printBroken(printf)
	return w.Flush()
}

// printBroken lists the runs of the planner in which a rule was broken.
func (t *Table) printBroken(printf func(format string, args ...any)) {
	for i, c := range t.Cells {
		if c.Policy != Planner {
			continue
		}
		for repeat, r := range t.Results[i] {
			if r != nil && r.Broken > 0 {
				printf("BROKEN at %s, seed %d: %s\n", t.Plan.Label(c.Levels), repeat+1, r.Text)
			}
		}
	}
}
