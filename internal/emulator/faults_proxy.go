package emulator

import "indigousher/internal/scenario"

// faultProxies draws the proxies that a fault strikes.
func (w *World) faultProxies(fault scenario.Fault) []*emulatedProxy {
	var names []string
	byName := map[string]*emulatedProxy{}
	for _, proxy := range w.proxies {
		if fault.Zone == "" || proxy.location.zone == fault.Zone {
			names = append(names, proxy.location.name)
			byName[proxy.location.name] = proxy
		}
	}
	var struck []*emulatedProxy
	for _, name := range fault.Targets(names, w.random) {
		struck = append(struck, byName[name])
	}
	return struck
}

// strikeProxies does something to the proxies that a fault strikes, and something else at the fault's end.
func (w *World) applyToProxies(fault scenario.Fault, begin, end func(*emulatedProxy)) {
	struck := w.faultProxies(fault)
	for _, proxy := range struck {
		begin(proxy)
	}
	w.After(milliseconds(fault.For), func() {
		for _, proxy := range struck {
			end(proxy)
		}
	})
}

func (w *World) reconnectProxies(fault scenario.Fault) {
	w.applyToProxies(fault, (*emulatedProxy).breakStream, func(*emulatedProxy) {})
}

// isolateProxies has proxies reach no pilot.
func (w *World) isolateProxies(fault scenario.Fault) {
	isolate := func(proxy *emulatedProxy) {
		proxy.unreachable = true
		proxy.breakStream()
	}
	w.applyToProxies(fault, isolate, func(proxy *emulatedProxy) { proxy.unreachable = false })
}

// muteProxies has proxies read nothing from their streams.
func (w *World) muteProxies(fault scenario.Fault) {
	w.applyToProxies(fault, func(proxy *emulatedProxy) { proxy.muted = true }, (*emulatedProxy).resumeReading)
}

// silenceProxies cuts proxies off without closing their connections.
func (w *World) silenceProxies(fault scenario.Fault) {
	w.applyToProxies(fault,
		func(proxy *emulatedProxy) { w.setBlackhole(proxy.location.name, true) },
		func(proxy *emulatedProxy) { w.setBlackhole(proxy.location.name, false) })
}

// floodReports has proxies report more often.
func (w *World) floodReports(fault scenario.Fault) {
	w.applyToProxies(fault,
		func(proxy *emulatedProxy) { proxy.reportFactor = fault.Size },
		func(proxy *emulatedProxy) { proxy.reportFactor = 1 })
}

func (w *World) crashProxies(fault scenario.Fault) {
	w.applyToProxies(fault, (*emulatedProxy).kill, (*emulatedProxy).startUnlessRunning)
}

// rollProxies restarts proxies one after another.
func (w *World) rollProxies(fault scenario.Fault) {
	downMs := milliseconds(fault.Extra)
	for i, proxy := range w.faultProxies(fault) {
		w.After(float64(i)*(downMs+milliseconds(fault.Every)), func() {
			proxy.kill()
			w.After(downMs, proxy.startUnlessRunning)
		})
	}
}
