package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// environment holds the components and the state of a run.
type environment struct {
	Play
	eventLog     *eventlog.Log
	rehearsalLog *eventlog.Stream // events of the rehearsal itself, such as the beginning of faults
	network      *network.Network
	registry     *registry.Registry

	// Set before the clients start and constant after that.
	proxies   []*proxy.Proxy
	pilots    []*pilot
	authority *identity.Authority
	keyDir    string

	// Faults that are active on proxies, by proxy name. Only the values change after the clients start, not the maps.
	isolated      map[string]*atomic.Bool  // the proxy can reach no pilot
	muted         map[string]*atomic.Bool  // the proxy reads nothing from its stream
	reportFactors map[string]*atomic.Int64 // multiplies the proxy's report rate, in thousandths (1000: unchanged)

	sliceOwners []string // address of the endpoint that owns each slice, by slice number

	mu        sync.Mutex // guards the fields below
	endpoints []*endpoint.Endpoint
	entries   map[string]wire.Entry // actual state of the endpoints, by name; the registry publishes it with a delay
	random    *rand.Rand
	maxima    controller.State // highest counts that any pilot reported
}

// randomStream is the second seed of the run's random generator. It separates its sequence from those of other
// generators with the same first seed.
const randomStream = 5

func newEnvironment(p Play) *environment {
	s := &environment{
		Play:          p,
		eventLog:      eventlog.NewLog(),
		isolated:      map[string]*atomic.Bool{},
		muted:         map[string]*atomic.Bool{},
		reportFactors: map[string]*atomic.Int64{},
		entries:       map[string]wire.Entry{},
		random:        rand.New(rand.NewPCG(uint64(p.Scenario.Seed), randomStream)),
	}
	s.rehearsalLog = s.eventLog.Stream("rehearsal")
	s.network = network.New(s.eventLog.Stream("links"), uint64(p.Scenario.Seed))
	s.registry = registry.New(s.eventLog.Stream("list"))
	return s
}

// startAll starts the registry, the endpoints, the pilots and the proxies, in this order.
func (s *environment) startAll() error {
	if err := s.openKeys(); err != nil {
		return err
	}
	if err := s.registry.Start(); err != nil {
		return err
	}
	s.network.Put(s.registry.Address(), network.Place{Name: "list"})
	if err := s.startEndpoints(); err != nil {
		return err
	}
	if !s.Scenario.ListEmpty {
		s.listAll()
	}
	s.assignSlices()
	if !s.WithoutPilots {
		if err := s.startPilots(); err != nil {
			return err
		}
	}
	return s.startProxies()
}

func (s *environment) startEndpoints() error {
	for group, g := range s.Scenario.Groups {
		for i := range g.Count {
			if err := s.addEndpoint(fmt.Sprintf("%s-%s-%d", g.Zone, g.Machine, i), group, false); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *environment) startPilots() error {
	for rank, zone := range s.Scenario.PilotZones {
		p := &pilot{name: fmt.Sprintf("pilot-%d", rank), zone: zone}
		p.settings = s.pilotSettings(p, rank)
		s.pilots = append(s.pilots, p)
		if err := s.startPilot(p, false); err != nil {
			return err
		}
	}
	return nil
}

func (s *environment) startProxies() error {
	inZone := map[string]int{}
	for number, zone := range s.Scenario.ProxyZones {
		name := fmt.Sprintf("proxy-%s-%d", zone, inZone[zone])
		inZone[zone]++
		if err := s.addProxy(name, zone, number); err != nil {
			return err
		}
	}
	return nil
}

// stopAll stops all components. It ends network cuts last, so that connections blocked by them can close as well.
func (s *environment) stopAll() {
	if s.keyDir != "" {
		defer removeTemporary(s.keyDir)
	}
	for _, proxy := range s.proxies {
		proxy.Kill()
	}
	for _, p := range s.pilots {
		s.stopPilot(p, true)
	}
	s.registry.Close()
	for _, endpoint := range s.endpoints {
		endpoint.Kill()
	}
	s.endNetworkCuts()
}

func (s *environment) endNetworkCuts() {
	for _, zone := range s.Scenario.Zones {
		s.network.Cut(zone, false)
	}
	for _, endpoint := range s.endpoints {
		s.network.SetBlackhole(endpoint.Name, false)
	}
	for _, proxy := range s.proxies {
		s.network.SetBlackhole(proxy.Name, false)
	}
	for _, p := range s.pilots {
		s.network.SetBlackhole(p.name, false)
	}
}

// targets draws the names that a fault affects from a list of names.
func (s *environment) targets(fault scenario.Fault, names []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fault.Targets(names, s.random)
}
