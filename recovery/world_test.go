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
	alive   bool
	old     *recovery.Old
	taker   *recovery.New
	act     recovery.Act // under way
	waits   bool         // for the other's answer
	asked   bool         // to take over
	core    *pilot.Core  // nil while no pilot runs
	listed  int          // changes of the list that it knows of, -1 none
	claimed bool
}

// faults are planted.
type faults struct {
	noted          bool // a note comes instead of a change of the list
	resumesUnasked bool // the old one goes on without the claim, as it did before there was one
	startsUnasked  bool // the new one begins without it
	replayAloud    bool // what is replayed goes out again
}

// proxy follows whoever has its stream.
type proxy struct {
	follow *follow.Follower
	to     int // a process, -1 nobody
	coming []*wire.Orders
	stream *stream
}

// stream is a proxy's end in a process.
type stream struct {
	w    *world
	from int
	p    int
}

func (s *stream) Send(o *wire.Orders) error {
	if !s.w.procs[s.from].claimed {
		s.w.broken = "a process without the claim wrote to a proxy"
	}
	if s.w.proxies[s.p].stream == s {
		s.w.proxies[s.p].coming = append(s.w.proxies[s.p].coming, o)
	}
	return nil
}

func (s *stream) Ask(*wire.Pace) error { return nil }

func (s *stream) Close(string) {}

// world is one state, built by its steps.
type world struct {
	plant    faults
	procs    [2]*process
	proxies  [3]*proxy
	holder   int // of the claim, -1 nobody
	says     [2][]recovery.Event
	cut      bool // the connection between the two
	turns    []record.Turn
	kept     int // of these on the disk
	list     int // changes so far
	crashes  int
	losses   int
	notes    int
	told     int
	restarts int
	broken   string
	nowMs    float64
}

const endpoints = 2

func newWorld(plant faults) *world {
	w := &world{plant: plant, holder: 0}
	if plant.noted {
		w.list = 1
	} else {
		w.notes = 1
	}
	w.procs[0] = &process{alive: true, old: &recovery.Old{Patience: 2}, claimed: true, listed: -1}
	w.procs[1] = &process{alive: true, taker: recovery.NewSide(), act: recovery.Nothing}
	for i := range w.proxies {
		w.proxies[i] = &proxy{to: -1, follow: follow.NewFollower(follow.Habits{Kinds: []string{"read"}}, []string{"e0", "e1"}, uint64(i))}
	}
	w.begin(0)
	return w
}

// begin starts a process's pilot on what the disk holds.
func (w *world) begin(i int) {
	p := w.procs[i]
	var core *pilot.Core
	if w.kept > 0 {
		core = pilot.NewCore(w.plan(true))
		if err := record.Restore(core, w.turns[:w.kept]); err != nil {
			w.broken = err.Error()
		}
		w.turns = w.turns[:w.kept]
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
	for k, other := range w.procs {
		if k != i && other.core != nil {
			w.broken = "two processes run the pilot"
		}
	}
}

// end stops a process's pilot.
func (w *world) end(i int) {
	w.procs[i].core = nil
	for _, p := range w.proxies {
		if p.to == i {
			p.to, p.stream, p.coming = -1, nil, nil
		}
	}
}

func (w *world) feed(i int, in pilot.Input) {
	p := w.procs[i]
	w.nowMs++
	p.core.Handle(w.nowMs, []pilot.Input{in})
	p.core.Channel.Send(w.nowMs)
}

func (w *world) claim(i int) bool {
	if w.holder < 0 {
		w.holder, w.procs[i].claimed = i, true
	}
	return w.holder == i
}

func (w *world) letGo(i int) {
	if w.procs[i].claimed {
		w.holder, w.procs[i].claimed = -1, false
	}
}

// next hands an event to a process's machine.
func (w *world) next(i int, e recovery.Event) {
	p := w.procs[i]
	p.waits = false
	if p.taker != nil {
		p.act = p.taker.Next(e)
	} else {
		p.act = p.old.Next(e)
	}
}

func (w *world) say(from int, e recovery.Event) {
	if !w.cut {
		w.says[1-from] = append(w.says[1-from], e)
	}
}

// do carries out the act under way.
func (w *world) do(i int) {
	p := w.procs[i]
	act := p.act
	p.act = recovery.Nothing
	switch act {
	case recovery.SayOffer:
		w.say(i, recovery.Offered)
		p.waits = true
	case recovery.SayReady:
		w.say(i, recovery.ReadyCame)
		p.waits = true
	case recovery.SayGo:
		w.say(i, recovery.GoCame)
		p.waits = true
	case recovery.SayServing:
		w.say(i, recovery.ServingCame)
	case recovery.StopPilot:
		w.kept = len(w.turns)
		w.end(i)
		w.letGo(i)
		w.next(i, recovery.Stopped)
	case recovery.Claim:
		unasked := p.taker != nil && w.plant.startsUnasked || p.taker == nil && w.plant.resumesUnasked
		if w.claim(i) || unasked {
			w.next(i, recovery.Claimed)
		} else {
			w.next(i, recovery.Refused)
		}
	case recovery.StartPilot:
		w.begin(i)
		if p.taker != nil {
			w.next(i, recovery.Started)
		}
	case recovery.LetGo, recovery.End:
		if p.taker != nil || p.old.Gone() {
			w.letGo(i)
			p.alive = false
		}
	}
}

func (w *world) listing() pilot.Input {
	l := &wire.List{Version: w.list, Whole: true}
	for i := range endpoints {
		e := wire.Entry{Endpoint: fmt.Sprint("e", i), Zone: "a", Machine: "std", Weight: 1}
		if i == 0 && w.list > 0 {
			e.Phase = wire.PhaseDraining
		}
		l.Entries = append(l.Entries, e)
	}
	return pilot.Listed{List: l}
}

// wrong returns what no state may show, and, where nothing more can happen by itself, what then must hold.
func (w *world) wrong(settled bool) string {
	if w.broken != "" {
		return w.broken
	}
	if w.told > 1 {
		return "an effect was ordered twice"
	}
	for k, p := range w.proxies {
		if p.follow.Lines(0) == 0 {
			return fmt.Sprintf("p%d has no line", k)
		}
	}
	if !settled {
		return ""
	}
	running := 0
	for _, p := range w.procs {
		if p.core != nil {
			running++
		}
	}
	if running != 1 {
		return fmt.Sprintf("%d processes run the pilot in the end", running)
	}
	for k, p := range w.proxies {
		if p.to < 0 || w.list > 0 && p.follow.Open(0, "e0") || !p.follow.Open(0, "e1") {
			return fmt.Sprintf("p%d is at %d and may pick from %v in the end", k, p.to, p.follow.Holds())
		}
	}
	return ""
}

// print tells states apart.
func (w *world) print() string {
	var b strings.Builder
	for i, p := range w.procs {
		fmt.Fprintf(&b, "%v %+v %+v %d %v %v %v %d %v|", p.alive, p.old, p.taker, p.act, p.asked, p.waits, p.core != nil, p.listed, w.says[i])
	}
	var proxies []string // one is like another
	for _, p := range w.proxies {
		s := fmt.Sprintf("%d %v %v %v", p.to, p.follow.Tables(), p.follow.Open(0, "e0"), p.follow.Open(0, "e1"))
		for _, o := range p.coming {
			s += fmt.Sprint(o.Ops)
		}
		proxies = append(proxies, s)
	}
	slices.Sort(proxies)
	fmt.Fprint(&b, proxies, w.holder, w.cut, w.kept > 0, w.list, w.crashes, w.losses, w.notes, w.told, w.restarts)
	for _, turns := range [][]record.Turn{w.turns[:w.kept], w.turns[w.kept:]} { // of the record what a replay knows by it
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
