package config

import "indigousher/internal/wire"

// blocks returns the blocks of a pilot other than the common ones, in the order in which Text writes them.
func (p *Pilot) blocks() []Block {
	return []Block{
		p.pilotBlock(),
		p.keysBlock(),
		p.listBlock(),
		p.peersBlock(),
		p.intakeBlock(),
		p.streamsBlock(),
		p.recordBlock(),
		p.logBlock(),
	}
}

func (p *Pilot) pilotBlock() Block {
	return SingleBlock("pilot",
		Field{Name: "name", Into: &p.Name},
		Field{Name: "zone", Into: &p.Zone},
		Field{Name: "rank", Into: &p.Rank, Max: maxRank},
		Field{Name: "instances", Into: &p.Instances, Min: 1},
		Field{Name: "seed", Into: &p.Seed},
		Field{Name: "listen", Into: &p.Listen},
		Field{Name: "grpc", Into: &p.GRPC},
		Field{Name: "handover", Into: &p.Handover},
		Field{Name: "admin", Into: &p.Admin},
	)
}

func (p *Pilot) keysBlock() Block {
	return SingleBlock("keys",
		Field{Name: "authority", Into: &p.Keys.Authority},
		Field{Name: "certificate", Into: &p.Keys.Certificate},
		Field{Name: "private_key", Into: &p.Keys.Key},
		Field{Name: "plain", Into: &p.Plain},
	)
}

func (p *Pilot) listBlock() Block {
	return SingleBlock("list",
		Field{Name: "file", Into: &p.ListFile},
		Field{Name: "address", Into: &p.ListAddress},
		Field{Name: "silence", Into: &p.ListSilence, Min: 0.1},
	)
}

func (p *Pilot) peersBlock() Block {
	return SingleBlock("peers",
		Field{Name: "listen", Into: &p.PeersListen},
		Field{Name: "addresses", Into: &p.Peers},
		Field{Name: "secret", Into: &p.PeersSecret},
	)
}

func (p *Pilot) intakeBlock() Block {
	return SingleBlock("intake",
		Field{Name: "lines_per_s", Into: &p.IntakeLinesPerS},
		Field{Name: "standing", Into: &p.IntakeStanding},
		Field{Name: "slowest", Into: &p.IntakeSlowest, Min: 1, Max: 60},
		Field{Name: "half", Into: &p.IntakeHalf, Min: 0.1},
		Field{Name: "longest", Into: &p.IntakeLongest, Min: 1},
	)
}

func (p *Pilot) streamsBlock() Block {
	return SingleBlock("streams",
		Field{Name: "beat", Into: &p.Beat, Min: 0.01},
		Field{Name: "write_deadline", Into: &p.WriteDeadline, Min: 0.01},
		Field{Name: "hello_deadline", Into: &p.HelloDeadline, Min: 0.01},
		Field{Name: "seen_within", Into: &p.SeenWithin, Min: 0.05},
		Field{Name: "stop_within", Into: &p.DrainOnStop},
		Field{Name: "queue", Into: &p.Queue, Min: 1, Max: 65536},
		Field{Name: "max_frame", Into: &p.MaxFrame, Min: 1024, Max: wire.MaxFrame},
		Field{Name: "new_per_s", Into: &p.NewPerS},
		Field{Name: "max_streams", Into: &p.MaxStreams, Min: 1},
		Field{Name: "max_proxies", Into: &p.MostProxies, Min: 1, Max: maxProxies},
	)
}

func (p *Pilot) recordBlock() Block {
	return SingleBlock("record",
		Field{Name: "dir", Into: &p.RecordDir},
		Field{Name: "keep", Into: &p.RecordKeep},
		Field{Name: "most_mb", Into: &p.RecordMostMB, Min: 1},
		Field{Name: "tail", Into: &p.RecoverTail},
		Field{Name: "within", Into: &p.RecoverWithin},
	)
}

func (p *Pilot) logBlock() Block {
	return SingleBlock("log",
		Field{Name: "level", Into: &p.LogLevel, OneOf: []string{"debug", "info", "warn", "error"}},
		Field{Name: "format", Into: &p.LogFormat, OneOf: []string{"console", "json"}},
	)
}
