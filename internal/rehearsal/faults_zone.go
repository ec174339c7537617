package rehearsal

import (
	"context"
	"errors"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/wire"
)

// wholeZoneThreshold is the fault size (a fraction) above which a zone loss also kills the zone's proxies and pilots.
const wholeZoneThreshold = 0.5

// loseZone kills endpoints of a zone, and all its proxies and pilots if the fault is larger than wholeZoneThreshold.
// All are restarted when the fault ends.
func (s *environment) loseZone(ctx context.Context, fault scenario.Fault) error {
	endpoints := s.faultEndpoints(fault)
	for _, e := range endpoints {
		e.Kill()
		s.setPhase(e.Name, lossDelayFactor*s.Scenario.ListDelay, wire.PhaseGone)
	}
	var proxies []*proxy.Proxy
	var pilots []*pilot
	if fault.Size > wholeZoneThreshold {
		proxies = s.killProxiesOf(fault.Zone)
		pilots = s.killPilotsOf(fault.Zone)
	}
	if !backoff.Sleep(ctx, fault.Duration) {
		return nil
	}
	var errs []error
	for _, e := range endpoints {
		errs = append(errs, s.restartCold(e))
	}
	for _, p := range pilots {
		errs = append(errs, s.startPilot(p, false)) //nolint:contextcheck // stopped by stopAll, not by ctx
	}
	for _, p := range proxies {
		errs = append(errs, p.Start()) //nolint:contextcheck // stopped by stopAll, not by ctx
	}
	return errors.Join(errs...)
}

// killProxiesOf kills all proxies of a zone and returns them.
func (s *environment) killProxiesOf(zone string) []*proxy.Proxy {
	var killed []*proxy.Proxy
	for _, p := range s.proxies {
		if p.Zone == zone {
			p.Kill()
			killed = append(killed, p)
		}
	}
	return killed
}

// killPilotsOf kills all pilots of a zone and returns them.
func (s *environment) killPilotsOf(zone string) []*pilot {
	var killed []*pilot
	for _, p := range s.pilots {
		if p.zone == zone {
			s.stopPilot(p, true)
			killed = append(killed, p)
		}
	}
	return killed
}
