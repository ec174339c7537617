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
	// lossDelayFactor multiplies the registry's delay for endpoints that disappear without deregistering.
	lossDelayFactor = 4
	// replaceSlack is the time from a replaced endpoint's drain deadline to the end of its process.
	replaceSlack = 500 * time.Millisecond
	// flapRateSteps spreads the periods of flapping endpoints: each period is 1/flapRateSteps of the fault's interval
	// longer than the one before.
	flapRateSteps = 7
)

// faultEndpoints draws the endpoints that a fault affects.
func (s *environment) faultEndpoints(fault scenario.Fault) []*endpoint.Endpoint {
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
	var affected []*endpoint.Endpoint
	for _, name := range s.targets(fault, names) {
		affected = append(affected, byName[name])
	}
	return affected
}

// forEachEndpoint runs a step concurrently for all endpoints that a fault affects, waits for all of them, and joins
// their errors. The step also gets the endpoint's index among those affected.
func (s *environment) forEachEndpoint(fault scenario.Fault, step func(e *endpoint.Endpoint, i int) error) error {
	affected := s.faultEndpoints(fault)
	errs := make([]error, len(affected))
	var wg sync.WaitGroup
	for i, e := range affected {
		wg.Go(func() { errs[i] = step(e, i) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// setFaultMode sets a fault mode on the endpoints that a fault affects, and clears it when the fault ends.
func (s *environment) setFaultMode(ctx context.Context, fault scenario.Fault, mode endpoint.FaultMode) error {
	s.setFaultModeOf(ctx, fault, mode, s.faultEndpoints(fault))
	return nil
}

func (s *environment) setFaultModeOf(ctx context.Context, fault scenario.Fault, mode endpoint.FaultMode,
	affected []*endpoint.Endpoint,
) {
	for _, e := range affected {
		e.SetFaultMode(mode)
	}
	backoff.Sleep(ctx, fault.Duration)
	for _, e := range affected {
		e.SetFaultMode(endpoint.FaultMode{})
		s.network.SlowDial(e.Name, 0)
	}
}

func (s *environment) hang(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{Hang: true, OnlyClass: fault.Class})
}

func (s *environment) failRequests(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{ErrorFraction: fault.Size, OnlyClass: fault.Class})
}

func (s *environment) answerTwice(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{AnswerTwice: true})
}

func (s *environment) slowHandshakes(ctx context.Context, fault scenario.Fault) error {
	affected := s.faultEndpoints(fault)
	for _, e := range affected {
		s.network.SlowDial(e.Name, fault.ExtraDelay)
	}
	s.setFaultModeOf(ctx, fault, endpoint.FaultMode{ExtraHandshakeMs: fault.Size}, affected)
	return nil
}

// killEndpoint ends an endpoint's process and publishes that it is gone after the registry's delay.
func (s *environment) killEndpoint(e *endpoint.Endpoint) {
	e.Kill()
	s.setPhase(e.Name, s.Scenario.ListDelay, wire.PhaseGone)
}

// vanishEndpoints drops all traffic of endpoints until the fault ends, and then restarts their processes, which need a
// warm-up. The registry notices the loss late, as the endpoints do not deregister.
func (s *environment) vanishEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.network.SetBlackhole(e.Name, true)
		s.setPhase(e.Name, lossDelayFactor*s.Scenario.ListDelay, wire.PhaseGone)
		backoff.Sleep(ctx, fault.Duration)
		e.Kill()
		s.network.SetBlackhole(e.Name, false)
		return s.restartCold(e)
	})
}

func (s *environment) crashEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.killEndpoint(e)
		backoff.Sleep(ctx, fault.Duration)
		return s.restartCold(e)
	})
}

func (s *environment) restartEndpoints(_ context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		e.Kill()
		return s.restartCold(e)
	})
}

// drainEndpoints drains endpoints and then ends them. They are not restarted.
func (s *environment) drainEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.drainThenKill(ctx, fault, e)
		return nil
	})
}

// preemptEndpoints drains endpoints, ends them, and starts a new endpoint for each after a pause.
func (s *environment) preemptEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.drainThenKill(ctx, fault, e)
		if !backoff.Sleep(ctx, fault.ExtraDelay) {
			return nil
		}
		return s.addSuccessor(e)
	})
}

func (s *environment) drainThenKill(ctx context.Context, fault scenario.Fault, e *endpoint.Endpoint) {
	s.setPhase(e.Name, s.Scenario.ListDelay, wire.PhaseDraining)
	backoff.Sleep(ctx, s.Scenario.ListDelay+fault.Duration)
	s.killEndpoint(e)
}

// replaceEndpoints replaces endpoints in a staggered way. For each, the new endpoint starts first; then the old one is
// drained and ends.
func (s *environment) replaceEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, i int) error {
		if !backoff.Sleep(ctx, time.Duration(i)*fault.Interval) {
			return nil
		}
		if err := s.addSuccessor(e); err != nil {
			return err
		}
		backoff.Sleep(ctx, fault.ExtraDelay)
		s.setPhase(e.Name, s.Scenario.ListDelay, wire.PhaseDraining)
		backoff.Sleep(ctx, s.Scenario.ListDelay+s.Scenario.DrainGrace+replaceSlack)
		s.killEndpoint(e)
		return nil
	})
}

// flapEndpoints repeatedly kills and restarts endpoints until the fault ends. Each endpoint has a different period, and
// is up for 60% of it.
func (s *environment) flapEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, i int) error {
		until := time.Now().Add(fault.Duration)
		period := fault.Interval + time.Duration(i)*fault.Interval/flapRateSteps
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
func (s *environment) restartCold(e *endpoint.Endpoint) error {
	if err := e.Start(true); err != nil {
		return err
	}
	s.updateEntry(e.Name, s.Scenario.ListDelay, func(entry *wire.Entry) {
		entry.Phase = wire.PhaseReady
		entry.Started = registry.Stamp(time.Now())
	})
	return nil
}

// addSuccessor starts a new endpoint of the same group as the endpoint that it replaces, and publishes it after the
// registry's delay.
func (s *environment) addSuccessor(e *endpoint.Endpoint) error {
	group := slices.IndexFunc(s.Scenario.Groups, func(g scenario.Group) bool {
		return g.Zone == e.Zone && g.Machine == e.Machine
	})
	name := e.Name + "-next"
	if err := s.addEndpoint(name, group, true); err != nil {
		return fmt.Errorf("replace %s: %w", e.Name, err)
	}
	s.updateEntry(name, s.Scenario.ListDelay, func(*wire.Entry) {})
	return nil
}
