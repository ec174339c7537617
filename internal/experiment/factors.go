package experiment

import (
	"slices"
	"time"

	"indigousher/internal/scenario"
)

// Factor is a property of the scenario that an experiment varies.
type Factor struct {
	Name   string    // key in factorEffects
	Levels []float64 // values to run, in the order of the experiment file
}

// factorEffects maps the name of each factor to a function that applies a level to a scenario. Names that end in _s or
// _ms give the unit of the levels; size, endpoints, proxies and load multiply the scenario's values.
var factorEffects = map[string]func(s *scenario.Scenario, level float64){
	"size":      scaleAll,
	"endpoints": scaleEndpoints,
	"proxies":   scaleProxies,
	"load":      func(s *scenario.Scenario, level float64) { s.Rate *= level },
	"pilots":    setPilots,
	"report_s":  func(s *scenario.Scenario, level float64) { s.Period = scaled(level, time.Second) },
	"way_ms":    func(s *scenario.Scenario, level float64) { s.OneWayDelay = scaled(level, time.Millisecond) },
	"record":    func(s *scenario.Scenario, level float64) { s.Record = level > 0 },
	"uneven":    func(s *scenario.Scenario, level float64) { s.ClientRateSpread = level },
	"length_s":  func(s *scenario.Scenario, level float64) { s.Length = scaled(level, time.Second) },
}

func scaled(level float64, unit time.Duration) time.Duration {
	return time.Duration(level * float64(unit))
}

// scaledCount returns a count multiplied by a factor and rounded, at least 1.
func scaledCount(count int, factor float64) int { return max(1, int(float64(count)*factor+0.5)) }

// scaleAll multiplies the size of the whole scenario by a factor: endpoints, proxies, request rate, and the limits of
// channels and of the intake of load reports.
func scaleAll(s *scenario.Scenario, factor float64) {
	scaleEndpoints(s, factor)
	scaleProxies(s, factor)
	s.Rate *= factor
	s.LinesPerS *= factor
	s.Backlog *= factor
	s.IntakeLinesPerS *= factor
	s.IntakeStanding = int(float64(s.IntakeStanding) * factor)
}

func scaleEndpoints(s *scenario.Scenario, factor float64) {
	for i := range s.Groups {
		s.Groups[i].Count = scaledCount(s.Groups[i].Count, factor)
	}
}

// scaleProxies multiplies the number of proxies by a factor. Each zone's fraction of the proxies stays the same, except
// for rounding.
func scaleProxies(s *scenario.Scenario, factor float64) {
	zones := slices.Clone(s.ProxyZones)
	s.ProxyZones = nil
	for i := range scaledCount(len(zones), factor) {
		s.ProxyZones = append(s.ProxyZones, zones[i%len(zones)])
	}
	s.Proxies = len(s.ProxyZones)
}

// setPilots sets the number of pilots and distributes them over the zones in round-robin order.
func setPilots(s *scenario.Scenario, level float64) {
	count := int(level)
	s.PilotZones = nil
	for i := range count {
		s.PilotZones = append(s.PilotZones, s.Zones[i%len(s.Zones)])
	}
	s.Instances = max(1, count)
}
