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

func (s *stage) addProxy(name, zone string, number int) error {
	down, mute := &atomic.Bool{}, &atomic.Bool{}
	times := &atomic.Int64{}
	times.Store(1000)
	s.isolated[name], s.muted[name], s.reportFactors[name] = down, mute, times
	var targets, limits []time.Duration
	for _, k := range s.Scenario.Kinds {
		targets, limits = append(targets, k.ResponseTarget), append(limits, k.ClientTimeout)
	}
	place := network.Place{Name: name, Zone: zone}
	over := slices.ContainsFunc(s.Scenario.OverGRPC, func(pattern string) bool { ok, err := path.Match(pattern, name); return ok && err == nil })
	join, err := s.joiner(name, zone, over)
	if err != nil {
		return err
	}
	p := proxy.New(proxy.Options{Name: name, Zone: zone, Habits: routing.Policy{Kinds: s.Scenario.ClassNames(), Pick: s.Scenario.Pick,
		EjectsAfter: s.Scenario.EjectsAfter, EjectMs: float64(s.Scenario.EjectFor.Milliseconds()), TryAgain: s.Scenario.RetryHow},
		Rate: s.Scenario.Rate / float64(len(s.Scenario.ProxyZones)), Standing: func() []string { return s.drawStaticTable(zone) },
		Pilots: func() []string { return s.reachablePilots(zone, number, down, over) }, Join: join, Dial: s.network.Dialer(place, time.Second),
		DialTimeout: 250 * time.Millisecond, Redial: s.Scenario.Redial, ApplyPerLine: s.Scenario.Apply, FirstWait: s.Scenario.FirstWait,
		Targets: targets, Limits: limits, Seed: uint64(s.Scenario.Seed*1000 + number), MuteReads: mute.Load,
		Reports: func() float64 { return float64(times.Load()) / 1000 }, Heedless: slices.Contains(s.Scenario.Heedless, name)},
		s.eventLog.Stream(name))
	if err := p.Start(); err != nil {
		return err
	}
	s.network.Put(p.Address(), place)
	s.proxies = append(s.proxies, p)
	return nil
}

// joiner returns how a proxy joins, with keys of its own if the day has them.
func (s *stage) joiner(name, zone string, overGRPC bool) (func() proxy.Joiner, error) {
	var sealed *tls.Config
	if s.Scenario.Keys {
		ring, err := s.issueKeys(identity.Identity{Role: identity.Proxy, Zone: zone, Name: name})
		if err != nil {
			return nil, err
		}
		sealed = ring.Client(identity.Pilot)
	}
	return func() proxy.Joiner {
		if overGRPC {
			return proxy.GRPC(sealed, false)
		}
		return proxy.Framed(sealed)
	}, nil
}

// reachablePilots lists the pilots that a proxy may dial, its home first.
func (s *stage) reachablePilots(zone string, number int, down *atomic.Bool, overGRPC bool) []string {
	if down.Load() || len(s.pilots) == 0 {
		return nil
	}
	var at []string
	home := number % len(s.pilots)
	if s.Scenario.ByZone {
		if i := slices.IndexFunc(s.pilots, func(p *pilot) bool { return p.zone == zone }); i >= 0 {
			home = i
		}
	}
	for i := range s.pilots {
		st := s.pilots[(home+i)%len(s.pilots)]
		st.mu.Lock()
		if overGRPC {
			at = append(at, st.settings.GRPC)
		} else {
			at = append(at, st.settings.Listen)
		}
		st.mu.Unlock()
	}
	return at
}
