package rehearsal

import (
	"context"
	"fmt"
	"slices"
	"time"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

func (s *stage) faultEndpoints(t scenario.Fault) (struck []*endpoint.Endpoint) {
	s.mu.Lock()
	var names []string
	by := map[string]*endpoint.Endpoint{}
	for _, e := range s.endpoints {
		if t.Zone == "" || e.Zone == t.Zone {
			names = append(names, e.Name)
			by[e.Name] = e
		}
	}
	s.mu.Unlock()
	for _, n := range s.targets(t, names) {
		struck = append(struck, by[n])
	}
	return struck
}

// setFaultMode plays what changes how endpoints answer.
func (s *stage) setFaultMode(ctx context.Context, t scenario.Fault) {
	struck := s.faultEndpoints(t)
	for _, e := range struck {
		switch t.What {
		case "hang":
			e.SetFaultMode(endpoint.FaultMode{Hang: true, OnlyFor: t.Kind})
		case "fast_errors", "class_fail":
			e.SetFaultMode(endpoint.FaultMode{Errors: t.Size, OnlyFor: t.Kind})
		case "answers_twice":
			e.SetFaultMode(endpoint.FaultMode{Twice: true})
		case "handshake_slow":
			e.SetFaultMode(endpoint.FaultMode{Shakes: t.Size})
			s.network.SlowDial(e.Name, t.Extra)
		}
	}
	backoff.Sleep(ctx, t.For)
	for _, e := range struck {
		e.SetFaultMode(endpoint.FaultMode{})
		s.network.SlowDial(e.Name, 0)
	}
}

// playLifecycle plays what happens to one endpoint's process.
func (s *stage) playLifecycle(ctx context.Context, t scenario.Fault, e *endpoint.Endpoint, i int) error {
	late := s.Scenario.ListLate
	switch t.What {
	case "vanish":
		s.network.SetBlackhole(e.Name, true)
		s.updateEntry(e.Name, 4*late, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
		backoff.Sleep(ctx, t.For)
		e.Kill()
		s.network.SetBlackhole(e.Name, false)
		return s.restartCold(e)
	case "crash":
		e.Kill()
		s.updateEntry(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
		backoff.Sleep(ctx, t.For)
		return s.restartCold(e)
	case "restart":
		e.Kill()
		return s.restartCold(e)
	case "drain", "preempt":
		s.updateEntry(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseDraining })
		backoff.Sleep(ctx, late+t.For)
		e.Kill()
		s.updateEntry(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
		if t.What == "preempt" && backoff.Sleep(ctx, t.Extra) {
			return s.addSuccessor(e, late)
		}
	case "replace": // one after another: the new one first
		if !backoff.Sleep(ctx, time.Duration(i)*t.Every) {
			return nil
		}
		if err := s.addSuccessor(e, late); err != nil {
			return err
		}
		backoff.Sleep(ctx, t.Extra)
		s.updateEntry(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseDraining })
		backoff.Sleep(ctx, late+s.Scenario.DrainGrace+500*time.Millisecond)
		e.Kill()
		s.updateEntry(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
	case "flapping":
		return s.flap(ctx, t, e, i)
	}
	return nil
}

// restartCold starts an endpoint's process again and has the list say so.
func (s *stage) restartCold(e *endpoint.Endpoint) error {
	if err := e.Start(true); err != nil {
		return err
	}
	s.updateEntry(e.Name, s.Scenario.ListLate, func(x *wire.Entry) {
		x.Phase, x.Started = wire.PhaseReady, registry.Stamp(time.Now())
	})
	return nil
}

// addSuccessor starts a new machine beside one that goes.
func (s *stage) addSuccessor(e *endpoint.Endpoint, late time.Duration) error {
	group := slices.IndexFunc(s.Scenario.Groups, func(g scenario.Group) bool { return g.Zone == e.Zone && g.Machine == e.Machine })
	name := e.Name + "-next"
	if _, err := s.addEndpoint(name, group, true); err != nil {
		return fmt.Errorf("replace %s: %w", e.Name, err)
	}
	s.updateEntry(name, late, func(*wire.Entry) {})
	return nil
}

// flap lets an endpoint fail and recover by turns, each of its own length.
func (s *stage) flap(ctx context.Context, t scenario.Fault, e *endpoint.Endpoint, i int) error {
	until := time.Now().Add(t.For)
	turn := t.Every + time.Duration(i)*t.Every/7
	for ctx.Err() == nil && time.Now().Before(until) {
		backoff.Sleep(ctx, turn*6/10)
		if ctx.Err() != nil {
			return nil
		}
		e.Kill()
		backoff.Sleep(ctx, turn*4/10)
		if err := s.restartCold(e); err != nil {
			return err
		}
	}
	return nil
}
