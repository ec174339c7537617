package recovery_test

import (
	"fmt"

	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/recovery"
)

// process is one of the two, with one of the two state machines.
type process struct {
	alive       bool
	predecessor *recovery.Predecessor
	successor   *recovery.Successor
	action      recovery.Action  // to be done next
	waiting     bool             // for the other's answer
	requested   bool             // to take over
	core        *controller.Core // nil while no controller runs
	listed      int              // changes of the endpoint list that it knows of, -1 none
	locked      bool             // it holds the lock
}

// faults are planted.
type faults struct {
	withGossip      bool // gossip comes instead of a change of the endpoint list
	resumesUnlocked bool // the predecessor goes on without the lock, as it did before there was one
	startsUnlocked  bool // the successor starts without the lock
	replaySends     bool // what is replayed goes out again
}

// proxy follows whoever has its stream.
type proxy struct {
	follower *routing.Router
	joined   int // a process, -1 none
	incoming []*wire.Orders
	stream   *stream
}

// stream is a proxy's end in a process.
type stream struct {
	world   *world
	process int
	proxy   int
}

// Send hands commands to the proxy, if this is its stream still.
func (s *stream) Send(commands *wire.Orders) error {
	if !s.world.processes[s.process].locked {
		s.world.violation = "a process without the claim wrote to a proxy"
	}
	p := s.world.proxies[s.proxy]
	if p.stream == s {
		p.incoming = append(p.incoming, commands)
	}
	return nil
}

// RequestPace does nothing.
func (s *stream) RequestPace(*wire.Pace) error { return nil }

// Close does nothing.
func (s *stream) Close(string) {}

// world is one state, built by its steps.
type world struct {
	faults          faults
	processes       [2]*process
	proxies         [3]*proxy
	lockHolder      int                 // a process, -1 none
	messages        [2][]recovery.Event // on their way to each process
	cut             bool                // the connection between the two
	turns           []record.Turn       // recorded
	committed       int                 // of these on the disk
	listChanges     int                 // so far
	crashes         int
	losses          int // of the connection
	restarts        int
	gossipSent      int
	gossipCommanded int
	violation       string // of what no state may show; "": none
	nowMs           float64
}

const (
	endpoints        = 2
	lockTries        = 2 // of the predecessor after the successor was lost
	predecessorIndex = 0
	successorIndex   = 1
)

func newWorld(planted faults) *world {
	w := &world{faults: planted, lockHolder: predecessorIndex}
	if planted.withGossip {
		w.listChanges = 1
	} else {
		w.gossipSent = 1
	}
	w.processes[predecessorIndex] = &process{
		alive:       true,
		predecessor: &recovery.Predecessor{Patience: lockTries},
		locked:      true,
		listed:      -1,
	}
	w.processes[successorIndex] = &process{alive: true, successor: recovery.NewSuccessor(), action: recovery.Nothing}
	for i := range w.proxies {
		habits := routing.Policy{Classes: []string{"read"}}
		follower := routing.NewRouter(habits, []string{"e0", "e1"}, uint64(i))
		w.proxies[i] = &proxy{joined: -1, follower: follower}
	}
	w.startController(predecessorIndex)
	return w
}

// startController starts a process's controller on what the disk holds.
func (w *world) startController(i int) {
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
			w.violation = "two processes run the pilot"
		}
	}
}

// restoredCore returns a core rebuilt from what the disk holds, nil if that is nothing.
func (w *world) restoredCore() *controller.Core {
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

// stopController ends a process's controller and the streams to it.
func (w *world) stopController(i int) {
	w.processes[i].core = nil
	for _, p := range w.proxies {
		if p.joined == i {
			p.joined = -1
			p.stream = nil
			p.incoming = nil
		}
	}
}

// feed gives a process's controller an input.
func (w *world) feed(i int, in controller.Input) {
	p := w.processes[i]
	w.nowMs++
	p.core.Handle(w.nowMs, []controller.Input{in})
	p.core.Channel.Send(w.nowMs)
}

// acquireLock returns whether a process holds the lock, which it gets if nobody does.
func (w *world) acquireLock(i int) bool {
	if w.lockHolder < 0 {
		w.lockHolder = i
		w.processes[i].locked = true
	}
	return w.lockHolder == i
}

func (w *world) releaseLock(i int) {
	if w.processes[i].locked {
		w.lockHolder = -1
		w.processes[i].locked = false
	}
}

// report hands an event to a process's state machine.
func (w *world) report(i int, e recovery.Event) {
	p := w.processes[i]
	p.waiting = false
	if p.successor != nil {
		p.action = p.successor.Next(e)
	} else {
		p.action = p.predecessor.Next(e)
	}
}

// send sends a message to the other process, as the event that it will be there.
func (w *world) send(from int, e recovery.Event) {
	if !w.cut {
		w.messages[1-from] = append(w.messages[1-from], e)
	}
}

// sendAndWait sends a message that wants an answer.
func (w *world) sendAndWait(from int, e recovery.Event) {
	w.send(from, e)
	w.processes[from].waiting = true
}

// act does what a process's state machine wants.
func (w *world) act(i int) {
	p := w.processes[i]
	action := p.action
	p.action = recovery.Nothing
	switch action {
	case recovery.SayOffer:
		w.sendAndWait(i, recovery.Offered)
	case recovery.SayReady:
		w.sendAndWait(i, recovery.ReadyCame)
	case recovery.SayGo:
		w.sendAndWait(i, recovery.GoCame)
	case recovery.SayServing:
		w.send(i, recovery.ServingCame)
	case recovery.StopPilot:
		w.committed = len(w.turns)
		w.stopController(i)
		w.releaseLock(i)
		w.report(i, recovery.Stopped)
	case recovery.Claim:
		w.report(i, w.tryLock(i))
	case recovery.StartPilot:
		w.startController(i)
		if p.successor != nil {
			w.report(i, recovery.Started)
		}
	case recovery.LetGo, recovery.End:
		if p.successor != nil || p.predecessor.Replaced() {
			w.releaseLock(i)
			p.alive = false
		}
	}
}

// tryLock returns what came of trying the lock. A planted fault takes it for got.
func (w *world) tryLock(i int) recovery.Event {
	ignoresLock := w.faults.resumesUnlocked
	if w.processes[i].successor != nil {
		ignoresLock = w.faults.startsUnlocked
	}
	if w.acquireLock(i) || ignoresLock {
		return recovery.Claimed
	}
	return recovery.Refused
}

// endpointList is the whole list as it is now: endpoint 0 drains after its change.
func (w *world) endpointList() controller.Input {
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
