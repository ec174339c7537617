package emulator

import (
	"indigousher/internal/scenario"
)

// playFault plays one trouble, as the rehearsal does on sockets.
func (w *World) playFault(t scenario.Fault) {
	lasts := milliseconds(t.For)
	switch t.What {
	case "hang", "fast_errors", "class_fail", "handshake_slow", "answers_twice", "pause":
		w.playBehaviour(t)
	case "vanish", "crash", "restart", "drain", "preempt", "replace", "flapping":
		for i, m := range w.faultEndpoints(t) {
			w.playLifecycle(t, m, i)
		}
	case "zone_cut":
		w.setZoneCut(t.Zone, true)
		w.After(lasts, func() { w.setZoneCut(t.Zone, false) })
	case "slow_link":
		z := w.network.zone(t.Zone)
		z.extraDelayMs, z.loss = milliseconds(t.Extra), t.Loss
		w.After(lasts, func() { z.extraDelayMs, z.loss = 0, 0 })
	case "zone_loss":
		w.zoneLoss(t)
	case "proxy_crash", "proxy_roll", "reconnect", "counter_down", "mute_proxy", "report_burst", "silent":
		w.playProxyFault(t)
	case "pilot_kill", "pilot_roll", "handover", "reload", "pilot_pause":
		w.playPilotFault(t)
	case "list_down":
		w.registry.stop()
		w.After(lasts, w.registry.resume)
	case "list_all":
		w.listAll()
	case "slice_move":
		w.moveSlices(w.faultEndpoints(t))
	} // the others are the clients' doing
}
