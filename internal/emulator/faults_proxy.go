package emulator

import "indigousher/internal/scenario"

// faultProxies selects the proxies that a fault affects.
func (w *World) faultProxies(fault scenario.Fault) []*emulatedProxy {
	var names []string
	byName := map[string]*emulatedProxy{}
	for _, proxy := range w.proxies {
		if fault.Zone == "" || proxy.location.zone == fault.Zone {
			names = append(names, proxy.location.name)
			byName[proxy.location.name] = proxy
		}
	}
	var affected []*emulatedProxy
	for _, name := range fault.Targets(names, w.random) {
		affected = append(affected, byName[name])
	}
	return affected
}

// applyToProxies calls begin for each affected proxy now, and end for each of them at the end of the fault.
func (w *World) applyToProxies(fault scenario.Fault, begin, end func(*emulatedProxy)) {
	affected := w.faultProxies(fault)
	for _, proxy := range affected {
		begin(proxy)
	}
	w.After(milliseconds(fault.Duration), func() {
		for _, proxy := range affected {
			end(proxy)
		}
	})
}

// reconnectProxies breaks the streams of proxies, which then dial again.
func (w *World) reconnectProxies(fault scenario.Fault) {
	w.applyToProxies(fault, (*emulatedProxy).breakStream, func(*emulatedProxy) {})
}

// isolateProxies breaks the streams of proxies and prevents them from connecting to any pilot until the fault ends.
func (w *World) isolateProxies(fault scenario.Fault) {
	isolate := func(proxy *emulatedProxy) {
		proxy.unreachable = true
		proxy.breakStream()
	}
	w.applyToProxies(fault, isolate, func(proxy *emulatedProxy) { proxy.unreachable = false })
}

// muteProxies stops proxies from reading their streams until the fault ends.
func (w *World) muteProxies(fault scenario.Fault) {
	w.applyToProxies(fault, func(proxy *emulatedProxy) { proxy.muted = true }, (*emulatedProxy).resumeReading)
}

// silenceProxies disconnects proxies from the network until the fault ends, without closing their connections.
func (w *World) silenceProxies(fault scenario.Fault) {
	w.applyToProxies(fault,
		func(proxy *emulatedProxy) { w.setBlackhole(proxy.location.name, true) },
		func(proxy *emulatedProxy) { w.setBlackhole(proxy.location.name, false) })
}

// floodReports multiplies the report frequency of proxies by the fault's Size until the fault ends.
func (w *World) floodReports(fault scenario.Fault) {
	w.applyToProxies(fault,
		func(proxy *emulatedProxy) { proxy.reportFactor = fault.Size },
		func(proxy *emulatedProxy) { proxy.reportFactor = 1 })
}

// crashProxies kills proxies and restarts them at the end of the fault.
func (w *World) crashProxies(fault scenario.Fault) {
	w.applyToProxies(fault, (*emulatedProxy).kill, (*emulatedProxy).startUnlessRunning)
}

// rollProxies restarts proxies one after another. Each is down for the fault's ExtraDelay.
func (w *World) rollProxies(fault scenario.Fault) {
	downMs := milliseconds(fault.ExtraDelay)
	for i, proxy := range w.faultProxies(fault) {
		w.After(float64(i)*(downMs+milliseconds(fault.Interval)), func() {
			proxy.kill()
			w.After(downMs, proxy.startUnlessRunning)
		})
	}
}
