package rehearsal

import (
	"context"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/proxy"
)

// faultProxies draws the proxies that a fault affects. The fault's zone is ignored.
func (s *environment) faultProxies(fault scenario.Fault) []*proxy.Proxy {
	var names []string
	byName := map[string]*proxy.Proxy{}
	for _, p := range s.proxies {
		names = append(names, p.Name)
		byName[p.Name] = p
	}
	var affected []*proxy.Proxy
	for _, name := range s.targets(fault, names) {
		affected = append(affected, byName[name])
	}
	return affected
}

// applyToProxies calls begin for all proxies that a fault affects, and end for them when the fault ends or ctx is
// cancelled.
func (s *environment) applyToProxies(ctx context.Context, fault scenario.Fault, begin, end func(*proxy.Proxy)) error {
	affected := s.faultProxies(fault)
	for _, p := range affected {
		begin(p)
	}
	backoff.Sleep(ctx, fault.Duration)
	for _, p := range affected {
		end(p)
	}
	return nil
}

func (s *environment) reconnectProxies(_ context.Context, fault scenario.Fault) error {
	for _, p := range s.faultProxies(fault) {
		p.DropStream()
	}
	return nil
}

// isolateProxies closes the streams of proxies and keeps them from connecting to any pilot until the fault ends.
func (s *environment) isolateProxies(ctx context.Context, fault scenario.Fault) error {
	isolate := func(p *proxy.Proxy) {
		s.isolated[p.Name].Store(true)
		p.DropStream()
	}
	return s.applyToProxies(ctx, fault, isolate, func(p *proxy.Proxy) { s.isolated[p.Name].Store(false) })
}

// muteProxies makes proxies stop reading from their streams until the fault ends.
func (s *environment) muteProxies(ctx context.Context, fault scenario.Fault) error {
	return s.applyToProxies(ctx, fault,
		func(p *proxy.Proxy) { s.muted[p.Name].Store(true) },
		func(p *proxy.Proxy) { s.muted[p.Name].Store(false) })
}

// silenceProxies drops all traffic of proxies until the fault ends. Their connections stay open, and messages can be
// cut off in the middle.
func (s *environment) silenceProxies(ctx context.Context, fault scenario.Fault) error {
	return s.applyToProxies(ctx, fault,
		func(p *proxy.Proxy) { s.network.SetBlackhole(p.Name, true) },
		func(p *proxy.Proxy) { s.network.SetBlackhole(p.Name, false) })
}

// floodReports makes proxies send load reports fault.Size times as often until the fault ends.
func (s *environment) floodReports(ctx context.Context, fault scenario.Fault) error {
	return s.applyToProxies(ctx, fault,
		func(p *proxy.Proxy) { s.reportFactors[p.Name].Store(int64(fault.Size * factorUnit)) },
		func(p *proxy.Proxy) { s.reportFactors[p.Name].Store(factorUnit) })
}

func (s *environment) crashProxies(ctx context.Context, fault scenario.Fault) error {
	affected := s.faultProxies(fault)
	for _, p := range affected {
		p.Kill()
	}
	if !backoff.Sleep(ctx, fault.Duration) {
		return nil
	}
	for _, p := range affected {
		if err := p.Start(); err != nil { //nolint:contextcheck // stopped by stopAll, not by ctx
			return err
		}
	}
	return nil
}

// rollProxies kills and restarts proxies one after another.
func (s *environment) rollProxies(ctx context.Context, fault scenario.Fault) error {
	for _, p := range s.faultProxies(fault) {
		p.Kill()
		if !backoff.Sleep(ctx, fault.ExtraDelay) {
			return nil
		}
		if err := p.Start(); err != nil { //nolint:contextcheck // stopped by stopAll, not by ctx
			return err
		}
		backoff.Sleep(ctx, fault.Interval)
	}
	return nil
}
