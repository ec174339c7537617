package emulator

import (
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// faultHandlers maps the fault types of scenario files to the functions that inject them. The rehearsal injects the
// same faults over sockets. Fault types that concern the clients' load, such as "burst", are missing here because
// the load generator applies them.
var faultHandlers = map[string]func(*World, scenario.Fault){
	// Endpoints that answer wrongly, late or not at all.
	"hang":           (*World).hang,
	"fast_errors":    (*World).failRequests,
	"class_fail":     (*World).failRequests,
	"handshake_slow": (*World).slowHandshakes,
	"answers_twice":  (*World).answerTwice,
	"pause":          (*World).pauseEndpoints,

	// Starts and stops of endpoint processes.
	"vanish":   (*World).vanishEndpoints,
	"crash":    (*World).crashEndpoints,
	"restart":  (*World).restartEndpoints,
	"drain":    (*World).drainEndpoints,
	"preempt":  (*World).preemptEndpoints,
	"replace":  (*World).replaceEndpoints,
	"flapping": (*World).flapEndpoints,

	// Network, zones and registry.
	"zone_cut":   (*World).cutZone,
	"slow_link":  (*World).slowZone,
	"zone_loss":  (*World).loseZone,
	"list_down":  (*World).stopRegistry,
	"list_all":   func(w *World, _ scenario.Fault) { w.listAll() },
	"slice_move": func(w *World, f scenario.Fault) { w.moveSlices(w.faultEndpoints(f)) },

	// Proxies.
	"reconnect":    (*World).reconnectProxies,
	"counter_down": (*World).isolateProxies,
	"mute_proxy":   (*World).muteProxies,
	"silent":       (*World).silenceProxies,
	"report_burst": (*World).floodReports,
	"proxy_crash":  (*World).crashProxies,
	"proxy_roll":   (*World).rollProxies,

	// Pilots.
	"pilot_kill":  (*World).killPilots,
	"pilot_roll":  (*World).rollPilots,
	"handover":    (*World).handOverPilots,
	"pilot_pause": (*World).pausePilots,
	"reload":      (*World).reloadPilots,
}

// scheduleFaults schedules all faults of the scenario.
func (w *World) scheduleFaults() {
	for _, fault := range w.Scenario.Faults {
		w.At(milliseconds(fault.At), func() {
			w.logEvent(rehearsalName, eventlog.Event{What: eventlog.Note, Text: fault.String()})
			w.playFault(fault)
		})
	}
}

// playFault injects a fault. The handler also schedules the end of the fault. Fault types without a handler are
// ignored.
func (w *World) playFault(fault scenario.Fault) {
	if handler := faultHandlers[fault.Type]; handler != nil {
		handler(w, fault)
	}
}
