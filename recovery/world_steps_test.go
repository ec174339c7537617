package recovery_test

import (
	"fmt"
	"strings"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/recovery"
)

// steps are what can happen now, by name. Those whose name begins with "!" are faults: nothing waits for them.
type steps map[string]func()

func (w *system) steps() steps {
	s := steps{}
	w.addRequest(s)
	for i, p := range w.processes {
		if p.alive {
			w.addProcessSteps(s, i)
		}
	}
	w.addEnvironmentSteps(s)
	w.addProxySteps(s)
	return w.reduce(s)
}

// addRequest lets the successor request to take over.
func (w *system) addRequest(s steps) {
	successor := w.processes[successorIndex]
	if !successor.alive || successor.requested {
		return
	}
	s["ask"] = func() {
		successor.requested = true
		if w.cut || !w.processes[predecessorIndex].alive {
			w.report(successorIndex, recovery.PeerLost)
			return
		}
		w.report(predecessorIndex, recovery.TakeoverRequested)
		successor.waiting = true
	}
}

// addProcessSteps lets a process act, hear of the other or of the endpoint list, or crash.
func (w *system) addProcessSteps(s steps, i int) {
	p := w.processes[i]
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
		s[fmt.Sprint("lost ", i)] = func() {
			w.cut = true
			w.report(i, recovery.PeerLost)
		}
	}
	if w.crashes == 0 {
		s[fmt.Sprint("!crash ", i)] = func() { w.crash(i) }
	}
	if p.core != nil && p.listed < w.listChanges {
		s[fmt.Sprint("list ", i)] = func() {
			p.listed = w.listChanges
			w.feed(i, w.endpointList())
		}
	}
}

// crash ends a process; what it had not committed is gone.
func (w *system) crash(i int) {
	p := w.processes[i]
	w.crashes++
	if p.core != nil {
		w.turns = w.turns[:w.committed]
	}
	w.stopController(i)
	w.releaseLock(i)
	p.alive = false
	p.action = recovery.Nothing
	p.waiting = false
}

// addWorldSteps lets the connection break, the endpoint list change, gossip come, the disk catch up, and a process be
// restarted by whoever watches over processes.
func (w *system) addEnvironmentSteps(s steps) {
	if w.losses == 0 && !w.cut {
		s["!cut"] = func() {
			w.losses++
			w.cut = true
		}
	}
	if w.listChanges == 0 {
		s["drain"] = func() { w.listChanges++ }
	}
	if w.gossipSent == 0 {
		for i, p := range w.processes {
			if p.core != nil {
				s[fmt.Sprint("note ", i)] = func() {
					w.gossipSent++
					w.feed(i, controller.GossipReceived{From: 1, Text: "once"})
				}
			}
		}
	}
	if w.committed < len(w.turns) {
		s["commit"] = func() { w.committed = len(w.turns) }
	}
	if !w.processes[0].alive && !w.processes[1].alive && w.restarts == 0 {
		s["restart"] = w.restart
	}
}

// restart starts the first process again, with its controller if the lock is free.
func (w *system) restart() {
	w.restarts++
	p := w.processes[predecessorIndex]
	p.alive = true
	p.predecessor = &recovery.Predecessor{MaxLockAttempts: lockTries}
	if w.acquireLock(predecessorIndex) {
		w.startController(predecessorIndex)
	}
}

// addProxySteps lets proxies apply what came and join whoever runs a controller.
func (w *system) addProxySteps(s steps) {
	for k, p := range w.proxies {
		if len(p.incoming) > 0 {
			s[fmt.Sprint("apply ", k)] = func() {
				p.router.Apply(p.incoming[0].Ops)
				p.incoming = p.incoming[1:]
			}
		}
		if p.joined >= 0 {
			continue
		}
		for i, process := range w.processes {
			if process.core != nil {
				s[fmt.Sprint("join ", k, " ", i)] = func() { w.join(k, i) }
			}
		}
	}
}

// join opens a proxy's stream to a process.
func (w *system) join(k, i int) {
	p := w.proxies[k]
	hello := wire.Hello{
		Version: 1,
		Proxy:   fmt.Sprint("p", k),
		Zone:    "a",
		Rate:    1,
		Fresh:   p.router.Fresh(),
		Holds:   p.router.Endpoints(),
		Tables:  p.router.HeldTables(),
	}
	p.joined = i
	p.stream = &stream{system: w, process: i, proxy: k}
	p.router.StreamJoined()
	w.feed(i, controller.ProxyJoined{Stream: p.stream, Hello: hello})
}

// reduce leaves out orders of steps that come to the same: what a proxy applies touches nothing but itself, so it comes
// first, unless its stream could end before.
func (w *system) reduce(s steps) steps {
	for k := range w.proxies {
		apply := fmt.Sprint("apply ", k)
		if s[apply] == nil {
			continue
		}
		first := steps{apply: s[apply]}
		for name, step := range s {
			if strings.HasPrefix(name, "!crash") || strings.HasPrefix(name, "do ") {
				first[name] = step
			}
		}
		return first
	}
	return s
}
