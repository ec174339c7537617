package rehearsal

import (
	"crypto/tls"
	"path"
	"slices"
	"sync/atomic"
	"time"

	"indigousher/internal/identity"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/routing"
)

const (
	// proxyDialTimeout is the timeout for a proxy's connections to pilots.
	proxyDialTimeout = time.Second
	// endpointDialTimeout is the timeout for a proxy's connections to endpoints.
	endpointDialTimeout = 250 * time.Millisecond
	// proxySeedStep is the difference between a proxy's seeds in two runs with consecutive scenario seeds. It is large
	// so that proxies with different numbers do not get the same random sequence in such runs.
	proxySeedStep = 1000
	// factorUnit is the integer that stands for a factor of 1 in environment.reportFactors, which are in thousandths.
	factorUnit = 1000
)

// addProxy creates and starts a proxy. The number is its index among all proxies.
func (s *environment) addProxy(name, zone string, number int) error {
	isolated := &atomic.Bool{}
	muted := &atomic.Bool{}
	reportFactor := &atomic.Int64{}
	reportFactor.Store(factorUnit)
	s.isolated[name] = isolated
	s.muted[name] = muted
	s.reportFactors[name] = reportFactor

	overGRPC := s.speaksGRPC(name)
	join, err := s.joiner(name, zone, overGRPC)
	if err != nil {
		return err
	}
	options := s.proxyOptions(name, zone, number)
	options.Pilots = func() []string { return s.reachablePilots(zone, number, isolated, overGRPC) }
	options.NewJoiner = join
	options.StopReading = muted.Load
	options.ReportFactor = func() float64 { return float64(reportFactor.Load()) / factorUnit }
	added := proxy.New(options, s.eventLog.Stream(name))
	if err := added.Start(); err != nil {
		return err
	}
	s.network.Put(added.Address(), network.Place{Name: name, Zone: zone})
	s.proxies = append(s.proxies, added)
	return nil
}

// proxyOptions returns the options of a proxy that do not depend on its faults and on how it connects to pilots.
func (s *environment) proxyOptions(name, zone string, number int) proxy.Options {
	var targets, limits []time.Duration
	for _, class := range s.Scenario.Kinds {
		targets = append(targets, class.ResponseTarget)
		limits = append(limits, class.ClientTimeout)
	}
	return proxy.Options{
		Name: name,
		Zone: zone,
		Routing: routing.Policy{
			Classes:    s.Scenario.ClassNames(),
			Algorithm:  s.Scenario.Pick,
			EjectAfter: s.Scenario.EjectsAfter,
			EjectionMs: float64(s.Scenario.EjectFor.Milliseconds()),
			RetryMode:  s.Scenario.RetryHow,
		},
		Rate:                 s.Scenario.Rate / float64(len(s.Scenario.ProxyZones)),
		StaticTable:          func() []string { return s.drawStaticTable(zone) },
		Dial:                 s.network.Dialer(network.Place{Name: name, Zone: zone}, proxyDialTimeout),
		DialTimeout:          endpointDialTimeout,
		RedialPause:          s.Scenario.RedialDelay,
		ApplyPerLine:         s.Scenario.ApplyTimePerLine,
		FirstAttemptShare:    s.Scenario.FirstWait,
		LatencyObjectives:    targets,
		ClientTimeouts:       limits,
		Seed:                 uint64(s.Scenario.Seed*proxySeedStep + number),
		IgnoreReportRequests: slices.Contains(s.Scenario.IgnoresPace, name),
	}
}

// speaksGRPC returns whether a proxy connects to pilots over gRPC: if its name matches one of the scenario's patterns.
func (s *environment) speaksGRPC(name string) bool {
	return slices.ContainsFunc(s.Scenario.OverGRPC, func(pattern string) bool {
		matches, err := path.Match(pattern, name)
		return err == nil && matches
	})
}

// joiner returns a constructor of the client with which a proxy joins a pilot: over gRPC or the framed protocol, with
// TLS if the scenario uses keys.
func (s *environment) joiner(name, zone string, overGRPC bool) (func() proxy.Joiner, error) {
	var tlsConfig *tls.Config
	if s.Scenario.Keys {
		keys, err := s.issueKeys(identity.Identity{Role: identity.Proxy, Zone: zone, Name: name})
		if err != nil {
			return nil, err
		}
		tlsConfig = keys.Client(identity.Pilot)
	}
	return func() proxy.Joiner {
		if overGRPC {
			return proxy.GRPC(tlsConfig, false)
		}
		return proxy.Framed(tlsConfig)
	}, nil
}

// reachablePilots returns the addresses of the pilots that a proxy may dial, in the order in which it tries them. The
// first is its home pilot: one in its zone if the scenario assigns proxies by zone, otherwise one chosen by its number.
// It returns nil if the proxy is isolated or there are no pilots.
func (s *environment) reachablePilots(zone string, number int, isolated *atomic.Bool, overGRPC bool) []string {
	if isolated.Load() || len(s.pilots) == 0 {
		return nil
	}
	home := number % len(s.pilots)
	if s.Scenario.ByZone {
		inZone := slices.IndexFunc(s.pilots, func(p *pilot) bool { return p.zone == zone })
		if inZone >= 0 {
			home = inZone
		}
	}
	var addresses []string
	for i := range s.pilots {
		p := s.pilots[(home+i)%len(s.pilots)]
		addresses = append(addresses, p.address(overGRPC))
	}
	return addresses
}

// address returns the address at which a pilot accepts proxies, over gRPC or the framed protocol.
func (p *pilot) address(overGRPC bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if overGRPC {
		return p.settings.GRPC
	}
	return p.settings.Listen
}
