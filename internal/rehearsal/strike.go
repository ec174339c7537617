package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"indigousher/internal/backoff"
	"indigousher/internal/config"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// strike plays one trouble from its beginning to its end.
func (s *stage) strike(ctx context.Context, t scenario.Fault) error {
	switch t.What {
	case "hang", "fast_errors", "class_fail", "handshake_slow", "answers_twice":
		s.moods(ctx, t)
	case "vanish", "crash", "restart", "drain", "preempt", "replace", "flapping":
		return s.each(s.endpointsOf(t), func(e *endpoint.Endpoint, i int) error { return s.machine(ctx, t, e, i) })
	case "zone_cut":
		s.net.Cut(t.Zone, true)
		backoff.Sleep(ctx, t.For)
		s.net.Cut(t.Zone, false)
	case "slow_link":
		s.net.Slow(t.Zone, t.Extra, t.Loss)
		backoff.Sleep(ctx, t.For)
		s.net.Slow(t.Zone, 0, 0)
	case "zone_loss":
		return s.zoneLoss(ctx, t)
	case "proxy_crash", "proxy_roll", "reconnect", "counter_down", "mute_proxy", "report_burst", "silent":
		return s.proxyTrouble(ctx, t)
	case "pilot_kill", "pilot_roll", "reload", "handover":
		return s.pilotTrouble(ctx, t)
	case "list_down":
		s.list.Stop()
		backoff.Sleep(ctx, t.For)
		if ctx.Err() == nil {
			return s.list.Start()
		}
	case "list_all":
		s.listAll()
	case "slice_move":
		s.moveSlices(s.endpointsOf(t))
	}
	return nil // the others are the clients' doing
}

// each runs a step for several at once and joins what went wrong.
func (s *stage) each(list []*endpoint.Endpoint, step func(*endpoint.Endpoint, int) error) error {
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, e := range list {
		wg.Go(func() { errs[i] = step(e, i) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (s *stage) endpointsOf(t scenario.Fault) (struck []*endpoint.Endpoint) {
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
	for _, n := range s.chosen(t, names) {
		struck = append(struck, by[n])
	}
	return struck
}

// moods plays what changes how endpoints answer.
func (s *stage) moods(ctx context.Context, t scenario.Fault) {
	struck := s.endpointsOf(t)
	for _, e := range struck {
		switch t.What {
		case "hang":
			e.SetFaultMode(endpoint.FaultMode{Hang: true, OnlyClass: t.Kind})
		case "fast_errors", "class_fail":
			e.SetFaultMode(endpoint.FaultMode{ErrorFraction: t.Size, OnlyClass: t.Kind})
		case "answers_twice":
			e.SetFaultMode(endpoint.FaultMode{AnswerTwice: true})
		case "handshake_slow":
			e.SetFaultMode(endpoint.FaultMode{ExtraHandshakeMs: t.Size})
			s.net.SlowDial(e.Name, t.Extra)
		}
	}
	backoff.Sleep(ctx, t.For)
	for _, e := range struck {
		e.SetFaultMode(endpoint.FaultMode{})
		s.net.SlowDial(e.Name, 0)
	}
}

// machine plays what happens to one endpoint's process.
func (s *stage) machine(ctx context.Context, t scenario.Fault, e *endpoint.Endpoint, i int) error {
	late := s.Scenario.ListLate
	switch t.What {
	case "vanish":
		s.net.SetBlackhole(e.Name, true)
		s.tell(e.Name, 4*late, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
		backoff.Sleep(ctx, t.For)
		e.Kill()
		s.net.SetBlackhole(e.Name, false)
		return s.cold(e)
	case "crash":
		e.Kill()
		s.tell(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
		backoff.Sleep(ctx, t.For)
		return s.cold(e)
	case "restart":
		e.Kill()
		return s.cold(e)
	case "drain", "preempt":
		s.tell(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseDraining })
		backoff.Sleep(ctx, late+t.For)
		e.Kill()
		s.tell(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
		if t.What == "preempt" && backoff.Sleep(ctx, t.Extra) {
			return s.successor(e, late)
		}
	case "replace": // one after another: the new one first
		if !backoff.Sleep(ctx, time.Duration(i)*t.Every) {
			return nil
		}
		if err := s.successor(e, late); err != nil {
			return err
		}
		backoff.Sleep(ctx, t.Extra)
		s.tell(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseDraining })
		backoff.Sleep(ctx, late+s.Scenario.DrainGrace+500*time.Millisecond)
		e.Kill()
		s.tell(e.Name, late, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
	case "flapping":
		return s.flap(ctx, t, e, i)
	}
	return nil
}

// cold starts an endpoint's process again and has the list say so.
func (s *stage) cold(e *endpoint.Endpoint) error {
	if err := e.Start(true); err != nil {
		return err
	}
	s.tell(e.Name, s.Scenario.ListLate, func(x *wire.Entry) {
		x.Phase, x.Started = wire.PhaseReady, registry.Stamp(time.Now())
	})
	return nil
}

// successor starts a new machine beside one that goes.
func (s *stage) successor(e *endpoint.Endpoint, late time.Duration) error {
	group := slices.IndexFunc(s.Scenario.Groups, func(g scenario.Group) bool { return g.Zone == e.Zone && g.Machine == e.Machine })
	name := e.Name + "-next"
	if _, err := s.addEndpoint(name, group, true); err != nil {
		return fmt.Errorf("replace %s: %w", e.Name, err)
	}
	s.tell(name, late, func(*wire.Entry) {})
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
		if err := s.cold(e); err != nil {
			return err
		}
	}
	return nil
}

// zoneLoss takes a zone's endpoints, and with a size over a half its proxies and pilots.
func (s *stage) zoneLoss(ctx context.Context, t scenario.Fault) error {
	struck := s.endpointsOf(t)
	for _, e := range struck {
		e.Kill()
		s.tell(e.Name, 4*s.Scenario.ListLate, func(x *wire.Entry) { x.Phase = wire.PhaseGone })
	}
	var proxies []*proxy.Proxy
	var pilots []*seat
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
		errs = append(errs, s.cold(e))
	}
	for _, st := range pilots {
		errs = append(errs, s.startPilot(st, false))
	}
	for _, p := range proxies {
		errs = append(errs, p.Start())
	}
	return errors.Join(errs...)
}

func (s *stage) proxyTrouble(ctx context.Context, t scenario.Fault) error {
	var names []string
	by := map[string]*proxy.Proxy{}
	for _, p := range s.proxies {
		names, by[p.Name] = append(names, p.Name), p
	}
	struck := s.chosen(t, names)
	switch t.What {
	case "reconnect":
		for _, n := range struck {
			by[n].DropStream()
		}
	case "counter_down":
		for _, n := range struck {
			s.unreached[n].Store(true)
			by[n].DropStream()
		}
		backoff.Sleep(ctx, t.For)
		for _, n := range struck {
			s.unreached[n].Store(false)
		}
	case "mute_proxy":
		for _, n := range struck {
			s.muted[n].Store(true)
		}
		backoff.Sleep(ctx, t.For)
		for _, n := range struck {
			s.muted[n].Store(false)
		}
	case "silent": // in the middle of whatever it says
		for _, n := range struck {
			s.net.SetBlackhole(n, true)
		}
		backoff.Sleep(ctx, t.For)
		for _, n := range struck {
			s.net.SetBlackhole(n, false)
		}
	case "report_burst":
		for _, n := range struck {
			s.reports[n].Store(int64(t.Size * 1000))
		}
		backoff.Sleep(ctx, t.For)
		for _, n := range struck {
			s.reports[n].Store(1000)
		}
	case "proxy_crash":
		for _, n := range struck {
			by[n].Kill()
		}
		if !backoff.Sleep(ctx, t.For) {
			return nil
		}
		for _, n := range struck {
			if err := by[n].Start(); err != nil {
				return err
			}
		}
	case "proxy_roll":
		for _, n := range struck {
			by[n].Kill()
			if !backoff.Sleep(ctx, t.Extra) {
				return nil
			}
			if err := by[n].Start(); err != nil {
				return err
			}
			backoff.Sleep(ctx, t.Every)
		}
	}
	return nil
}

func (s *stage) pilotTrouble(ctx context.Context, t scenario.Fault) error {
	var names []string
	for _, st := range s.pilots {
		names = append(names, st.name)
	}
	var struck []*seat
	for _, n := range s.chosen(t, names) {
		struck = append(struck, s.pilots[slices.Index(names, n)])
	}
	switch t.What {
	case "handover": // again and again, each of them in turn
		until := time.Now().Add(t.For)
		for ctx.Err() == nil && time.Now().Before(until) {
			for _, st := range struck {
				if err := s.handOver(st); err != nil {
					return err
				}
				s.own.Add(eventlog.Event{What: eventlog.Note, Peer: st.name, Text: "handed over"})
				backoff.Sleep(ctx, t.Every)
			}
		}
	case "pilot_kill":
		for _, st := range struck {
			s.stopPilot(st, true)
		}
		if !backoff.Sleep(ctx, t.For) {
			return nil
		}
		for _, st := range struck {
			if err := s.startPilot(st, false); err != nil {
				return err
			}
		}
	case "pilot_roll":
		for _, st := range struck {
			s.stopPilot(st, false)
			if !backoff.Sleep(ctx, t.Extra) {
				return nil
			}
			if err := s.startPilot(st, false); err != nil {
				return err
			}
			backoff.Sleep(ctx, t.Every)
		}
	case "reload":
		for _, st := range struck {
			if err := s.reload(ctx, st, t); err != nil {
				return err
			}
		}
	}
	return nil
}

// reload hands a running pilot new terms: a channel of another pace, and a zone list that wants a restart.
func (s *stage) reload(ctx context.Context, st *seat, t scenario.Fault) error {
	st.mu.Lock()
	h, now := st.h, st.terms
	st.mu.Unlock()
	if h == nil {
		return nil
	}
	d := h.Daemon()
	now.LinesPerS *= t.Size
	now.Kinds = append([]config.RequestClass{}, now.Kinds...)
	now.MaxStreams++
	changed, restart, err := d.Reload(ctx, &now)
	if err != nil {
		return err
	}
	if strings.Join(changed, ",") != "LinesPerS" || strings.Join(restart, ",") != "MaxStreams" {
		return fmt.Errorf("reload of %s changed %v and left %v", st.name, changed, restart)
	}
	return nil
}
