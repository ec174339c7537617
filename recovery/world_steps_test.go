package recovery_test

import (
	"fmt"
	"strings"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/recovery"
)

// steps holds the steps that are possible in a state, by name. Names of faults begin with "!": a state in which only
// faults are possible is final.
type steps map[string]func()

// steps returns the steps that are possible in the state.
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

// addRequest adds the step in which the successor requests to take over.
func (w *system) addRequest(s steps) {
	successor := w.processes[successorIndex]
	if !successor.alive || successor.requested {
		return
	}
	s["ask"] = func() {
		successor.requested = true
		if w.disconnected || !w.processes[predecessorIndex].alive {
			w.report(successorIndex, recovery.PeerLost)
			return
		}
		w.report(predecessorIndex, recovery.TakeoverRequested)
		successor.waiting = true
	}
}

// addProcessSteps adds the steps of one process: execute its next action, receive a message, detect a lost connection,
// receive the endpoint list, and crash.
func (w *system) addProcessSteps(s steps, i int) {
	p := w.processes[i]
	if p.action != recovery.NoAction {
		s[fmt.Sprint("do ", i)] = func() { w.act(i) }
	}
	if p.waiting && len(w.messages[i]) > 0 {
		s[fmt.Sprint("hear ", i)] = func() {
			e := w.messages[i][0]
			w.messages[i] = w.messages[i][1:]
			w.report(i, e)
		}
	}
	if p.waiting && len(w.messages[i]) == 0 && (w.disconnected || !w.processes[1-i].alive) {
		s[fmt.Sprint("lost ", i)] = func() {
			w.disconnected = true
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

// crash ends a process and discards the turns that it had not committed to disk.
func (w *system) crash(i int) {
	p := w.processes[i]
	w.crashes++
	if p.core != nil {
		w.turns = w.turns[:w.committed]
	}
	w.stopController(i)
	w.releaseLock(i)
	p.alive = false
	p.action = recovery.NoAction
	p.waiting = false
}

// addEnvironmentSteps adds the steps outside the processes: the connection fails, the endpoint list changes, a gossip
// message arrives, turns are committed to disk, and the supervisor restarts a process.
func (w *system) addEnvironmentSteps(s steps) {
	if w.connectionLosses == 0 && !w.disconnected {
		s["!cut"] = func() {
			w.connectionLosses++
			w.disconnected = true
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

// restart starts the first process again, and its controller if the lock is free.
func (w *system) restart() {
	w.restarts++
	p := w.processes[predecessorIndex]
	p.alive = true
	p.predecessor = &recovery.Predecessor{MaxLockAttempts: maxLockAttempts}
	if w.acquireLock(predecessorIndex) {
		w.startController(predecessorIndex)
	}
}

// addProxySteps adds the steps of the proxies: apply received commands, and connect to a process that runs the
// controller.
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

// join opens a stream from proxy k to process i.
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

// reduce drops steps whose order does not matter (partial order reduction). Applying commands affects only the proxy,
// so it is executed before all steps except those that could end the stream of the proxy.
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
