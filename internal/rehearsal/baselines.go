package rehearsal

import (
	"context"
	"fmt"

	"indigousher/internal/baseline"
)

// Baselines plays a day with standing tables only and with one even table for all proxies.
func Baselines(ctx context.Context, p Play) ([]Column, error) {
	standing, even := p, p
	standing.WithoutPilots = true
	table, err := baseline.Named("even")
	if err != nil {
		return nil, err
	}
	even.Decide = Decide(table)
	var columns []Column
	for _, c := range []struct {
		name string
		play Play
	}{{"standing tables", standing}, {"one even table", even}} {
		p.Progress("baseline: %s", c.name)
		o, err := c.play.Run(ctx)
		if err != nil {
			return nil, fmt.Errorf("baseline %s: %w", c.name, err)
		}
		columns = append(columns, Column{c.name, o})
	}
	return columns, nil
}
