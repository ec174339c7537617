package experiment

import (
	"fmt"
	"html/template"
	"maps"
	"slices"
)

// heat is the mean load of each zone, by policy and levels.
type heat struct {
	Policy, Levels string
	Cells          []heatCell
}

type heatCell struct {
	Zone  string
	Load  float64
	Shade template.CSS
}

// heats lists them for all cells.
func (t *Table) heats() (list []heat) {
	for i, c := range t.Cells {
		sums, runs := map[string]float64{}, 0.0
		for _, r := range t.Results[i] {
			if r != nil {
				runs++
				for z, l := range r.Zones {
					sums[z] += l
				}
			}
		}
		h := heat{Policy: c.Policy, Levels: t.Plan.Label(c.Levels)}
		for _, z := range slices.Sorted(maps.Keys(sums)) {
			l := sums[z] / runs
			h.Cells = append(h.Cells, heatCell{z, l, template.CSS(fmt.Sprintf("background:hsl(%.0f,80%%,75%%)", 120*(1-min(1, l))))})
		}
		list = append(list, h)
	}
	return list
}
