package rehearsal

import (
	"context"
	"errors"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/wire"
)

// wholeZoneSize is the size of a zone loss above which the zone's proxies and pilots are lost as well.
const wholeZoneSize = 0.5

// loseZone ends a zone's endpoints, and its proxies and pilots where the loss is large. All come back at the end.
func (s *stage) loseZone(ctx context.Context, fault scenario.Fault) error {
	endpoints := s.faultEndpoints(fault)
	for _, e := range endpoints {
		e.Kill()
		s.setPhase(e.Name, lostListFactor*s.Scenario.ListDelay, wire.PhaseGone)
	}
	var proxies []*proxy.Proxy
	var pilots []*pilot
	if fault.Size > wholeZoneSize {
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
		errs = append(errs, s.startPilot(p, false)) //nolint:contextcheck // ends in stopAll, not with the fault
	}
	for _, p := range proxies {
		errs = append(errs, p.Start()) //nolint:contextcheck // ends in stopAll, not with the fault
	}
	return errors.Join(errs...)
}

// killProxiesOf ends the proxies of a zone and returns them.
func (s *stage) killProxiesOf(zone string) []*proxy.Proxy {
	var killed []*proxy.Proxy
	for _, p := range s.proxies {
		if p.Zone == zone {
			p.Kill()
			killed = append(killed, p)
		}
	}
	return killed
}

// killPilotsOf ends the pilots of a zone and returns them.
func (s *stage) killPilotsOf(zone string) []*pilot {
	var killed []*pilot
	for _, p := range s.pilots {
		if p.zone == zone {
			s.stopPilot(p, true)
			killed = append(killed, p)
		}
	}
	return killed
}
