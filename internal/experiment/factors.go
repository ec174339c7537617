package experiment

import (
	"slices"
	"time"

	"indigousher/internal/scenario"
)

// Factor is something that is varied.
type Factor struct {
	Name   string
	Levels []float64
}

// factors are what can be varied, and what a level does to a day.
var factors = map[string]func(d *scenario.Scenario, v float64){
	"size": func(d *scenario.Scenario, v float64) { // endpoints, proxies, reqs and the channel together
		scaleEndpoints(d, v)
		scaleProxies(d, v)
		d.Rate *= v
		d.LinesPerS, d.Backlog = d.LinesPerS*v, d.Backlog*v
		d.IntakeLinesPerS, d.IntakeStanding = d.IntakeLinesPerS*v, int(float64(d.IntakeStanding)*v)
	},
	"endpoints": scaleEndpoints,
	"proxies":   scaleProxies,
	"load":      func(d *scenario.Scenario, v float64) { d.Rate *= v },
	"pilots": func(d *scenario.Scenario, v float64) {
		d.PilotZones = nil
		for i := range int(v) {
			d.PilotZones = append(d.PilotZones, d.Zones[i%len(d.Zones)])
		}
		d.Instances = max(1, int(v))
	},
	"report_s": func(d *scenario.Scenario, v float64) { d.Period = time.Duration(v * float64(time.Second)) },
	"way_ms":   func(d *scenario.Scenario, v float64) { d.Way = time.Duration(v * float64(time.Millisecond)) },
	"record":   func(d *scenario.Scenario, v float64) { d.Record = v > 0 },
	"uneven":   func(d *scenario.Scenario, v float64) { d.Uneven = v },
	"length_s": func(d *scenario.Scenario, v float64) { d.Length = time.Duration(v * float64(time.Second)) },
}

func scaleEndpoints(d *scenario.Scenario, v float64) {
	for i := range d.Groups {
		d.Groups[i].Count = max(1, int(float64(d.Groups[i].Count)*v+0.5))
	}
}

func scaleProxies(d *scenario.Scenario, v float64) {
	zones := slices.Clone(d.ProxyZones)
	d.ProxyZones = nil
	for i := range max(1, int(float64(len(zones))*v+0.5)) {
		d.ProxyZones = append(d.ProxyZones, zones[i%len(zones)])
	}
	d.Proxies = len(d.ProxyZones)
}
