package rehearsal

import (
	"fmt"
	"io"
	"text/tabwriter"

	"indigousher/internal/audit"
	"indigousher/internal/scenario"
)

// Column is the outcome of one run, shown as a column of the printed table.
type Column struct {
	Name    string // head of the column
	Outcome *Outcome
}

// printer writes formatted text. It ignores write errors, because a closed terminal leaves nobody to report them to.
type printer struct{ io.Writer }

func (p printer) printf(format string, args ...any) { _, _ = fmt.Fprintf(p, format, args...) }

// Print writes the verdicts, violations and totals of the first run, and a table with the service of all runs.
func Print(out io.Writer, s *scenario.Scenario, columns []Column) {
	first := columns[0].Outcome
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printVerdicts(printer{table}, first.Report)
	printService(printer{table}, s, columns)
	_ = table.Flush() // write errors are ignored, as in printer
	printViolations(printer{out}, first.Report)
	printTotals(printer{out}, first)
}

func printVerdicts(p printer, report *audit.Report) {
	p.printf("\nrule\tverdict\tchecked\tnearest to the limit\n")
	for i := range report.Verdicts {
		v := &report.Verdicts[i]
		verdict := "kept"
		if !v.Kept() {
			verdict = "BROKEN"
		}
		p.printf("%s\t%s\t%d\t%.2f  %s\n", v.Rule, verdict, v.Checked, v.LimitFraction, v.Worst)
	}
}

// printService writes the service of all runs: a row for each time window of the first run, for each request class, and
// for the whole run.
func printService(p printer, s *scenario.Scenario, columns []Column) {
	p.printf("\nservice")
	for _, c := range columns {
		p.printf("\t%s", c.Name)
	}
	p.printf("\n")
	for i := range columns[0].Outcome.Report.Service.Windows {
		from := float64(i) * audit.WindowMs / 1000
		to := float64(i+1) * audit.WindowMs / 1000
		printEarnings(p, fmt.Sprintf("%3.0f to %3.0f s", from, to), columns, func(s *audit.Service) audit.Earnings {
			if i < len(s.Windows) {
				return s.Windows[i]
			}
			return audit.Earnings{}
		})
	}
	for i, class := range s.Kinds {
		printEarnings(p, class.Name, columns, func(s *audit.Service) audit.Earnings { return s.Kinds[i] })
	}
	printEarnings(p, "whole run", columns, func(s *audit.Service) audit.Earnings { return s.All })
}

// printEarnings writes one row: the earned fraction of the priority weight for each run.
func printEarnings(p printer, name string, columns []Column, earnings func(*audit.Service) audit.Earnings) {
	p.printf("%s", name)
	for _, c := range columns {
		p.printf("\t%.3f", earnings(&c.Outcome.Report.Service).Share())
	}
	p.printf("\n")
}

func printViolations(p printer, report *audit.Report) {
	for i := range report.Verdicts {
		v := &report.Verdicts[i]
		for _, violation := range v.Violations {
			p.printf("BROKEN %s: %.2fs %s %s\n", v.Rule, violation.At/1000, violation.Who, violation.Text)
		}
	}
}

func printTotals(p printer, o *Outcome) {
	s := &o.Report.Service
	p.printf("%d succeeded (%d late), %d rejected, %d failed; at most %d lines in a channel, %d messages to a proxy\n",
		s.Succeeded, s.Late, s.Rejected, s.Failed, o.PilotMaxima.MaxLines, o.PilotMaxima.MaxMessages)
}
