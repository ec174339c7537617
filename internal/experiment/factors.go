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

// factorEffects are the factors by name, and what a level of each does to a scenario.
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

// scaledCount returns a count times a factor, rounded, at least 1.
func scaledCount(count int, factor float64) int { return max(1, int(float64(count)*factor+0.5)) }

// scaleAll scales endpoints, proxies, requests, channel and telemetry together.
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

// scaleProxies keeps the zones' parts of the proxies, as far as whole numbers do.
func scaleProxies(s *scenario.Scenario, factor float64) {
	zones := slices.Clone(s.ProxyZones)
	s.ProxyZones = nil
	for i := range scaledCount(len(zones), factor) {
		s.ProxyZones = append(s.ProxyZones, zones[i%len(zones)])
	}
	s.Proxies = len(s.ProxyZones)
}

// setPilots sets the number of pilots, and spreads them over the zones.
func setPilots(s *scenario.Scenario, level float64) {
	count := int(level)
	s.PilotZones = nil
	for i := range count {
		s.PilotZones = append(s.PilotZones, s.Zones[i%len(s.Zones)])
	}
	s.Instances = max(1, count)
}
