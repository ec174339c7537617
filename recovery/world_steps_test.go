package recovery_test

import (
	"fmt"
	"strings"

	"indigousher/internal/pilot"
	"indigousher/internal/wire"
	"indigousher/recovery"
)

// steps are what can happen now, by name. Those after a "!" are faults: nothing waits for them.
func (w *world) steps() map[string]func() {
	s := map[string]func(){}
	if n := w.procs[1]; n.alive && !n.asked {
		s["ask"] = func() {
			if n.asked = true; w.cut || !w.procs[0].alive {
				w.next(1, recovery.Lost)
				return
			}
			w.next(0, recovery.Asked)
			n.waits = true
		}
	}
	for i, p := range w.procs {
		if !p.alive {
			continue
		}
		if p.act != recovery.Nothing {
			s[fmt.Sprint("do ", i)] = func() { w.do(i) }
		}
		if p.waits && len(w.says[i]) > 0 {
			s[fmt.Sprint("hear ", i)] = func() {
				e := w.says[i][0]
				w.says[i] = w.says[i][1:]
				w.next(i, e)
			}
		}
		if p.waits && len(w.says[i]) == 0 && (w.cut || !w.procs[1-i].alive) {
			s[fmt.Sprint("lost ", i)] = func() { w.cut = true; w.next(i, recovery.Lost) }
		}
		if w.crashes == 0 {
			s[fmt.Sprint("!crash ", i)] = func() {
				w.crashes++
				if p.core != nil {
					w.turns = w.turns[:w.kept]
				}
				w.end(i)
				w.letGo(i)
				p.alive, p.act, p.waits = false, recovery.Nothing, false
			}
		}
		if p.core != nil && p.listed < w.list {
			s[fmt.Sprint("list ", i)] = func() { p.listed = w.list; w.feed(i, w.listing()) }
		}
	}
	if w.losses == 0 && !w.cut {
		s["!cut"] = func() { w.losses++; w.cut = true }
	}
	if w.list == 0 {
		s["drain"] = func() { w.list++ }
	}
	if w.notes == 0 {
		for i, p := range w.procs {
			if p.core != nil {
				s[fmt.Sprint("note ", i)] = func() { w.notes++; w.feed(i, pilot.Heard{From: 1, Text: "once"}) }
			}
		}
	}
	if w.kept < len(w.turns) {
		s["commit"] = func() { w.kept = len(w.turns) }
	}
	if !w.procs[0].alive && !w.procs[1].alive && w.restarts == 0 { // by whoever watches over processes
		s["restart"] = func() {
			w.restarts++
			p := w.procs[0]
			p.alive, p.old = true, &recovery.Old{Patience: 2}
			if w.claim(0) {
				w.begin(0)
			}
		}
	}
	w.proxySteps(s)
	return w.sooner(s)
}

// sooner leaves out orders of steps that come to the same: what a proxy applies touches nothing but itself, so it comes
// first, unless its stream could end before.
func (w *world) sooner(s map[string]func()) map[string]func() {
	for k := range w.proxies {
		apply := fmt.Sprint("apply ", k)
		if s[apply] == nil {
			continue
		}
		first := map[string]func(){apply: s[apply]}
		for name, step := range s {
			if strings.HasPrefix(name, "!crash") || strings.HasPrefix(name, "do ") {
				first[name] = step
			}
		}
		return first
	}
	return s
}

func (w *world) proxySteps(s map[string]func()) {
	for k, p := range w.proxies {
		if len(p.coming) > 0 {
			s[fmt.Sprint("apply ", k)] = func() {
				p.follow.Apply(p.coming[0].Ops)
				p.coming = p.coming[1:]
			}
		}
		for i, q := range w.procs {
			if p.to < 0 && q.core != nil {
				s[fmt.Sprint("join ", k, " ", i)] = func() {
					hello := wire.Hello{Version: 1, Proxy: fmt.Sprint("p", k), Zone: "a", Rate: 1, Fresh: p.follow.Fresh(),
						Holds: p.follow.Holds(), Tables: p.follow.Tables()}
					p.to, p.stream = i, &stream{w, i, k}
					p.follow.Joined()
					w.feed(i, pilot.Join{Stream: p.stream, Hello: hello})
				}
			}
		}
	}
}
