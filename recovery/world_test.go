package recovery_test

import (
	"fmt"

	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/recovery"
)

// process is one of the two processes. Exactly one of predecessor and successor is set.
type process struct {
	alive       bool
	predecessor *recovery.Predecessor
	successor   *recovery.Successor
	action      recovery.Action  // next action of the state machine
	waiting     bool             // it waits for a message of the other process
	requested   bool             // the successor has requested to take over
	core        *controller.Core // controller; nil while it is not running
	listed      int              // number of list changes in the last endpoint list it received; -1: no list yet
	locked      bool             // the process holds the lock
}

// faults selects the variant of the model and the faults that are injected into it.
type faults struct {
	withGossip      bool // a gossip message arrives instead of a change of the endpoint list
	resumesUnlocked bool // the predecessor restarts its controller without the lock, as before the lock was introduced
	startsUnlocked  bool // the successor starts its controller without the lock
	replaySends     bool // commands of a replay are sent again
}

// proxy is a simulated proxy with the routing tables of the testbed.
type proxy struct {
	router   *routing.Router
	joined   int // index of the process it is connected to; -1: none
	incoming []*wire.Commands
	stream   *stream
}

// stream is the controller's end of a connection between a process and a proxy.
type stream struct {
	system  *system
	process int
	proxy   int
}

// Send queues commands at the proxy, unless the proxy has another stream by now.
func (s *stream) Send(commands *wire.Commands) error {
	if !s.system.processes[s.process].locked {
		s.system.violation = "a process without the lock wrote to a proxy"
	}
	p := s.system.proxies[s.proxy]
	if p.stream == s {
		p.incoming = append(p.incoming, commands)
	}
	return nil
}

// RequestPace ignores changes of the reporting interval.
func (s *stream) RequestPace(*wire.Pace) error { return nil }

// Close ignores that the controller closes the stream.
func (s *stream) Close(string) {}

// system is one state of the model. It is reached from newSystem by executing steps.
type system struct {
	faults           faults
	processes        [2]*process
	proxies          [3]*proxy
	lockHolder       int                 // index of the process that holds the lock; -1: none
	messages         [2][]recovery.Event // undelivered messages to each process
	disconnected     bool                // the connection between the processes has failed
	turns            []record.Turn       // recorded turns
	committed        int                 // number of recorded turns that are committed to disk
	listChanges      int                 // changes of the endpoint list so far
	crashes          int
	connectionLosses int // failures of the connection between the processes so far
	restarts         int
	gossipSent       int
	gossipCommanded  int
	violation        string // first violation found while executing steps; "": none
	nowMs            float64
}

const (
	endpoints        = 2
	maxLockAttempts  = 2 // attempts of the predecessor to acquire the lock after the successor was lost
	predecessorIndex = 0
	successorIndex   = 1
)

// newSystem returns the initial state, in which the predecessor runs the controller.
func newSystem(injected faults) *system {
	w := &system{faults: injected, lockHolder: predecessorIndex}
	if injected.withGossip {
		w.listChanges = 1
	} else {
		w.gossipSent = 1
	}
	w.processes[predecessorIndex] = &process{
		alive:       true,
		predecessor: &recovery.Predecessor{MaxLockAttempts: maxLockAttempts},
		locked:      true,
		listed:      -1,
	}
	w.processes[successorIndex] = &process{alive: true, successor: recovery.NewSuccessor(), action: recovery.NoAction}
	for i := range w.proxies {
		policy := routing.Policy{Classes: []string{"read"}}
		router := routing.NewRouter(policy, []string{"e0", "e1"}, uint64(i))
		w.proxies[i] = &proxy{joined: -1, router: router}
	}
	w.startController(predecessorIndex)
	return w
}

// startController starts the controller of process i from the committed turns.
func (w *system) startController(i int) {
	p := w.processes[i]
	core := w.restoredCore()
	options := w.options(false)
	sink := func(makeTurn func() *record.Turn) { w.turns = append(w.turns, *makeTurn()) }
	recorder := record.NewRecorder(sink, func() []controller.Input { return p.core.Checkpoint() })
	options.OnTurn = recorder.Turn
	if core == nil {
		core = controller.NewCore(options)
	} else {
		core.FinishRecovery(options)
	}
	p.core = core
	p.listed = -1
	for k, other := range w.processes {
		if k != i && other.core != nil {
			w.violation = "two processes run the controller"
		}
	}
}

// restoredCore returns a controller core restored from the committed turns, or nil if there are none.
func (w *system) restoredCore() *controller.Core {
	if w.committed == 0 {
		return nil
	}
	core := controller.NewCore(w.options(true))
	if err := record.Restore(core, w.turns[:w.committed]); err != nil {
		w.violation = err.Error()
	}
	w.turns = w.turns[:w.committed]
	return core
}

// stopController stops the controller of process i and closes its streams.
func (w *system) stopController(i int) {
	w.processes[i].core = nil
	for _, p := range w.proxies {
		if p.joined == i {
			p.joined = -1
			p.stream = nil
			p.incoming = nil
		}
	}
}

// feed passes an input to the controller of process i and sends the resulting commands.
func (w *system) feed(i int, in controller.Input) {
	p := w.processes[i]
	w.nowMs++
	p.core.Handle(w.nowMs, []controller.Input{in})
	p.core.Channel.Send(w.nowMs)
}

// acquireLock acquires the lock for process i if it is free, and reports whether the process holds it.
func (w *system) acquireLock(i int) bool {
	if w.lockHolder < 0 {
		w.lockHolder = i
		w.processes[i].locked = true
	}
	return w.lockHolder == i
}

// releaseLock releases the lock if process i holds it.
func (w *system) releaseLock(i int) {
	if w.processes[i].locked {
		w.lockHolder = -1
		w.processes[i].locked = false
	}
}

// report passes an event to the state machine of process i and stores the resulting action.
func (w *system) report(i int, e recovery.Event) {
	p := w.processes[i]
	p.waiting = false
	if p.successor != nil {
		p.action = p.successor.Next(e)
	} else {
		p.action = p.predecessor.Next(e)
	}
}

// send queues a message for the other process, represented by the event that it causes there. The message is lost if
// the connection has failed.
func (w *system) send(from int, e recovery.Event) {
	if !w.disconnected {
		w.messages[1-from] = append(w.messages[1-from], e)
	}
}

// sendAndWait sends a message and waits for an answer.
func (w *system) sendAndWait(from int, e recovery.Event) {
	w.send(from, e)
	w.processes[from].waiting = true
}

// act executes the next action of process i.
func (w *system) act(i int) {
	p := w.processes[i]
	action := p.action
	p.action = recovery.NoAction
	switch action {
	case recovery.SendOffer:
		w.sendAndWait(i, recovery.OfferReceived)
	case recovery.SendReady:
		w.sendAndWait(i, recovery.ReadyReceived)
	case recovery.SendGo:
		w.sendAndWait(i, recovery.GoReceived)
	case recovery.SendServing:
		w.send(i, recovery.ServingReceived)
	case recovery.StopPilot:
		w.committed = len(w.turns)
		w.stopController(i)
		w.releaseLock(i)
		w.report(i, recovery.PilotStopped)
	case recovery.AcquireLock:
		w.report(i, w.tryLock(i))
	case recovery.StartPilot:
		w.startController(i)
		if p.successor != nil {
			w.report(i, recovery.PilotStarted)
		}
	case recovery.ReleaseLock, recovery.End:
		if p.successor != nil || p.predecessor.Replaced() {
			w.releaseLock(i)
			p.alive = false
		}
	}
}

// tryLock tries to acquire the lock for process i and returns the resulting event. With an injected fault it returns
// LockAcquired even if another process holds the lock.
func (w *system) tryLock(i int) recovery.Event {
	ignoresLock := w.faults.resumesUnlocked
	if w.processes[i].successor != nil {
		ignoresLock = w.faults.startsUnlocked
	}
	if w.acquireLock(i) || ignoresLock {
		return recovery.LockAcquired
	}
	return recovery.LockRefused
}

// endpointList returns the current, complete endpoint list. Endpoint 0 is draining after the list has changed.
func (w *system) endpointList() controller.Input {
	l := &wire.List{Version: w.listChanges, Whole: true}
	for i := range endpoints {
		e := wire.Entry{Endpoint: fmt.Sprint("e", i), Zone: "a", Machine: "std", Weight: 1}
		if i == 0 && w.listChanges > 0 {
			e.Phase = wire.PhaseDraining
		}
		l.Entries = append(l.Entries, e)
	}
	return controller.EndpointsListed{List: l}
}
