package rehearsal

import (
	"context"

	"indigousher/internal/backoff"
	"indigousher/internal/scenario"
)

// faultHandover is the name of the fault in which pilots are replaced by handover. Scenarios that have it configure a
// handover socket for each pilot.
const faultHandover = "handover"

// faultHandler injects a fault and returns after it has ended, or when ctx is cancelled.
type faultHandler func(s *stage, ctx context.Context, fault scenario.Fault) error

// faultHandlers maps the names of faults in scenario files to their handlers. Faults without a handler, such as bursts,
// concern the clients and are injected by the load generator.
var faultHandlers = map[string]faultHandler{
	// Endpoints that answer incorrectly or not at all.
	"hang":           (*stage).hang,
	"fast_errors":    (*stage).failRequests,
	"class_fail":     (*stage).failRequests,
	"answers_twice":  (*stage).answerTwice,
	"handshake_slow": (*stage).slowHandshakes,

	// Endpoints whose processes end, restart or are replaced.
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

// playFault injects a fault and returns after it has ended, or when ctx is cancelled. Faults of the clients are
// ignored.
func (s *stage) playFault(ctx context.Context, fault scenario.Fault) error {
	handler := faultHandlers[fault.What]
	if handler == nil {
		return nil
	}
	return handler(s, ctx, fault)
}

func (s *stage) cutZone(ctx context.Context, fault scenario.Fault) error {
	s.network.Cut(fault.Zone, true)
	backoff.Sleep(ctx, fault.For)
	s.network.Cut(fault.Zone, false)
	return nil
}

func (s *stage) slowZone(ctx context.Context, fault scenario.Fault) error {
	s.network.Slow(fault.Zone, fault.Extra, fault.Loss)
	backoff.Sleep(ctx, fault.For)
	s.network.Slow(fault.Zone, 0, 0)
	return nil
}

// stopRegistry stops the registry for the duration of the fault. If the run ends first, it is not started again.
func (s *stage) stopRegistry(ctx context.Context, fault scenario.Fault) error {
	s.registry.Stop()
	if !backoff.Sleep(ctx, fault.For) {
		return nil
	}
	return s.registry.Start() //nolint:contextcheck // stopped by stopAll, not by ctx
}

func (s *stage) listAllNow(context.Context, scenario.Fault) error {
	s.listAll()
	return nil
}

func (s *stage) moveSlicesAway(_ context.Context, fault scenario.Fault) error {
	s.moveSlices(s.faultEndpoints(fault))
	return nil
}
