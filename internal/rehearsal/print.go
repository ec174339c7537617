package rehearsal

import (
	"fmt"
	"io"
	"text/tabwriter"

	"indigousher/internal/audit"
	"indigousher/internal/scenario"
)

// Column is one playing of a day under a name.
type Column struct {
	Name    string
	Outcome *Outcome
}

// Print writes verdicts and service of one or more playings as tables.
func Print(out io.Writer, d *scenario.Scenario, columns []Column) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nrule\tverdict\tlooked at\tnearest to the limit")
	for _, v := range columns[0].Outcome.Report.Verdicts {
		verdict := "kept"
		if !v.Kept() {
			verdict = "BROKEN"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.2f  %s\n", v.Rule, verdict, v.Checked, v.LimitFraction, v.Worst)
	}
	fmt.Fprint(w, "\nservice")
	for _, c := range columns {
		fmt.Fprintf(w, "\t%s", c.Name)
	}
	fmt.Fprintln(w)
	for i := range columns[0].Outcome.Report.Service.Windows {
		printEarnings(w, fmt.Sprintf("%3.0f to %3.0f s", float64(i)*audit.WindowMs/1000, float64(i+1)*audit.WindowMs/1000), columns,
			func(s *audit.Service) audit.Earnings {
				if i < len(s.Windows) {
					return s.Windows[i]
				}
				return audit.Earnings{}
			})
	}
	for i, k := range d.Kinds {
		printEarnings(w, k.Name, columns, func(s *audit.Service) audit.Earnings { return s.Kinds[i] })
	}
	printEarnings(w, "whole day", columns, func(s *audit.Service) audit.Earnings { return s.All })
	_ = w.Flush() // a terminal that has gone has no reader either
	for _, v := range columns[0].Outcome.Report.Verdicts {
		for _, b := range v.Violations {
			fmt.Fprintf(out, "BROKEN %s: %.2fs %s %s\n", v.Rule, b.At/1000, b.Who, b.Text)
		}
	}
	s := columns[0].Outcome.Report.Service
	fmt.Fprintf(out, "%d done (%d late), %d denied, %d errored; at most %d lines in a channel, %d messages to a proxy\n",
		s.Done, s.Late, s.Denied, s.Errored, columns[0].Outcome.PilotMaxima.MostLines, columns[0].Outcome.PilotMaxima.MostMessages)
}

func printEarnings(w io.Writer, name string, columns []Column, part func(*audit.Service) audit.Earnings) {
	fmt.Fprint(w, name)
	for _, c := range columns {
		fmt.Fprintf(w, "\t%.3f", part(&c.Outcome.Report.Service).Share())
	}
	fmt.Fprintln(w)
}
