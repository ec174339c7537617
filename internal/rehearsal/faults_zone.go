package rehearsal

import (
	"context"
	"errors"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/wire"
)

// zoneLoss takes a zone's endpoints, and with a size over a half its proxies and pilots.
func (s *stage) zoneLoss(ctx context.Context, t scenario.Fault) error {
	struck := s.faultEndpoints(t)
	for _, e := range struck {
		e.Kill()
		s.updateEntry(e.Name, 4*s.Scenario.ListLate, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
	}
	var proxies []*proxy.Proxy
	var pilots []*pilot
	if t.Size > 0.5 {
		for _, p := range s.proxies {
			if p.Zone == t.Zone {
				p.Kill()
				proxies = append(proxies, p)
			}
		}
		for _, st := range s.pilots {
			if st.zone == t.Zone {
				s.stopPilot(st, true)
				pilots = append(pilots, st)
			}
		}
	}
	if !backoff.Sleep(ctx, t.For) {
		return nil
	}
	var errs []error
	for _, e := range struck {
		errs = append(errs, s.restartCold(e))
	}
	for _, st := range pilots {
		errs = append(errs, s.startPilot(st, false))
	}
	for _, p := range proxies {
		errs = append(errs, p.Start())
	}
	return errors.Join(errs...)
}
