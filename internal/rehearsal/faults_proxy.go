package rehearsal

import (
	"context"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/proxy"
)

// faultProxies draws the proxies that a fault strikes, of whatever zone.
func (s *stage) faultProxies(fault scenario.Fault) []*proxy.Proxy {
	var names []string
	byName := map[string]*proxy.Proxy{}
	for _, p := range s.proxies {
		names = append(names, p.Name)
		byName[p.Name] = p
	}
	var struck []*proxy.Proxy
	for _, name := range s.targets(fault, names) {
		struck = append(struck, byName[name])
	}
	return struck
}

// strikeProxies does something to the proxies that a fault strikes, and undoes it at the fault's end or when ctx ends.
func (s *stage) strikeProxies(ctx context.Context, fault scenario.Fault, begin, end func(*proxy.Proxy)) error {
	struck := s.faultProxies(fault)
	for _, p := range struck {
		begin(p)
	}
	backoff.Sleep(ctx, fault.Duration)
	for _, p := range struck {
		end(p)
	}
	return nil
}

func (s *stage) reconnectProxies(_ context.Context, fault scenario.Fault) error {
	for _, p := range s.faultProxies(fault) {
		p.DropStream()
	}
	return nil
}

// isolateProxies has proxies reach no pilot.
func (s *stage) isolateProxies(ctx context.Context, fault scenario.Fault) error {
	isolate := func(p *proxy.Proxy) {
		s.isolated[p.Name].Store(true)
		p.DropStream()
	}
	return s.strikeProxies(ctx, fault, isolate, func(p *proxy.Proxy) { s.isolated[p.Name].Store(false) })
}

// muteProxies has proxies read nothing from their streams.
func (s *stage) muteProxies(ctx context.Context, fault scenario.Fault) error {
	return s.strikeProxies(ctx, fault,
		func(p *proxy.Proxy) { s.muted[p.Name].Store(true) },
		func(p *proxy.Proxy) { s.muted[p.Name].Store(false) })
}

// silenceProxies cuts proxies off without closing their connections, in the middle of whatever they send.
func (s *stage) silenceProxies(ctx context.Context, fault scenario.Fault) error {
	return s.strikeProxies(ctx, fault,
		func(p *proxy.Proxy) { s.network.SetBlackhole(p.Name, true) },
		func(p *proxy.Proxy) { s.network.SetBlackhole(p.Name, false) })
}

// floodReports has proxies report more often.
func (s *stage) floodReports(ctx context.Context, fault scenario.Fault) error {
	return s.strikeProxies(ctx, fault,
		func(p *proxy.Proxy) { s.reportFactors[p.Name].Store(int64(fault.Size * factorUnit)) },
		func(p *proxy.Proxy) { s.reportFactors[p.Name].Store(factorUnit) })
}

func (s *stage) crashProxies(ctx context.Context, fault scenario.Fault) error {
	struck := s.faultProxies(fault)
	for _, p := range struck {
		p.Kill()
	}
	if !backoff.Sleep(ctx, fault.Duration) {
		return nil
	}
	for _, p := range struck {
		if err := p.Start(); err != nil { //nolint:contextcheck // ends in stopAll, not with the fault
			return err
		}
	}
	return nil
}

// rollProxies restarts proxies one after another.
func (s *stage) rollProxies(ctx context.Context, fault scenario.Fault) error {
	for _, p := range s.faultProxies(fault) {
		p.Kill()
		if !backoff.Sleep(ctx, fault.ExtraDelay) {
			return nil
		}
		if err := p.Start(); err != nil { //nolint:contextcheck // ends in stopAll, not with the fault
			return err
		}
		backoff.Sleep(ctx, fault.Interval)
	}
	return nil
}
