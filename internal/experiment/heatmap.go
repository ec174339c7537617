package experiment

import (
	"fmt"
	"html/template"
	"maps"
	"slices"
)

// heatRow is a row of the heat map: the mean load of each zone for one cell of the experiment.
type heatRow struct {
	Policy, Levels string
	Cells          []heatCell
}

// heatCell is the mean load of one zone in a row of the heat map.
type heatCell struct {
	Zone  string
	Load  float64      // mean busy fraction of the zone's endpoints
	Shade template.CSS // background colour
}

// idleHue is the hue in degrees for a load of 0, which is green. The hue for a load of 1 is 0 degrees, which is red.
const idleHue = 120

// heatMap returns the rows of the heat map, one for each cell of the experiment.
func (t *Table) heatMap() []heatRow {
	var list []heatRow
	for i, c := range t.Cells {
		row := heatRow{Policy: c.Policy, Levels: t.Plan.Label(c.Levels)}
		loads := meanZoneLoads(t.Results[i])
		for _, zone := range slices.Sorted(maps.Keys(loads)) {
			row.Cells = append(row.Cells, heatCell{Zone: zone, Load: loads[zone], Shade: shade(loads[zone])})
		}
		list = append(list, row)
	}
	return list
}

// meanZoneLoads returns the mean load of each zone over some results. Nil results, from runs that were left out, are
// skipped.
func meanZoneLoads(results []*Result) map[string]float64 {
	loads := map[string]float64{}
	runs := 0.0
	for _, r := range results {
		if r == nil {
			continue
		}
		runs++
		for zone, load := range r.Zones {
			loads[zone] += load
		}
	}
	for zone := range loads {
		loads[zone] /= runs
	}
	return loads
}

// shade returns the background colour for a load (a fraction). Loads above 1 get the colour of 1.
func shade(load float64) template.CSS {
	hue := idleHue * (1 - min(1, load))
	return template.CSS(fmt.Sprintf("background:hsl(%.0f,80%%,75%%)", hue))
}
