package rehearsal

import (
	"math"
	"time"

	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// endpointSeedStep keeps the sequences of endpoints with names of different lengths apart.
const endpointSeedStep = 7919

// minOwnZone is how many endpoints its own zone must have for a proxy's static table to hold only those.
const minOwnZone = 3

// addEndpoint starts an endpoint of a group of the scenario.
func (s *stage) addEndpoint(name string, group int, cold bool) error {
	g := s.Scenario.Groups[group]
	s.mu.Lock()
	speed := g.Speed * math.Exp(g.SpeedSpread*s.random.NormFloat64())
	s.mu.Unlock()
	model := endpoint.FromScenario(s.Scenario, group, name, speed)
	model.Seed = uint64(s.Scenario.Seed + len(name)*endpointSeedStep)
	added := endpoint.New(model, s.eventLog.Stream(name))
	if err := added.Start(cold); err != nil {
		return err
	}
	s.network.Put(added.Address(), network.Place{Name: name, Zone: g.Zone})
	entry := wire.Entry{Endpoint: added.Address(), Zone: g.Zone, Machine: g.Machine, Weight: float64(g.Cores) * g.Speed}
	if cold {
		entry.Started = registry.Stamp(time.Now())
	}
	s.mu.Lock()
	s.endpoints = append(s.endpoints, added)
	s.entries[name] = entry
	s.mu.Unlock()
	return nil
}

// updateEntry changes an endpoint's entry, and the list after a delay.
func (s *stage) updateEntry(name string, delay time.Duration, change func(*wire.Entry)) {
	s.mu.Lock()
	entry := s.entries[name]
	change(&entry)
	s.entries[name] = entry
	s.mu.Unlock()
	s.registry.Put(delay, entry)
}

// setPhase changes the phase of an endpoint, and the list after a delay.
func (s *stage) setPhase(name string, delay time.Duration, phase int) {
	s.updateEntry(name, delay, func(entry *wire.Entry) { entry.Phase = phase })
}

// listAll puts all endpoints on the list at once.
func (s *stage) listAll() {
	s.mu.Lock()
	var all []wire.Entry
	for _, e := range s.endpoints {
		all = append(all, s.entries[e.Name])
	}
	s.mu.Unlock()
	s.registry.Put(0, all...)
}

// drawStaticTable draws the endpoints of a proxy's static table from those that are ready: from its own zone if that
// has enough.
func (s *stage) drawStaticTable(zone string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all, near []string
	for _, e := range s.endpoints {
		entry := s.entries[e.Name]
		if entry.Phase != wire.PhaseReady {
			continue
		}
		all = append(all, entry.Endpoint)
		if entry.Zone == zone {
			near = append(near, entry.Endpoint)
		}
	}
	candidates := all
	if len(near) >= minOwnZone {
		candidates = near
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), s.Scenario.BootstrapEndpoints)]
}
