package rehearsal

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"indigousher/brain"
	"indigousher/internal/audit"
	"indigousher/internal/day"
	"indigousher/internal/pilot"
)

// Column is one playing of a day under a name.
type Column struct {
	Name    string
	Outcome *Outcome
}

// Print writes verdicts and service of one or more playings as tables.
func Print(out io.Writer, d *day.Day, columns []Column) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nrule\tverdict\tlooked at\tnearest to the limit")
	for _, v := range columns[0].Outcome.Report.Verdicts {
		verdict := "kept"
		if !v.Kept() {
			verdict = "BROKEN"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.2f  %s\n", v.Rule, verdict, v.Checked, v.Part, v.Worst)
	}
	fmt.Fprint(w, "\nservice")
	for _, c := range columns {
		fmt.Fprintf(w, "\t%s", c.Name)
	}
	fmt.Fprintln(w)
	for i := range columns[0].Outcome.Report.Service.Windows {
		row(w, fmt.Sprintf("%3.0f to %3.0f s", float64(i)*audit.WindowMs/1000, float64(i+1)*audit.WindowMs/1000), columns,
			func(s *audit.Service) audit.Part {
				if i < len(s.Windows) {
					return s.Windows[i]
				}
				return audit.Part{}
			})
	}
	for i, k := range d.Kinds {
		row(w, k.Name, columns, func(s *audit.Service) audit.Part { return s.Kinds[i] })
	}
	row(w, "whole day", columns, func(s *audit.Service) audit.Part { return s.All })
	_ = w.Flush() // a terminal that has gone has no reader either
	for _, v := range columns[0].Outcome.Report.Verdicts {
		for _, b := range v.Breaches {
			fmt.Fprintf(out, "BROKEN %s: %.2fs %s %s\n", v.Rule, b.At/1000, b.Who, b.Text)
		}
	}
	s := columns[0].Outcome.Report.Service
	fmt.Fprintf(out, "%d done (%d late), %d denied, %d errored; at most %d lines in a channel, %d messages to a proxy\n",
		s.Done, s.Late, s.Denied, s.Errored, columns[0].Outcome.Most.MostLines, columns[0].Outcome.Most.MostMessages)
}

func row(w io.Writer, name string, columns []Column, part func(*audit.Service) audit.Part) {
	fmt.Fprint(w, name)
	for _, c := range columns {
		fmt.Fprintf(w, "\t%.3f", part(&c.Outcome.Report.Service).Share())
	}
	fmt.Fprintln(w)
}

// Baselines plays a day with standing tables only and with one even table for all proxies.
func Baselines(ctx context.Context, p Play) ([]Column, error) {
	standing, even := p, p
	standing.Bare = true
	even.Decide = func(int64, map[string]any) pilot.Decider { return &evenTable{listed: map[int]bool{}} }
	var columns []Column
	for _, c := range []struct {
		name string
		play Play
	}{{"standing tables", standing}, {"one even table", even}} {
		p.Say("baseline: %s", c.name)
		o, err := c.play.Run(ctx)
		if err != nil {
			return nil, fmt.Errorf("baseline %s: %w", c.name, err)
		}
		columns = append(columns, Column{c.name, o})
	}
	return columns, nil
}

// evenTable is a baseline: one table of all that is listed as ready, for all proxies, changed at once. It paces
// nothing and keeps no rule on purpose.
type evenTable struct{ listed map[int]bool }

// Handle follows the list.
func (t *evenTable) Handle(_ float64, notes []brain.Note) (orders []brain.Order) {
	for _, n := range notes {
		switch n := n.(type) {
		case brain.Listing:
			orders = append(orders, t.list(n)...)
		case brain.Joined:
			orders = append(orders, brain.Bind{Proxy: n.Proxy})
		}
	}
	return orders
}

func (t *evenTable) list(l brain.Listing) (orders []brain.Order) {
	named := map[int]bool{}
	for _, e := range l.Entries {
		named[e.Endpoint] = true
		if ready := e.Phase == brain.Ready; ready != t.listed[e.Endpoint] {
			t.listed[e.Endpoint] = ready
			orders = append(orders, brain.SetLine{Endpoint: e.Endpoint, Weight: map[bool]float64{true: 1}[ready]})
		}
	}
	if l.Mode != brain.Whole {
		return orders
	}
	for i, on := range t.listed {
		if on && !named[i] {
			t.listed[i] = false
			orders = append(orders, brain.SetLine{Endpoint: i})
		}
	}
	return orders
}
