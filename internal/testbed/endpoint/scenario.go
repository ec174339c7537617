package endpoint

import (
	"time"

	"indigousher/internal/config"
	"indigousher/internal/scenario"
)

// How endpoints of a scenario report and reject.
const (
	loadReportEvery = 400 * time.Millisecond
	loadReportLag   = 200 * time.Millisecond
	rejectionWaitMs = 200 // Retry-After of a rejection
)

// FromScenario returns the model of an endpoint of one of a scenario's groups, without a seed. Speed is the endpoint's
// own, drawn around that of its group.
func FromScenario(s *scenario.Scenario, group int, name string, speed float64) Model {
	g := s.Groups[group]
	effects := map[string]bool{}
	deduplicated := map[string]bool{}
	for _, class := range s.Kinds {
		effects[class.Name] = class.Repeats != config.RepeatsReplayable
		deduplicated[class.Name] = class.Repeats == config.RepeatsUniqued
	}
	return Model{
		Name:             name,
		Zone:             g.Zone,
		Machine:          g.Machine,
		Cores:            g.Cores,
		Speed:            speed,
		QueueLimit:       g.Queue,
		MaxConnections:   g.MaxConnections,
		HandshakeMs:      float64(g.Handshake) / float64(time.Millisecond),
		ReportEvery:      loadReportEvery,
		ReportLag:        loadReportLag,
		ReportNoise:      s.ReportNoise,
		WarmUp:           s.Cold,
		WarmUpFrom:       s.ColdFrom,
		OverloadMultiple: s.FallMultiple,
		OverloadWindow:   s.Fall,
		RetryAfterMs:     rejectionWaitMs,
		Effects:          effects,
		Deduplicated:     deduplicated,
	}
}
