package rehearsal

import (
	"context"
	"errors"
	"sync"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
)

// playFault plays one trouble from its beginning to its end.
func (s *stage) playFault(ctx context.Context, t scenario.Fault) error {
	switch t.What {
	case "hang", "fast_errors", "class_fail", "handshake_slow", "answers_twice":
		s.setFaultMode(ctx, t)
	case "vanish", "crash", "restart", "drain", "preempt", "replace", "flapping":
		return s.forEachEndpoint(s.faultEndpoints(t), func(e *endpoint.Endpoint, i int) error { return s.playLifecycle(ctx, t, e, i) })
	case "zone_cut":
		s.network.Cut(t.Zone, true)
		backoff.Sleep(ctx, t.For)
		s.network.Cut(t.Zone, false)
	case "slow_link":
		s.network.Slow(t.Zone, t.Extra, t.Loss)
		backoff.Sleep(ctx, t.For)
		s.network.Slow(t.Zone, 0, 0)
	case "zone_loss":
		return s.zoneLoss(ctx, t)
	case "proxy_crash", "proxy_roll", "reconnect", "counter_down", "mute_proxy", "report_burst", "silent":
		return s.playProxyFault(ctx, t)
	case "pilot_kill", "pilot_roll", "reload", "handover":
		return s.playPilotFault(ctx, t)
	case "list_down":
		s.registry.Stop()
		backoff.Sleep(ctx, t.For)
		if ctx.Err() == nil {
			return s.registry.Start()
		}
	case "list_all":
		s.listAll()
	case "slice_move":
		s.moveSlices(s.faultEndpoints(t))
	}
	return nil // the others are the clients' doing
}

// forEachEndpoint runs a step for several at once and joins what went wrong.
func (s *stage) forEachEndpoint(list []*endpoint.Endpoint, step func(*endpoint.Endpoint, int) error) error {
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, e := range list {
		wg.Go(func() { errs[i] = step(e, i) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
