package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

const (
	// lostListFactor multiplies the registry's delay for endpoints that disappear without deregistering.
	lostListFactor = 4
	// replaceSlack is the time from a replaced endpoint's drain deadline to the end of its process.
	replaceSlack = 500 * time.Millisecond
	// flapRateSteps spreads the periods of flapping endpoints: each period is 1/flapRateSteps of the fault's interval
	// longer than the one before.
	flapRateSteps = 7
)

// faultEndpoints draws the endpoints that a fault affects.
func (s *stage) faultEndpoints(fault scenario.Fault) []*endpoint.Endpoint {
	s.mu.Lock()
	var names []string
	byName := map[string]*endpoint.Endpoint{}
	for _, e := range s.endpoints {
		if fault.Zone == "" || e.Zone == fault.Zone {
			names = append(names, e.Name)
			byName[e.Name] = e
		}
	}
	s.mu.Unlock()
	var struck []*endpoint.Endpoint
	for _, name := range s.targets(fault, names) {
		struck = append(struck, byName[name])
	}
	return struck
}

// forEachEndpoint runs a step concurrently for all endpoints that a fault affects, waits for all of them, and joins
// their errors. The step also gets the endpoint's index among those affected.
func (s *stage) forEachEndpoint(fault scenario.Fault, step func(e *endpoint.Endpoint, i int) error) error {
	struck := s.faultEndpoints(fault)
	errs := make([]error, len(struck))
	var wg sync.WaitGroup
	for i, e := range struck {
		wg.Go(func() { errs[i] = step(e, i) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// setFaultMode sets a fault mode on the endpoints that a fault affects, and clears it when the fault ends.
func (s *stage) setFaultMode(ctx context.Context, fault scenario.Fault, mode endpoint.FaultMode) error {
	s.setFaultModeOf(ctx, fault, mode, s.faultEndpoints(fault))
	return nil
}

func (s *stage) setFaultModeOf(ctx context.Context, fault scenario.Fault, mode endpoint.FaultMode,
	struck []*endpoint.Endpoint,
) {
	for _, e := range struck {
		e.SetFaultMode(mode)
	}
	backoff.Sleep(ctx, fault.For)
	for _, e := range struck {
		e.SetFaultMode(endpoint.FaultMode{})
		s.network.SlowDial(e.Name, 0)
	}
}

func (s *stage) hang(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{Hang: true, OnlyClass: fault.Kind})
}

func (s *stage) failRequests(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{ErrorFraction: fault.Size, OnlyClass: fault.Kind})
}

func (s *stage) answerTwice(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{AnswerTwice: true})
}

func (s *stage) slowHandshakes(ctx context.Context, fault scenario.Fault) error {
	struck := s.faultEndpoints(fault)
	for _, e := range struck {
		s.network.SlowDial(e.Name, fault.Extra)
	}
	s.setFaultModeOf(ctx, fault, endpoint.FaultMode{ExtraHandshakeMs: fault.Size}, struck)
	return nil
}

// killEndpoint ends an endpoint's process and publishes that it is gone after the registry's delay.
func (s *stage) killEndpoint(e *endpoint.Endpoint) {
	e.Kill()
	s.setPhase(e.Name, s.Scenario.ListLate, wire.PhaseGone)
}

// vanishEndpoints drops all traffic of endpoints until the fault ends, and then restarts their processes, which need a
// warm-up. The registry notices the loss late, as the endpoints do not deregister.
func (s *stage) vanishEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.network.SetBlackhole(e.Name, true)
		s.setPhase(e.Name, lostListFactor*s.Scenario.ListLate, wire.PhaseGone)
		backoff.Sleep(ctx, fault.For)
		e.Kill()
		s.network.SetBlackhole(e.Name, false)
		return s.restartCold(e)
	})
}

func (s *stage) crashEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.killEndpoint(e)
		backoff.Sleep(ctx, fault.For)
		return s.restartCold(e)
	})
}

func (s *stage) restartEndpoints(_ context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		e.Kill()
		return s.restartCold(e)
	})
}

// drainEndpoints drains endpoints and then ends them. They are not restarted.
func (s *stage) drainEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.drainThenKill(ctx, fault, e)
		return nil
	})
}

// preemptEndpoints drains endpoints, ends them, and starts a new endpoint for each after a pause.
func (s *stage) preemptEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.drainThenKill(ctx, fault, e)
		if !backoff.Sleep(ctx, fault.Extra) {
			return nil
		}
		return s.addSuccessor(e)
	})
}

func (s *stage) drainThenKill(ctx context.Context, fault scenario.Fault, e *endpoint.Endpoint) {
	s.setPhase(e.Name, s.Scenario.ListLate, wire.PhaseDraining)
	backoff.Sleep(ctx, s.Scenario.ListLate+fault.For)
	s.killEndpoint(e)
}

// replaceEndpoints replaces endpoints in a staggered way. For each, the new endpoint starts first; then the old one is
// drained and ends.
func (s *stage) replaceEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, i int) error {
		if !backoff.Sleep(ctx, time.Duration(i)*fault.Every) {
			return nil
		}
		if err := s.addSuccessor(e); err != nil {
			return err
		}
		backoff.Sleep(ctx, fault.Extra)
		s.setPhase(e.Name, s.Scenario.ListLate, wire.PhaseDraining)
		backoff.Sleep(ctx, s.Scenario.ListLate+s.Scenario.DrainGrace+replaceSlack)
		s.killEndpoint(e)
		return nil
	})
}

// flapEndpoints repeatedly kills and restarts endpoints until the fault ends. Each endpoint has a different period, and
// is up for 60% of it.
func (s *stage) flapEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, i int) error {
		until := time.Now().Add(fault.For)
		period := fault.Every + time.Duration(i)*fault.Every/flapRateSteps
		for ctx.Err() == nil && time.Now().Before(until) {
			if !backoff.Sleep(ctx, period*6/10) {
				return nil
			}
			e.Kill()
			backoff.Sleep(ctx, period*4/10)
			if err := s.restartCold(e); err != nil {
				return err
			}
		}
		return nil
	})
}

// restartCold starts an endpoint's process again, in need of a warm-up, and publishes it as ready after the registry's
// delay.
func (s *stage) restartCold(e *endpoint.Endpoint) error {
	if err := e.Start(true); err != nil {
		return err
	}
	s.updateEntry(e.Name, s.Scenario.ListLate, func(entry *wire.Entry) {
		entry.Phase = wire.PhaseReady
		entry.Started = registry.Stamp(time.Now())
	})
	return nil
}

// addSuccessor starts a new endpoint of the same group as the endpoint that it replaces, and publishes it after the
// registry's delay.
func (s *stage) addSuccessor(e *endpoint.Endpoint) error {
	group := slices.IndexFunc(s.Scenario.Groups, func(g scenario.Group) bool {
		return g.Zone == e.Zone && g.Machine == e.Machine
	})
	name := e.Name + "-next"
	if err := s.addEndpoint(name, group, true); err != nil {
		return fmt.Errorf("replace %s: %w", e.Name, err)
	}
	s.updateEntry(name, s.Scenario.ListLate, func(*wire.Entry) {})
	return nil
}
