package emulator

import (
	"indigousher/internal/scenario"
)

func (w *World) faultProxies(t scenario.Fault) (struck []*emulatedProxy) {
	var names []string
	by := map[string]*emulatedProxy{}
	for _, p := range w.proxies {
		if t.Zone == "" || p.place.zone == t.Zone {
			names, by[p.place.name] = append(names, p.place.name), p
		}
	}
	for _, n := range t.Targets(names, w.random) {
		struck = append(struck, by[n])
	}
	return struck
}

func (w *World) playProxyFault(t scenario.Fault) {
	struck := w.faultProxies(t)
	each := func(f func(p *emulatedProxy)) func() {
		return func() {
			for _, p := range struck {
				f(p)
			}
		}
	}
	var begin, end func(p *emulatedProxy)
	switch t.What {
	case "reconnect":
		begin, end = (*emulatedProxy).breakStream, func(*emulatedProxy) {}
	case "counter_down":
		begin, end = func(p *emulatedProxy) { p.unreachable = true; p.breakStream() }, func(p *emulatedProxy) { p.unreachable = false }
	case "mute_proxy":
		begin, end = func(p *emulatedProxy) { p.muted = true }, (*emulatedProxy).resumeReading
	case "silent":
		begin, end = func(p *emulatedProxy) { w.setBlackhole(p.place.name, true) }, func(p *emulatedProxy) { w.setBlackhole(p.place.name, false) }
	case "report_burst":
		begin, end = func(p *emulatedProxy) { p.reportFactor = t.Size }, func(p *emulatedProxy) { p.reportFactor = 1 }
	case "proxy_crash":
		begin, end = (*emulatedProxy).kill, func(p *emulatedProxy) {
			if p.process == nil {
				p.start()
			}
		}
	case "proxy_roll":
		for i, p := range struck {
			w.After(float64(i)*(milliseconds(t.Extra)+milliseconds(t.Every)), func() {
				p.kill()
				w.After(milliseconds(t.Extra), func() {
					if p.process == nil {
						p.start()
					}
				})
			})
		}
		return
	}
	each(begin)()
	w.After(milliseconds(t.For), each(end))
}
