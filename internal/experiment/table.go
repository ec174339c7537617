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
	Results [][]*Result // by cell and repeat; nil if the run was left out
	LeftOut int         // number of runs that did not finish within the budget or were cancelled
	Reused  int         // number of results that were taken from the store
}

func newTable(p *Plan) *Table {
	t := &Table{Plan: p, Cells: p.Cells()}
	t.Results = make([][]*Result, len(t.Cells))
	for i := range t.Results {
		t.Results[i] = make([]*Result, p.Repeats)
	}
	return t
}

// add sets the result of a cell and repeat and counts it. The result is nil if the run was left out.
func (t *Table) add(cell, repeat int, result *Result, reused bool) {
	t.Results[cell][repeat] = result
	if result == nil {
		t.LeftOut++
	} else if reused {
		t.Reused++
	}
}

// confidenceQuantile is the quantile of Student's t distribution that gives a two-sided 95% confidence interval.
const confidenceQuantile = 0.975

// Figure is the mean of a metric over some runs, with its 95% confidence interval by Student's t distribution.
type Figure struct {
	Mean      float64
	HalfWidth float64 // half the width of the confidence interval; 0 with fewer than two runs or equal values
	Runs      int     // number of runs; 0 means that there is no mean
}

// String returns the mean, followed by ± and the half-width if that is not 0. Without runs it returns "-".
func (f Figure) String() string {
	switch {
	case f.Runs == 0:
		return "-"
	case f.HalfWidth == 0:
		return fmt.Sprintf("%.4g", f.Mean)
	}
	return fmt.Sprintf("%.4g ±%.2g", f.Mean, f.HalfWidth)
}

// newFigure returns the mean of some values with its confidence interval.
func newFigure(values []float64) Figure {
	f := Figure{Runs: len(values)}
	if len(values) == 0 {
		return f
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	f.Mean = mean
	if len(values) > 1 && deviation > 0 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(confidenceQuantile)
		f.HalfWidth = t * deviation / math.Sqrt(float64(len(values)))
	}
	return f
}

// Figure returns the mean of a metric over the runs of a cell, which is given by its index in Cells.
func (t *Table) Figure(cell int, m Metric) Figure { return newFigure(t.values(cell, m)) }

// values returns the metric of each run of a cell, in the order of the seeds. Runs that were left out are skipped.
func (t *Table) values(cell int, m Metric) []float64 {
	var values []float64
	for _, r := range t.Results[cell] {
		if r != nil {
			values = append(values, m.Of(r))
		}
	}
	return values
}

// Difference returns the mean difference of a metric between a cell and the cell of the first policy at the same
// levels, paired by seed. For cells of the first policy it returns an empty figure.
func (t *Table) Difference(cell int, m Metric) Figure {
	base := t.baselineCell(cell)
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

// baselineCell returns the index of the cell of the first policy at the same levels as a cell, or -1 if there is none.
func (t *Table) baselineCell(cell int) int {
	return t.cellIndex(t.Plan.Policies[0], t.Cells[cell].Levels)
}

// cellIndex returns the index of the cell of a policy at a combination of levels, or -1 if there is none.
func (t *Table) cellIndex(policy string, levels []float64) int {
	return slices.IndexFunc(t.Cells, func(c Cell) bool {
		return c.Policy == policy && slices.Equal(c.Levels, levels)
	})
}

// Print writes the table as aligned text, followed by the planner's runs in which a rule was violated.
func (t *Table) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	// Write errors are ignored here, because Flush returns them.
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

// printBroken lists the planner's runs in which a rule was violated, with their first violations.
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
