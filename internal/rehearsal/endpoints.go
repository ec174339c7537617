package rehearsal

import (
	"math"
	"time"

	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// addEndpoint starts an endpoint of a group.
func (s *stage) addEndpoint(name string, group int, cold bool) (*endpoint.Endpoint, error) {
	g := s.Scenario.Groups[group]
	s.mu.Lock()
	speed := g.Speed * math.Exp(g.Spread*s.random.NormFloat64())
	s.mu.Unlock()
	effects, dedup := map[string]bool{}, map[string]bool{}
	for _, k := range s.Scenario.Kinds {
		effects[k.Name], dedup[k.Name] = k.Repeats != "replayable", k.Repeats == "uniqued"
	}
	e := endpoint.New(endpoint.Model{Name: name, Zone: g.Zone, Machine: g.Machine, Cores: g.Cores, Speed: speed,
		Queue: g.Queue, Conns: g.Conns, HandshakeMs: float64(g.Handshake) / float64(time.Millisecond),
		ReportEvery: 400 * time.Millisecond, ReportLag: 200 * time.Millisecond, Noise: s.Scenario.NoisyReports,
		Cold: s.Scenario.Cold, ColdFrom: s.Scenario.ColdFrom, FallMultiple: s.Scenario.FallMultiple, Fall: s.Scenario.Fall, ComeBackMs: 200,
		Effects: effects, Dedup: dedup, Seed: uint64(s.Scenario.Seed + len(name)*7919)}, s.eventLog.Stream(name))
	if err := e.Start(cold); err != nil {
		return nil, err
	}
	s.network.Put(e.Address(), network.Place{Name: name, Zone: g.Zone})
	entry := wire.Entry{Endpoint: e.Address(), Zone: g.Zone, Machine: g.Machine, Weight: float64(g.Cores) * g.Speed}
	if cold {
		entry.Started = registry.Stamp(time.Now())
	}
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.entries[name] = entry
	s.mu.Unlock()
	return e, nil
}

// updateEntry changes an endpoint's entry and has the list say so after a while.
func (s *stage) updateEntry(name string, after time.Duration, change func(*wire.Entry)) {
	s.mu.Lock()
	e := s.entries[name]
	change(&e)
	s.entries[name] = e
	s.mu.Unlock()
	s.registry.Put(after, e)
}

func (s *stage) listAll() {
	s.mu.Lock()
	var all []wire.Entry
	for _, e := range s.endpoints {
		all = append(all, s.entries[e.Name])
	}
	s.mu.Unlock()
	s.registry.Put(0, all...)
}

// drawStaticTable draws a proxy's table at its start: from the list, in its zone if three are there.
func (s *stage) drawStaticTable(zone string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, all []string
	for _, e := range s.endpoints {
		if x := s.entries[e.Name]; x.Phase == wire.PhaseReady {
			all = append(all, x.Endpoint)
			if x.Zone == zone {
				near = append(near, x.Endpoint)
			}
		}
	}
	if len(near) >= 3 {
		all = near
	}
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), s.Scenario.Standing)]
}
