package rehearsal

import (
	"context"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
)

// faultHandover is the name of the fault for which pilots need a handover socket.
const faultHandover = "handover"

// faultHandler plays a fault from its beginning to its end, or until ctx ends.
type faultHandler func(s *stage, ctx context.Context, fault scenario.Fault) error

// faultHandlers play the faults by their names in scenario files. Names that are not here, as bursts, are faults of the
// clients: the load generator plays them.
var faultHandlers = map[string]faultHandler{
	// Endpoints that answer otherwise than they should.
	"hang":           (*stage).hang,
	"fast_errors":    (*stage).failRequests,
	"class_fail":     (*stage).failRequests,
	"answers_twice":  (*stage).answerTwice,
	"handshake_slow": (*stage).slowHandshakes,

	// Endpoints' processes.
	"vanish":   (*stage).vanishEndpoints,
	"crash":    (*stage).crashEndpoints,
	"restart":  (*stage).restartEndpoints,
	"drain":    (*stage).drainEndpoints,
	"preempt":  (*stage).preemptEndpoints,
	"replace":  (*stage).replaceEndpoints,
	"flapping": (*stage).flapEndpoints,

	// Network, zones and registry.
	"zone_cut":   (*stage).cutZone,
	"slow_link":  (*stage).slowZone,
	"zone_loss":  (*stage).loseZone,
	"list_down":  (*stage).stopRegistry,
	"list_all":   (*stage).listAllNow,
	"slice_move": (*stage).moveSlicesAway,

	// Proxies.
	"reconnect":    (*stage).reconnectProxies,
	"counter_down": (*stage).isolateProxies,
	"mute_proxy":   (*stage).muteProxies,
	"silent":       (*stage).silenceProxies,
	"report_burst": (*stage).floodReports,
	"proxy_crash":  (*stage).crashProxies,
	"proxy_roll":   (*stage).rollProxies,

	// Pilots.
	"pilot_kill":  (*stage).killPilots,
	"pilot_roll":  (*stage).rollPilots,
	"reload":      (*stage).reloadPilots,
	faultHandover: (*stage).handOverPilots,
}

// playFault plays a fault from its beginning to its end, or until ctx ends.
func (s *stage) playFault(ctx context.Context, fault scenario.Fault) error {
	handler := faultHandlers[fault.Type]
	if handler == nil {
		return nil
	}
	return handler(s, ctx, fault)
}

func (s *stage) cutZone(ctx context.Context, fault scenario.Fault) error {
	s.network.Cut(fault.Zone, true)
	backoff.Sleep(ctx, fault.Duration)
	s.network.Cut(fault.Zone, false)
	return nil
}

func (s *stage) slowZone(ctx context.Context, fault scenario.Fault) error {
	s.network.Slow(fault.Zone, fault.ExtraDelay, fault.Loss)
	backoff.Sleep(ctx, fault.Duration)
	s.network.Slow(fault.Zone, 0, 0)
	return nil
}

// stopRegistry takes the registry away. At the end of the run it stays so.
func (s *stage) stopRegistry(ctx context.Context, fault scenario.Fault) error {
	s.registry.Stop()
	if !backoff.Sleep(ctx, fault.Duration) {
		return nil
	}
	return s.registry.Start() //nolint:contextcheck // ends in stopAll, not with the fault
}

func (s *stage) listAllNow(context.Context, scenario.Fault) error {
	s.listAll()
	return nil
}

func (s *stage) moveSlicesAway(_ context.Context, fault scenario.Fault) error {
	s.moveSlices(s.faultEndpoints(fault))
	return nil
}
