package recovery_test

import (
	"fmt"
	"slices"
	"strings"

	"indigousher/internal/pilot"
	"indigousher/internal/record"
	"indigousher/internal/standin/follow"
	"indigousher/internal/wire"
	"indigousher/recovery"
)

// process is one of the two.
type process struct {
	alive       bool
	predecessor *recovery.Old
	successor   *recovery.New
	action      recovery.Act // under way
	waiting     bool         // for the other's answer
	requested   bool         // to take over
	core        *pilot.Core  // nil while no pilot runs
	listed      int          // changes of the list that it knows of, -1 none
	locked      bool
}

// faults are planted.
type faults struct {
	withGossip      bool // a note comes instead of a change of the list
	resumesUnlocked bool // the old one goes on without the claim, as it did before there was one
	startsUnlocked  bool // the new one begins without it
	replaySends     bool // what is replayed goes out again
}

// proxy follows whoever has its stream.
type proxy struct {
	follower *follow.Follower
	joined   int // a process, -1 nobody
	incoming []*wire.Orders
	stream   *stream
}

// stream is a proxy's end in a process.
type stream struct {
	world   *world
	process int
	proxy   int
}

func (s *stream) Send(o *wire.Orders) error {
	if !s.world.processes[s.process].locked {
		s.world.violation = "a process without the claim wrote to a proxy"
	}
	if s.world.proxies[s.proxy].stream == s {
		s.world.proxies[s.proxy].incoming = append(s.world.proxies[s.proxy].incoming, o)
	}
	return nil
}

func (s *stream) Ask(*wire.Pace) error { return nil }

func (s *stream) Close(string) {}

// world is one state, built by its steps.
type world struct {
	faults          faults
	processes       [2]*process
	proxies         [3]*proxy
	lockHolder      int // of the claim, -1 nobody
	messages        [2][]recovery.Event
	cut             bool // the connection between the two
	turns           []record.Turn
	committed       int // of these on the disk
	listChanges     int // changes so far
	crashes         int
	losses          int
	gossipSent      int
	gossipCommanded int
	restarts        int
	violation       string
	nowMs           float64
}

const endpoints = 2

func newWorld(plant faults) *world {
	w := &world{faults: plant, lockHolder: 0}
	if plant.withGossip {
		w.listChanges = 1
	} else {
		w.gossipSent = 1
	}
	w.processes[0] = &process{alive: true, predecessor: &recovery.Old{Patience: 2}, locked: true, listed: -1}
	w.processes[1] = &process{alive: true, successor: recovery.NewSide(), action: recovery.Nothing}
	for i := range w.proxies {
		w.proxies[i] = &proxy{joined: -1, follower: follow.NewFollower(follow.Habits{Kinds: []string{"read"}}, []string{"e0", "e1"}, uint64(i))}
	}
	w.startController(0)
	return w
}

// startController starts a process's pilot on what the disk holds.
func (w *world) startController(i int) {
	p := w.processes[i]
	var core *pilot.Core
	if w.committed > 0 {
		core = pilot.NewCore(w.plan(true))
		if err := record.Restore(core, w.turns[:w.committed]); err != nil {
			w.violation = err.Error()
		}
		w.turns = w.turns[:w.committed]
	}
	live := w.plan(false)
	recorder := record.NewRecorder(func(t func() *record.Turn) { w.turns = append(w.turns, *t()) },
		func() []pilot.Input { return p.core.Checkpoint() })
	live.Turn = recorder.Turn
	if core == nil {
		core = pilot.NewCore(live)
	} else {
		core.Recovered(live)
	}
	p.core, p.listed = core, -1
	for k, other := range w.processes {
		if k != i && other.core != nil {
			w.violation = "two processes run the pilot"
		}
	}
}

// stopController stops a process's pilot.
func (w *world) stopController(i int) {
	w.processes[i].core = nil
	for _, p := range w.proxies {
		if p.joined == i {
			p.joined, p.stream, p.incoming = -1, nil, nil
		}
	}
}

func (w *world) feed(i int, in pilot.Input) {
	p := w.processes[i]
	w.nowMs++
	p.core.Handle(w.nowMs, []pilot.Input{in})
	p.core.Channel.Send(w.nowMs)
}

func (w *world) acquireLock(i int) bool {
	if w.lockHolder < 0 {
		w.lockHolder, w.processes[i].locked = i, true
	}
	return w.lockHolder == i
}

func (w *world) releaseLock(i int) {
	if w.processes[i].locked {
		w.lockHolder, w.processes[i].locked = -1, false
	}
}

// report hands an event to a process's machine.
func (w *world) report(i int, e recovery.Event) {
	p := w.processes[i]
	p.waiting = false
	if p.successor != nil {
		p.action = p.successor.Next(e)
	} else {
		p.action = p.predecessor.Next(e)
	}
}

func (w *world) send(from int, e recovery.Event) {
	if !w.cut {
		w.messages[1-from] = append(w.messages[1-from], e)
	}
}

// act carries out the act under way.
func (w *world) act(i int) {
	p := w.processes[i]
	act := p.action
	p.action = recovery.Nothing
	switch act {
	case recovery.SayOffer:
		w.send(i, recovery.Offered)
		p.waiting = true
	case recovery.SayReady:
		w.send(i, recovery.ReadyCame)
		p.waiting = true
	case recovery.SayGo:
		w.send(i, recovery.GoCame)
		p.waiting = true
	case recovery.SayServing:
		w.send(i, recovery.ServingCame)
	case recovery.StopPilot:
		w.committed = len(w.turns)
		w.stopController(i)
		w.releaseLock(i)
		w.report(i, recovery.Stopped)
	case recovery.Claim:
		unasked := p.successor != nil && w.faults.startsUnlocked || p.successor == nil && w.faults.resumesUnlocked
		if w.acquireLock(i) || unasked {
			w.report(i, recovery.Claimed)
		} else {
			w.report(i, recovery.Refused)
		}
	case recovery.StartPilot:
		w.startController(i)
		if p.successor != nil {
			w.report(i, recovery.Started)
		}
	case recovery.LetGo, recovery.End:
		if p.successor != nil || p.predecessor.Gone() {
			w.releaseLock(i)
			p.alive = false
		}
	}
}

func (w *world) listing() pilot.Input {
	l := &wire.List{Version: w.listChanges, Whole: true}
	for i := range endpoints {
		e := wire.Entry{Endpoint: fmt.Sprint("e", i), Zone: "a", Machine: "std", Weight: 1}
		if i == 0 && w.listChanges > 0 {
			e.Phase = wire.PhaseDraining
		}
		l.Entries = append(l.Entries, e)
	}
	return pilot.Listed{List: l}
}

// violationIn returns what no state may show, and, where nothing more can happen by itself, what then must hold.
func (w *world) violationIn(settled bool) string {
	if w.violation != "" {
		return w.violation
	}
	if w.gossipCommanded > 1 {
		return "an effect was ordered twice"
	}
	for k, p := range w.proxies {
		if p.follower.Lines(0) == 0 {
			return fmt.Sprintf("p%d has no line", k)
		}
	}
	if !settled {
		return ""
	}
	running := 0
	for _, p := range w.processes {
		if p.core != nil {
			running++
		}
	}
	if running != 1 {
		return fmt.Sprintf("%d processes run the pilot in the end", running)
	}
	for k, p := range w.proxies {
		if p.joined < 0 || w.listChanges > 0 && p.follower.Open(0, "e0") || !p.follower.Open(0, "e1") {
			return fmt.Sprintf("p%d is at %d and may pick from %v in the end", k, p.joined, p.follower.Holds())
		}
	}
	return ""
}

// signature tells states apart.
func (w *world) signature() string {
	var b strings.Builder
	for i, p := range w.processes {
		fmt.Fprintf(&b, "%v %+v %+v %d %v %v %v %d %v|", p.alive, p.predecessor, p.successor, p.action, p.requested, p.waiting, p.core != nil, p.listed, w.messages[i])
	}
	var proxies []string // one is like another
	for _, p := range w.proxies {
		s := fmt.Sprintf("%d %v %v %v", p.joined, p.follower.Tables(), p.follower.Open(0, "e0"), p.follower.Open(0, "e1"))
		for _, o := range p.incoming {
			s += fmt.Sprint(o.Ops)
		}
		proxies = append(proxies, s)
	}
	slices.Sort(proxies)
	fmt.Fprint(&b, proxies, w.lockHolder, w.cut, w.committed > 0, w.listChanges, w.crashes, w.losses, w.gossipSent, w.gossipCommanded, w.restarts)
	for _, turns := range [][]record.Turn{w.turns[:w.committed], w.turns[w.committed:]} { // of the record what a replay knows by it
		knows := [2]bool{}
		for _, t := range turns {
			for _, in := range t.Inputs {
				knows[0] = knows[0] || in.Kind == record.Heard
				l, is := in.Message.(*wire.List)
				knows[1] = knows[1] || is && l.Version > 0
			}
		}
		fmt.Fprint(&b, len(turns) > 0, knows)
	}
	return b.String()
}
