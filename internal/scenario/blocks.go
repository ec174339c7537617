package scenario

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"indigousher/internal/config"
)

// maxLength bounds the length of a scenario in seconds: a week.
const maxLength = 7 * 86400

// listAttributes returns the attributes of the common settings. None of them is required in a scenario that inherits
// from another one.
func (s *Scenario) listAttributes() []config.Field {
	fields := s.Attributes()
	for i := range fields {
		fields[i].Required = fields[i].Required && s.Base == ""
	}
	return fields
}

// attributes returns the top-level attributes that only scenario files have.
func (s *Scenario) attributes() []config.Field {
	return []config.Field{
		{Name: "about", Into: &s.About},
		{Name: "length", Into: &s.Length, Min: 1, Max: maxLength},
		{Name: "seed", Into: &s.Seed},
		{Name: "like", Into: &s.Base},
	}
}

// blocks returns the blocks that only scenario files have.
func (s *Scenario) blocks() []config.Block {
	return []config.Block{
		s.fleetBlock(),
		s.intakeBlock(),
		s.listBlock(),
		s.clientsBlock(),
		{Name: "demand", Labels: 1, Read: s.readDemand},
		{Name: "endpoints", Labels: 1, Read: s.readGroup},
		{Name: "trouble", Labels: 1, Read: s.readFault},
	}
}

// fleetBlock returns the block fleet: pilots, proxies and their streams.
func (s *Scenario) fleetBlock() config.Block {
	return config.SingleBlock("fleet",
		config.Field{Name: "grpc", Into: &s.OverGRPC},
		config.Field{Name: "keys", Into: &s.Keys},
		config.Field{Name: "record", Into: &s.Record},
		config.Field{Name: "times", Into: &s.ProxyMultiple, Min: 1, Max: 100000},
		config.Field{Name: "pilots", Into: &s.PilotZones},
		config.Field{Name: "proxies", Into: &s.ProxyZones},
		config.Field{Name: "standing", Into: &s.BootstrapEndpoints},
		config.Field{Name: "redial", Into: &s.RedialDelay},
		config.Field{Name: "apply", Into: &s.ApplyTimePerLine},
		config.Field{Name: "eject_for", Into: &s.EjectFor},
		config.Field{Name: "beat", Into: &s.HeartbeatInterval, Min: 0.02},
		config.Field{Name: "write_within", Into: &s.WriteTimeout, Min: 0.05},
		config.Field{Name: "report_noise", Into: &s.ReportNoise},
		config.Field{Name: "way", Into: &s.OneWayDelay},
	)
}

// intakeBlock returns the block intake: how fast pilots take in load reports.
func (s *Scenario) intakeBlock() config.Block {
	return config.SingleBlock("intake",
		config.Field{Name: "lines_per_s", Into: &s.IntakeLinesPerS},
		config.Field{Name: "standing", Into: &s.IntakeStanding},
		config.Field{Name: "heedless", Into: &s.IgnoresPace},
	)
}

// listBlock returns the block list: the state of the endpoint list.
func (s *Scenario) listBlock() config.Block {
	return config.SingleBlock("list",
		config.Field{Name: "late", Into: &s.ListDelay},
		config.Field{Name: "empty", Into: &s.ListEmpty},
	)
}

// clientsBlock returns the block clients: request rate and retries of the clients.
func (s *Scenario) clientsBlock() config.Block {
	return config.SingleBlock("clients",
		config.Field{Name: "rate", Into: &s.Rate, Min: 0.1},
		config.Field{Name: "retries", Into: &s.Retries},
		config.Field{Name: "backoff", Into: &s.Backoff},
		config.Field{Name: "uneven", Into: &s.ClientRateSpread},
	)
}

// readDemand decodes a block demand "CLASS".
func (s *Scenario) readDemand(labels []string, body *hclsyntax.Body) hcl.Diagnostics {
	demand := newDemand(labels[0])
	diags := config.DecodeBody(body, []config.Field{
		{Name: "share", Into: &demand.Share},
		{Name: "work", Into: &demand.Work, Min: 1e-4},
		{Name: "cv", Into: &demand.CV, Min: 0.01},
	}, nil)
	s.Demands = append(s.Demands, demand)
	return diags
}

// readGroup decodes a block endpoints "MACHINE".
func (s *Scenario) readGroup(labels []string, body *hclsyntax.Body) hcl.Diagnostics {
	group := newGroup(labels[0])
	diags := config.DecodeBody(body, []config.Field{
		{Name: "zone", Into: &group.Zone, Required: true, OneOf: s.Zones},
		{Name: "count", Into: &group.Count, Min: 1, Max: 20000},
		{Name: "cores", Into: &group.Cores, Min: 1, Max: 64},
		{Name: "speed", Into: &group.Speed, Min: 0.01},
		{Name: "spread", Into: &group.SpeedSpread, Max: 0.9},
		{Name: "queue", Into: &group.Queue},
		{Name: "conns", Into: &group.MaxConnections, Min: 1},
		{Name: "handshake", Into: &group.Handshake},
		{Name: "thrash", Into: &group.OverloadSlowdown, Max: 1},
		{Name: "discipline", Into: &group.Discipline, OneOf: []string{disciplineQueue, disciplineSharing}},
	}, nil)
	s.Groups = append(s.Groups, group)
	return diags
}
