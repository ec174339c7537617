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
type faultHandler func(s *environment, ctx context.Context, fault scenario.Fault) error

// faultHandlers maps the names of faults in scenario files to their handlers. Faults without a handler, such as bursts,
// concern the clients and are injected by the load generator.
var faultHandlers = map[string]faultHandler{
	// Endpoints that answer incorrectly or not at all.
	"hang":           (*environment).hang,
	"fast_errors":    (*environment).failRequests,
	"class_fail":     (*environment).failRequests,
	"answers_twice":  (*environment).answerTwice,
	"handshake_slow": (*environment).slowHandshakes,

	// Endpoints whose processes end, restart or are replaced.
	"vanish":   (*environment).vanishEndpoints,
	"crash":    (*environment).crashEndpoints,
	"restart":  (*environment).restartEndpoints,
	"drain":    (*environment).drainEndpoints,
	"preempt":  (*environment).preemptEndpoints,
	"replace":  (*environment).replaceEndpoints,
	"flapping": (*environment).flapEndpoints,

	// Network, zones and registry.
	"zone_cut":   (*environment).cutZone,
	"slow_link":  (*environment).slowZone,
	"zone_loss":  (*environment).loseZone,
	"list_down":  (*environment).stopRegistry,
	"list_all":   (*environment).listAllNow,
	"slice_move": (*environment).moveSlicesAway,

	// Proxies.
	"reconnect":    (*environment).reconnectProxies,
	"counter_down": (*environment).isolateProxies,
	"mute_proxy":   (*environment).muteProxies,
	"silent":       (*environment).silenceProxies,
	"report_burst": (*environment).floodReports,
	"proxy_crash":  (*environment).crashProxies,
	"proxy_roll":   (*environment).rollProxies,

	// Pilots.
	"pilot_kill":  (*environment).killPilots,
	"pilot_roll":  (*environment).rollPilots,
	"reload":      (*environment).reloadPilots,
	faultHandover: (*environment).handOverPilots,
}

// injectFault injects a fault and returns after it has ended, or when ctx is cancelled. Faults of the clients are
// ignored.
func (s *environment) injectFault(ctx context.Context, fault scenario.Fault) error {
	handler := faultHandlers[fault.Type]
	if handler == nil {
		return nil
	}
	return handler(s, ctx, fault)
}

func (s *environment) cutZone(ctx context.Context, fault scenario.Fault) error {
	s.network.Cut(fault.Zone, true)
	backoff.Sleep(ctx, fault.Duration)
	s.network.Cut(fault.Zone, false)
	return nil
}

func (s *environment) slowZone(ctx context.Context, fault scenario.Fault) error {
	s.network.Slow(fault.Zone, fault.ExtraDelay, fault.Loss)
	backoff.Sleep(ctx, fault.Duration)
	s.network.Slow(fault.Zone, 0, 0)
	return nil
}

// stopRegistry stops the registry for the duration of the fault. If the run ends first, it is not started again.
func (s *environment) stopRegistry(ctx context.Context, fault scenario.Fault) error {
	s.registry.Stop()
	if !backoff.Sleep(ctx, fault.Duration) {
		return nil
	}
	return s.registry.Start() //nolint:contextcheck // stopped by stopAll, not by ctx
}

func (s *environment) listAllNow(context.Context, scenario.Fault) error {
	s.listAll()
	return nil
}

func (s *environment) moveSlicesAway(_ context.Context, fault scenario.Fault) error {
	s.moveSlices(s.faultEndpoints(fault))
	return nil
}
