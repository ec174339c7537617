package rehearsal

import (
	"math"
	"time"

	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// endpointSeedStep is multiplied by the length of an endpoint's name and added to the scenario's seed, so that
// endpoints whose names differ in length get different random sequences.
const endpointSeedStep = 7919

// minOwnZone is the number of ready endpoints that a proxy's zone must have for its static table to hold only endpoints
// of that zone.
const minOwnZone = 3

// addEndpoint creates and starts an endpoint of a group of the scenario, given by the group's index. If cold is set,
// the endpoint needs a warm-up. It is not yet published in the registry.
func (s *environment) addEndpoint(name string, group int, cold bool) error {
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

// updateEntry changes an endpoint's entry at once and publishes it in the registry after a delay.
func (s *environment) updateEntry(name string, delay time.Duration, change func(*wire.Entry)) {
	s.mu.Lock()
	entry := s.entries[name]
	change(&entry)
	s.entries[name] = entry
	s.mu.Unlock()
	s.registry.Put(delay, entry)
}

// setPhase changes the phase of an endpoint at once and publishes it in the registry after a delay.
func (s *environment) setPhase(name string, delay time.Duration, phase int) {
	s.updateEntry(name, delay, func(entry *wire.Entry) { entry.Phase = phase })
}

// listAll publishes all endpoints in the registry without delay.
func (s *environment) listAll() {
	s.mu.Lock()
	var all []wire.Entry
	for _, e := range s.endpoints {
		all = append(all, s.entries[e.Name])
	}
	s.mu.Unlock()
	s.registry.Put(0, all...)
}

// drawStaticTable draws random ready endpoints for the static table of a proxy in a zone. They come from that zone if
// it has at least minOwnZone of them, otherwise from all zones. It returns their addresses.
func (s *environment) drawStaticTable(zone string) []string {
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
