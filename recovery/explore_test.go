package recovery_test

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/recovery"
	"indigousher/telemetry"
)

// The explorer takes two processes of one pilot, three proxies, one change of the list or one note between pilots, one
// crash and one lost connection through every order in which their steps can fall, up to states that were met before.
// The machines, the runtime, the record's turns and the proxies' tables are those that ship; only sockets, disk and lock
// are the explorer's.

// clerk decides: all endpoints in one table, drains shut out, each note passed on once.
type clerk struct {
	phase  map[int]planner.Phase
	joined map[int]bool // and not bound yet
}

// Reconfigure does nothing.
func (c *clerk) Reconfigure(map[string]any) {}

func (c *clerk) Handle(_ float64, notes []planner.Event) (out []planner.Command) {
	for _, n := range notes {
		switch n := n.(type) {
		case planner.EndpointUpdate:
			for _, e := range n.Entries {
				if _, known := c.phase[e.Endpoint]; !known {
					out = append(out, planner.SetWeight{Table: 1, Endpoint: e.Endpoint, Weight: 1})
				}
				if c.phase[e.Endpoint] != e.Phase && e.Phase == planner.Draining {
					out = append(out, planner.SetExcluded{Endpoint: e.Endpoint, Excluded: true})
				}
				c.phase[e.Endpoint] = e.Phase
			}
		case planner.ProxyJoined:
			c.joined[n.Proxy] = true
		case planner.ProxyLeft:
			delete(c.joined, n.Proxy)
		case planner.Gossip:
			out = append(out, planner.SendGossip{Peer: 0, Text: n.Text})
		}
	}
	for _, p := range slices.Sorted(maps.Keys(c.joined)) {
		if len(c.phase) > 0 {
			out = append(out, planner.AssignTable{Table: 1, Proxy: p})
			delete(c.joined, p)
		}
	}
	return out
}

// process is one of the two.
type process struct {
	alive   bool
	old     *recovery.Predecessor
	taker   *recovery.Successor
	act     recovery.Action  // under way
	waits   bool             // for the other's answer
	asked   bool             // to take over
	core    *controller.Core // nil while no pilot runs
	listed  int              // changes of the list that it knows of, -1 none
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
	follow *routing.Router
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
func (s *stream) Close(string)         {}

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
	w.procs[0] = &process{alive: true, old: &recovery.Predecessor{Patience: 2}, claimed: true, listed: -1}
	w.procs[1] = &process{alive: true, taker: recovery.NewSuccessor(), act: recovery.Nothing}
	for i := range w.proxies {
		w.proxies[i] = &proxy{to: -1, follow: routing.NewRouter(routing.Policy{Classes: []string{"read"}}, []string{"e0", "e1"}, uint64(i))}
	}
	w.begin(0)
	return w
}

func (w *world) plan(held bool) controller.Options {
	p := controller.Options{Decider: &clerk{map[int]planner.Phase{}, map[int]bool{}}, Settings: map[string]any{}, Zones: []string{"a"}, Machines: []string{"std"}, Classes: []string{"read"},
		Telemetry: telemetry.Options{PeriodMs: 1e9, HalfMs: 1e9, LongestMs: 1e9}, MaxProxies: 9, EndpointSource: edge{}, HealthChecker: edge{}, Gossip: edge{},
		Log: func(string) {}, Malformed: func(string, ...string) {}, Replayed: true}
	if !held || w.plant.replayAloud {
		p.Gossip = edge{w}
	}
	return p
}

// edge is the way to other pilots.
type edge struct{ w *world }

func (edge) Watch(bool)   {}
func (edge) Fetch()       {}
func (edge) Probe(string) {}
func (e edge) Tell(int, string) {
	if e.w != nil {
		e.w.told++
	}
}

// begin starts a process's pilot on what the disk holds.
func (w *world) begin(i int) {
	p := w.procs[i]
	var core *controller.Core
	if w.kept > 0 {
		core = controller.NewCore(w.plan(true))
		if err := record.Restore(core, w.turns[:w.kept]); err != nil {
			w.broken = err.Error()
		}
		w.turns = w.turns[:w.kept]
	}
	live := w.plan(false)
	recorder := record.NewRecorder(func(t func() *record.Turn) { w.turns = append(w.turns, *t()) },
		func() []controller.Input { return p.core.Checkpoint() })
	live.OnTurn = recorder.Turn
	if core == nil {
		core = controller.NewCore(live)
	} else {
		core.FinishRecovery(live)
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

func (w *world) feed(i int, in controller.Input) {
	p := w.procs[i]
	w.nowMs++
	p.core.Handle(w.nowMs, []controller.Input{in})
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
		if p.taker != nil || p.old.Replaced() {
			w.letGo(i)
			p.alive = false
		}
	}
}

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
				s[fmt.Sprint("note ", i)] = func() { w.notes++; w.feed(i, controller.GossipReceived{From: 1, Text: "once"}) }
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
			p.alive, p.old = true, &recovery.Predecessor{Patience: 2}
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
						Holds: p.follow.Endpoints(), Tables: p.follow.HeldTables()}
					p.to, p.stream = i, &stream{w, i, k}
					p.follow.StreamJoined()
					w.feed(i, controller.ProxyJoined{Stream: p.stream, Hello: hello})
				}
			}
		}
	}
}

func (w *world) listing() controller.Input {
	l := &wire.List{Version: w.list, Whole: true}
	for i := range endpoints {
		e := wire.Entry{Endpoint: fmt.Sprint("e", i), Zone: "a", Machine: "std", Weight: 1}
		if i == 0 && w.list > 0 {
			e.Phase = wire.PhaseDraining
		}
		l.Entries = append(l.Entries, e)
	}
	return controller.EndpointsListed{List: l}
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
		if p.follow.EligibleCount(0) == 0 {
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
		if p.to < 0 || w.list > 0 && p.follow.Eligible(0, "e0") || !p.follow.Eligible(0, "e1") {
			return fmt.Sprintf("p%d is at %d and may pick from %v in the end", k, p.to, p.follow.Endpoints())
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
		s := fmt.Sprintf("%d %v %v %v", p.to, p.follow.HeldTables(), p.follow.Eligible(0, "e0"), p.follow.Eligible(0, "e1"))
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
				knows[0] = knows[0] || in.Kind == record.KindGossip
				l, is := in.Message.(*wire.List)
				knows[1] = knows[1] || is && l.Version > 0
			}
		}
		fmt.Fprint(&b, len(turns) > 0, knows)
	}
	return b.String()
}

// build repeats steps from the start.
func build(plant faults, path []string) *world {
	w := newWorld(plant)
	for _, name := range path {
		w.steps()[name]()
	}
	return w
}

// found is what one state leads to.
type found struct {
	wrong    string
	children map[string]string // prints by step
}

func look(plant faults, path []string) (f found) {
	w := build(plant, path)
	steps := w.steps()
	settled := true
	for name := range steps {
		settled = settled && strings.HasPrefix(name, "!")
	}
	if f.wrong = w.wrong(settled); f.wrong != "" {
		return f
	}
	f.children = map[string]string{}
	for name := range steps {
		child := build(plant, path)
		child.steps()[name]()
		f.children[name] = child.print()
	}
	return f
}

// explore visits every state that can be reached, widest first, and returns the shortest way to one that is wrong.
func explore(plant faults, most int) (states int, path []string, wrong string) {
	seen := map[string]bool{}
	level := [][]string{nil}
	for len(level) > 0 && states < most {
		all := make([]found, len(level))
		var g errgroup.Group
		g.SetLimit(runtime.GOMAXPROCS(0))
		for i, path := range level {
			g.Go(func() error { all[i] = look(plant, path); return nil })
		}
		_ = g.Wait() // none fails
		var next [][]string
		for i, f := range all {
			if f.wrong != "" {
				return states, level[i], f.wrong
			}
			for _, name := range slices.Sorted(maps.Keys(f.children)) {
				if p := f.children[name]; !seen[p] {
					seen[p] = true
					states++
					next = append(next, append(slices.Clone(level[i]), name))
				}
			}
		}
		level = next
	}
	return states, nil, ""
}

// TestExplored visits all orders of steps of recovery and handover, and shows that faults which are planted are found.
func TestExplored(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant faults
		most  int // states; docs/records.md has what all of them came to
		wrong string
	}{
		{"as it ships, with a drain", faults{}, 12_000, ""},
		{"as it ships, with a note", faults{noted: true}, 100_000, ""},
		{"the old one goes on without the claim", faults{resumesUnasked: true}, 100_000, "two processes run the pilot"},
		{"the new one begins without the claim", faults{startsUnasked: true}, 100_000, "two processes run the pilot"},
		{"what is replayed goes out again", faults{noted: true, replayAloud: true}, 100_000, "an effect was ordered twice"},
	} {
		t.Run(c.name, func(t *testing.T) {
			states, path, wrong := explore(c.plant, c.most)
			require.Equal(t, c.wrong, wrong, "%v", path)
			if c.wrong == "" {
				assert.Greater(t, states, 10_000)
			}
			t.Logf("%d states, %v", states, path)
		})
	}
}
