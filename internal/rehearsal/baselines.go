package rehearsal

import (
	"context"
	"fmt"

	"indigousher/internal/baseline"
)

// Baselines runs a scenario under two simple policies for comparison: proxies that only use their static tables, and
// pilots that send every proxy the same table with even weights. It returns one column for each.
func Baselines(ctx context.Context, p Play) ([]Column, error) {
	evenTable, err := baseline.Lookup("even")
	if err != nil {
		return nil, err
	}
	static := p
	static.WithoutPilots = true
	even := p
	even.Decide = Decide(evenTable)
	var columns []Column
	for _, b := range []struct {
		name string
		play Play
	}{
		{"standing tables", static},
		{"one even table", even},
	} {
		p.Progress("baseline: %s", b.name)
		outcome, err := b.play.Run(ctx)
		if err != nil {
			return nil, fmt.Errorf("baseline %s: %w", b.name, err)
		}
		columns = append(columns, Column{Name: b.name, Outcome: outcome})
	}
	return columns, nil
}
