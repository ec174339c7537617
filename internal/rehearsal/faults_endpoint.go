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
	// lostListFactor is how many times as long the registry takes to notice an endpoint that vanishes without a word.
	lostListFactor = 4
	// replaceSlack is how long after its drain deadline a replaced endpoint ends.
	replaceSlack = 500 * time.Millisecond
	// flapRateSteps spreads the periods of flapping endpoints: each takes a part of so many longer than the one before.
	flapRateSteps = 7
)

// faultEndpoints draws the endpoints that a fault strikes.
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

// forEachEndpoint runs a step for all endpoints that a fault strikes at once, waits for all, and joins their errors.
// The step also gets the place of the endpoint in the order.
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

// setFaultMode has some endpoints answer otherwise until the fault ends.
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
	backoff.Sleep(ctx, fault.Duration)
	for _, e := range struck {
		e.SetFaultMode(endpoint.FaultMode{})
		s.network.SlowDial(e.Name, 0)
	}
}

func (s *stage) hang(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{Hang: true, OnlyClass: fault.Class})
}

func (s *stage) failRequests(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{ErrorFraction: fault.Size, OnlyClass: fault.Class})
}

func (s *stage) answerTwice(ctx context.Context, fault scenario.Fault) error {
	return s.setFaultMode(ctx, fault, endpoint.FaultMode{AnswerTwice: true})
}

func (s *stage) slowHandshakes(ctx context.Context, fault scenario.Fault) error {
	struck := s.faultEndpoints(fault)
	for _, e := range struck {
		s.network.SlowDial(e.Name, fault.ExtraDelay)
	}
	s.setFaultModeOf(ctx, fault, endpoint.FaultMode{ExtraHandshakeMs: fault.Size}, struck)
	return nil
}

// killEndpoint ends an endpoint's process and has the list say so.
func (s *stage) killEndpoint(e *endpoint.Endpoint) {
	e.Kill()
	s.setPhase(e.Name, s.Scenario.ListDelay, wire.PhaseGone)
}

// vanishEndpoints cuts endpoints off; at the end they come back cold.
func (s *stage) vanishEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.network.SetBlackhole(e.Name, true)
		s.setPhase(e.Name, lostListFactor*s.Scenario.ListDelay, wire.PhaseGone)
		backoff.Sleep(ctx, fault.Duration)
		e.Kill()
		s.network.SetBlackhole(e.Name, false)
		return s.restartCold(e)
	})
}

func (s *stage) crashEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.killEndpoint(e)
		backoff.Sleep(ctx, fault.Duration)
		return s.restartCold(e)
	})
}

func (s *stage) restartEndpoints(_ context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		e.Kill()
		return s.restartCold(e)
	})
}

// drainEndpoints has endpoints drain and end for good.
func (s *stage) drainEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.drainThenKill(ctx, fault, e)
		return nil
	})
}

// preemptEndpoints has endpoints drain, end, and later be replaced by new ones.
func (s *stage) preemptEndpoints(ctx context.Context, fault scenario.Fault) error {
	return s.forEachEndpoint(fault, func(e *endpoint.Endpoint, _ int) error {
		s.drainThenKill(ctx, fault, e)
		if !backoff.Sleep(ctx, fault.ExtraDelay) {
			return nil
		}
		return s.addSuccessor(e)
	})
}

func (s *stage) drainThenKill(ctx context.Context, fault scenario.Fault, e *endpoint.Endpoint) {
	s.setPhase(e.Name, s.Scenario.ListDelay, wire.PhaseDraining)
	backoff.Sleep(ctx, s.Scenario.ListDelay+fault.Duration)
	s.killEndpoint(e)
}

// replaceEndpoints replaces endpoints one after another: the new one starts first, then the old one drains and ends.
func (s *stage) replaceEndpoints(ctx context.Context, fault scenario.Fault) error {
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

// flapEndpoints has endpoints fail and recover by turns, each with a period of its own.
func (s *stage) flapEndpoints(ctx context.Context, fault scenario.Fault) error {
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

// restartCold starts an endpoint's process and has the list say so.
func (s *stage) restartCold(e *endpoint.Endpoint) error {
	if err := e.Start(true); err != nil {
		return err
	}
	s.updateEntry(e.Name, s.Scenario.ListDelay, func(entry *wire.Entry) {
		entry.Phase = wire.PhaseReady
		entry.Started = registry.Stamp(time.Now())
	})
	return nil
}

// addSuccessor starts a new endpoint beside one that goes, of the same group.
func (s *stage) addSuccessor(e *endpoint.Endpoint) error {
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
