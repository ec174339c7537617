package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// stage holds everything that runs.
type stage struct {
	Play
	eventLog      *eventlog.Log
	ownLog        *eventlog.Stream
	network       *network.Network
	registry      *registry.Registry
	mu            sync.Mutex
	endpoints     []*endpoint.Endpoint
	entries       map[string]wire.Entry // as they truly are, by name
	proxies       []*proxy.Proxy
	isolated      map[string]*atomic.Bool
	muted         map[string]*atomic.Bool
	reportFactors map[string]*atomic.Int64 // how many times as often a proxy reports, in thousandths
	pilots        []*pilot
	random        *rand.Rand
	maxima        controller.State
	authority     *identity.Authority
	keyDir        string
	sliceOwners   []string // of slices, by number; addresses of endpoints
}

// startAll starts endpoints, list, pilots and proxies, in this order.
func (s *stage) startAll() error {
	if err := s.openKeys(); err != nil {
		return err
	}
	if err := s.registry.Start(); err != nil {
		return err
	}
	s.network.Put(s.registry.Address(), network.Place{Name: "list"})
	for gi, g := range s.Scenario.Groups {
		for i := range g.Count {
			if _, err := s.addEndpoint(fmt.Sprintf("%s-%s-%d", g.Zone, g.Machine, i), gi, false); err != nil {
				return err
			}
		}
	}
	if !s.Scenario.ListEmpty {
		s.listAll()
	}
	s.assignSlices()
	if !s.WithoutPilots {
		for i, z := range s.Scenario.PilotZones {
			st := &pilot{name: fmt.Sprintf("pilot-%d", i), zone: z}
			st.settings = s.pilotSettings(st, i)
			s.pilots = append(s.pilots, st)
			if err := s.startPilot(st, false); err != nil {
				return err
			}
		}
	}
	counts := map[string]int{}
	for i, z := range s.Scenario.ProxyZones {
		name := fmt.Sprintf("proxy-%s-%d", z, counts[z])
		counts[z]++
		if err := s.addProxy(name, z, i); err != nil {
			return err
		}
	}
	return nil
}

// stopAll stops all that runs; what a test started it leaves nothing of.
func (s *stage) stopAll() {
	if s.keyDir != "" {
		defer os.RemoveAll(s.keyDir)
	}
	for _, p := range s.proxies {
		p.Kill()
	}
	for _, st := range s.pilots {
		s.stopPilot(st, true)
	}
	s.registry.Close()
	for _, e := range s.endpoints {
		e.Kill()
	}
	for _, z := range s.Scenario.Zones { // what a cut holds back may end
		s.network.Cut(z, false)
	}
	for _, e := range s.endpoints {
		s.network.SetBlackhole(e.Name, false)
	}
	for _, p := range s.proxies {
		s.network.SetBlackhole(p.Name, false)
	}
	for _, st := range s.pilots {
		s.network.SetBlackhole(st.name, false)
	}
}
