package rehearsal

import (
	"context"
	"fmt"

	"indigousher/internal/baseline"
)

// Baselines plays a scenario with static tables only and with one even table for all proxies, to compare with.
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
