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
	if n := w.processes[1]; n.alive && !n.requested {
		s["ask"] = func() {
			if n.requested = true; w.cut || !w.processes[0].alive {
				w.report(1, recovery.Lost)
				return
			}
			w.report(0, recovery.Asked)
			n.waiting = true
		}
	}
	for i, p := range w.processes {
		if !p.alive {
			continue
		}
		if p.action != recovery.Nothing {
			s[fmt.Sprint("do ", i)] = func() { w.act(i) }
		}
		if p.waiting && len(w.messages[i]) > 0 {
			s[fmt.Sprint("hear ", i)] = func() {
				e := w.messages[i][0]
				w.messages[i] = w.messages[i][1:]
				w.report(i, e)
			}
		}
		if p.waiting && len(w.messages[i]) == 0 && (w.cut || !w.processes[1-i].alive) {
			s[fmt.Sprint("lost ", i)] = func() { w.cut = true; w.report(i, recovery.Lost) }
		}
		if w.crashes == 0 {
			s[fmt.Sprint("!crash ", i)] = func() {
				w.crashes++
				if p.core != nil {
					w.turns = w.turns[:w.committed]
				}
				w.stopController(i)
				w.releaseLock(i)
				p.alive, p.action, p.waiting = false, recovery.Nothing, false
			}
		}
		if p.core != nil && p.listed < w.listChanges {
			s[fmt.Sprint("list ", i)] = func() { p.listed = w.listChanges; w.feed(i, w.listing()) }
		}
	}
	if w.losses == 0 && !w.cut {
		s["!cut"] = func() { w.losses++; w.cut = true }
	}
	if w.listChanges == 0 {
		s["drain"] = func() { w.listChanges++ }
	}
	if w.gossipSent == 0 {
		for i, p := range w.processes {
			if p.core != nil {
				s[fmt.Sprint("note ", i)] = func() { w.gossipSent++; w.feed(i, pilot.Heard{From: 1, Text: "once"}) }
			}
		}
	}
	if w.committed < len(w.turns) {
		s["commit"] = func() { w.committed = len(w.turns) }
	}
	if !w.processes[0].alive && !w.processes[1].alive && w.restarts == 0 { // by whoever watches over processes
		s["restart"] = func() {
			w.restarts++
			p := w.processes[0]
			p.alive, p.predecessor = true, &recovery.Old{Patience: 2}
			if w.acquireLock(0) {
				w.startController(0)
			}
		}
	}
	w.proxySteps(s)
	return w.reduce(s)
}

// reduce leaves out orders of steps that come to the same: what a proxy applies touches nothing but itself, so it comes
// first, unless its stream could end before.
func (w *world) reduce(s map[string]func()) map[string]func() {
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
		if len(p.incoming) > 0 {
			s[fmt.Sprint("apply ", k)] = func() {
				p.follower.Apply(p.incoming[0].Ops)
				p.incoming = p.incoming[1:]
			}
		}
		for i, q := range w.processes {
			if p.joined < 0 && q.core != nil {
				s[fmt.Sprint("join ", k, " ", i)] = func() {
					hello := wire.Hello{Version: 1, Proxy: fmt.Sprint("p", k), Zone: "a", Rate: 1, Fresh: p.follower.Fresh(),
						Holds: p.follower.Holds(), Tables: p.follower.Tables()}
					p.joined, p.stream = i, &stream{w, i, k}
					p.follower.Joined()
					w.feed(i, pilot.Join{Stream: p.stream, Hello: hello})
				}
			}
		}
	}
}
