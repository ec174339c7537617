package endpoint

import (
	"time"

	"indigousher/internal/config"
	"indigousher/internal/scenario"
)

// Load reporting and rejection settings of the endpoints of a scenario.
const (
	loadReportEvery = 400 * time.Millisecond
	loadReportLag   = 200 * time.Millisecond
	rejectionWaitMs = 200 // wait before a retry that rejections ask for, in ms
)

// FromScenario returns the model of an endpoint in a group of a scenario; group is an index into s.Groups. The caller
// sets the seed. speed is the speed of this endpoint, which may differ from that of its group.
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
