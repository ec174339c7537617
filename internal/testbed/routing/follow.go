// Package routing is how a plain proxy follows its tables and levels: it holds what it was told and picks lines, without
// I/O, clock or goroutine, for the stand-in on sockets and for virtual time alike.
package routing

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"indigousher/internal/wire"
)

// Policy are how a proxy behaves where its tables leave it open.
type Policy struct {
	Kinds       []string
	Pick        string // weighted, round or two
	EjectsAfter int    // failures in a row; 0: never
	EjectMs     float64
	TryAgain    int // way of trying again where none is told
}

// held is a table as a proxy has it.
type held struct {
	lines  map[string]float64
	levels map[int]level // by mask of kinds
	turn   map[string]float64
	ready  *lineup // of lines that may be picked, while nothing changes
}

// lineup is lines in order with their weights.
type lineup struct {
	names   []string
	weights []float64
	sum     float64
}

type level struct {
	part  float64
	again int
}

// keyRange is the keys that use a table.
type keyRange struct {
	from, to string
	table    int
}

type sliceKind struct {
	table int
	kind  string
}

func newHeld() *held {
	return &held{lines: map[string]float64{}, levels: map[int]level{}, turn: map[string]float64{}}
}

// Follower is what a proxy holds.
type Follower struct {
	habits     Policy
	rnd        *rand.Rand
	tables     map[int]*held // of this stream, by number
	before     map[int]*held // of the stream before, for one that is resumed
	serves     []*held       // by kind: what counts now
	ranges     []keyRange    // by their first key; what falls into none goes by its kind's table
	cameTo     map[sliceKind]*wire.SliceLoad
	bound      []bool // by kind: by this stream
	out        map[string]bool
	outBefore  map[string]bool // what the stream before had shut out; heeded by kinds that are not bound
	everywhere map[int]level
	busy       map[string]int // reqs at each endpoint
	bad        map[string]int // failures in a row
	shunned    map[string]float64
	shuns      float64 // until when any endpoint is shunned
	met        map[string]*tally
	came       map[string]*wire.Demand
	sinceMs    float64
	seq        uint64 // of reports in this stream
}

type tally struct {
	met   wire.Met
	sum   float64
	good  int
	rests int // reports that it was left out of
}

// NewFollower returns one with a standing table for all kinds.
func NewFollower(h Policy, standing []string, seed uint64) *Follower {
	f := &Follower{habits: h, rnd: rand.New(rand.NewPCG(seed, 3)), tables: map[int]*held{},
		serves: make([]*held, len(h.Kinds)), bound: make([]bool, len(h.Kinds)), out: map[string]bool{},
		outBefore: map[string]bool{}, everywhere: map[int]level{}, busy: map[string]int{}, bad: map[string]int{},
		shunned: map[string]float64{}, met: map[string]*tally{}, came: map[string]*wire.Demand{}, cameTo: map[sliceKind]*wire.SliceLoad{}}
	t := newHeld()
	for _, name := range standing {
		t.lines[name] = 1
	}
	for k := range f.serves {
		f.serves[k] = t
	}
	return f
}

// Joined begins a new stream: tables stay as they are until they are bound anew, numbers of the old are forgotten.
func (f *Follower) Joined() {
	defer f.changed()
	f.before, f.tables, f.seq = f.tables, map[int]*held{}, 0
	maps.Copy(f.outBefore, f.out)
	f.out, f.everywhere = map[string]bool{}, map[int]level{}
	clear(f.bound)
	for _, r := range f.ranges { // slices stay until their pilot says otherwise
		if t := f.before[r.table]; t != nil {
			f.tables[r.table] = t
		}
	}
}

// Fresh returns whether no stream has ever bound it.
func (f *Follower) Fresh() bool { return len(f.tables) == 0 && !slices.Contains(f.bound, true) }

// Holds names the endpoints of all tables that count.
func (f *Follower) Holds() []string {
	all := map[string]bool{}
	for _, t := range f.serves {
		for name := range t.lines {
			all[name] = true
		}
	}
	for _, r := range f.ranges {
		for name := range f.table(r.table).lines {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Tables are those of the last stream, as a hello names them.
func (f *Follower) Tables() (list []wire.HeldTable) {
	for _, number := range slices.Sorted(maps.Keys(f.tables)) {
		t := wire.HeldTable{Table: number}
		for _, name := range slices.Sorted(maps.Keys(f.tables[number].lines)) {
			t.Lines = append(t.Lines, wire.HeldLine{Endpoint: name, Weight: f.tables[number].lines[name]})
		}
		list = append(list, t)
	}
	return list
}

// Apply carries out one message as a whole and returns the marks to answer.
func (f *Follower) Apply(ops []wire.Op) (marks []int) {
	defer f.changed()
	for _, o := range ops {
		switch o.Kind {
		case wire.OpBind:
			f.bind(o)
		case wire.OpSet:
			t := f.table(o.Table)
			if o.Weight > 0 {
				t.lines[o.Endpoint] = o.Weight
			} else {
				delete(t.lines, o.Endpoint)
			}
		case wire.OpClear:
			t := f.table(o.Table)
			clear(t.lines)
			clear(t.levels)
		case wire.OpWithdraw:
			if f.out[o.Endpoint] = o.Out; !o.Out {
				delete(f.out, o.Endpoint)
				delete(f.outBefore, o.Endpoint)
			}
		case wire.OpAdmit:
			if o.Table == wire.EveryTable {
				f.everywhere[o.Kinds] = level{o.Weight, o.Again}
			} else {
				f.table(o.Table).levels[o.Kinds] = level{o.Weight, o.Again}
			}
		case wire.OpMark:
			marks = append(marks, o.Number)
		case wire.OpRange:
			f.rangeOf(o)
		}
	}
	return marks
}

// rangeOf gives keys to a table that begins anew, or takes them from it.
func (f *Follower) rangeOf(o wire.Op) {
	f.ranges = slices.DeleteFunc(f.ranges, func(r keyRange) bool { return r.table == o.Table })
	if delete(f.tables, o.Table); o.Out {
		return
	}
	f.tables[o.Table] = newHeld()
	f.ranges = append(f.ranges, keyRange{o.From, o.To, o.Table})
	slices.SortFunc(f.ranges, func(a, b keyRange) int { return strings.Compare(a.from, b.from) })
}

// slice returns the table that a key falls to, -1 for none.
func (f *Follower) slice(key string) int {
	if len(f.ranges) == 0 {
		return -1
	}
	i, found := slices.BinarySearchFunc(f.ranges, key, func(r keyRange, key string) int { return strings.Compare(r.from, key) })
	if !found {
		i--
	}
	if i < 0 || f.ranges[i].to != "" && f.ranges[i].to <= key {
		return -1
	}
	return f.ranges[i].table
}

// serving returns the table that counts for a req.
func (f *Follower) serving(kind int, key string) *held {
	if s := f.slice(key); s >= 0 {
		return f.table(s)
	}
	return f.serves[kind]
}

func (f *Follower) table(number int) *held {
	if f.tables[number] == nil {
		f.tables[number] = newHeld()
	}
	return f.tables[number]
}

func (f *Follower) bind(o wire.Op) {
	t := newHeld()
	if old := f.before[o.Table]; o.Keep && old != nil {
		t = old
		clear(t.levels) // all of them follow
	}
	if was := f.tables[o.Table]; was != nil {
		for k := range f.serves {
			if f.serves[k] == was {
				f.serves[k] = t
			}
		}
	}
	f.tables[o.Table] = t
	for k := range f.serves {
		if o.Kinds == 0 || o.Kinds&(1<<k) != 0 {
			f.serves[k], f.bound[k] = t, true
		}
	}
	if !slices.Contains(f.bound, false) {
		clear(f.outBefore)
	}
}

// open returns whether a line may be picked for a kind.
func (f *Follower) open(kind int, name string) bool {
	return !f.out[name] && (f.bound[kind] || !f.outBefore[name])
}

// Lines returns how many lines a kind can be picked from; an endpoint that this proxy shuns counts, as it is picked
// where all are shunned.
func (f *Follower) Lines(kind int) (n int) {
	for name := range f.serves[kind].lines {
		if f.open(kind, name) {
			n++
		}
	}
	return n
}

// Admit draws whether a req of a kind is let in.
func (f *Follower) Admit(kind int) bool {
	part := math.Min(find(f.serves[kind].levels, kind, level{1, -1}).part, find(f.everywhere, kind, level{1, -1}).part)
	return part >= 1 || f.rnd.Float64() < part
}

// Again returns the way of trying again for a kind.
func (f *Follower) Again(kind int) int {
	if l := find(f.serves[kind].levels, kind, level{1, -1}); l.again >= 0 {
		return l.again
	}
	if l := find(f.everywhere, kind, level{1, -1}); l.again >= 0 {
		return l.again
	}
	return f.habits.TryAgain
}

func find(levels map[int]level, kind int, none level) level {
	for mask, l := range levels {
		if mask == 0 || mask&(1<<kind) != 0 {
			return l
		}
	}
	return none
}

// Pick draws a line for a kind and key, none of those tried before if there is another. Where none is left it returns "".
func (f *Follower) Pick(nowMs float64, kind int, key string, tried []string) string {
	t := f.serving(kind, key)
	l := f.lineup(kind, t)
	if len(tried) > 0 || f.shuns > nowMs || f.habits.Pick == "round" {
		return f.pickFrom(nowMs, t, l, tried)
	}
	a := l.draw(f.rnd)
	if f.habits.Pick == "two" {
		if b := l.draw(f.rnd); f.busy[b] < f.busy[a] {
			return b
		}
	}
	return a
}

// pickFrom leaves out what is shunned and what was tried, as far as something else is left.
func (f *Follower) pickFrom(nowMs float64, t *held, l *lineup, tried []string) string {
	var names []string
	for pass := 0; pass < 3 && len(names) == 0; pass++ { // then with the shunned, then with those tried
		for _, name := range l.names {
			if (pass > 0 || f.shunned[name] <= nowMs) && (pass > 1 || !slices.Contains(tried, name)) {
				names = append(names, name)
			}
		}
	}
	if len(names) == 0 {
		return ""
	}
	switch f.habits.Pick {
	case "round":
		return f.round(t, names)
	case "two":
		a, b := f.draw(t, names), f.draw(t, names)
		if f.busy[b] < f.busy[a] {
			return b
		}
		return a
	}
	return f.draw(t, names)
}

// changed drops the lineups.
func (f *Follower) changed() {
	for _, t := range f.tables {
		t.ready = nil
	}
	for _, t := range f.serves {
		t.ready = nil
	}
}

// lineup returns the lines that may be picked for a kind.
func (f *Follower) lineup(kind int, t *held) *lineup {
	if t.ready != nil && len(f.outBefore) == 0 { // else kinds of one table may differ
		return t.ready
	}
	l := &lineup{}
	for _, name := range slices.Sorted(maps.Keys(t.lines)) {
		if f.open(kind, name) {
			l.names, l.weights = append(l.names, name), append(l.weights, t.lines[name])
			l.sum += t.lines[name]
		}
	}
	if len(f.outBefore) == 0 {
		t.ready = l
	}
	return l
}

func (l *lineup) draw(rnd *rand.Rand) string {
	if len(l.names) == 0 {
		return ""
	}
	at := rnd.Float64() * l.sum
	for i, w := range l.weights {
		if at -= w; at < 0 {
			return l.names[i]
		}
	}
	return l.names[len(l.names)-1]
}

func (f *Follower) draw(t *held, names []string) string {
	sum := 0.0
	for _, n := range names {
		sum += t.lines[n]
	}
	at := f.rnd.Float64() * sum
	for _, n := range names {
		if at -= t.lines[n]; at < 0 {
			return n
		}
	}
	return names[len(names)-1]
}

// round is smooth weighted round robin.
func (f *Follower) round(t *held, names []string) string {
	sum, best := 0.0, names[0]
	for _, n := range names {
		sum += t.lines[n]
		t.turn[n] += t.lines[n]
		if t.turn[n] > t.turn[best] {
			best = n
		}
	}
	t.turn[best] -= sum
	return best
}

// Sent notes that a try has left.
func (f *Follower) Sent(name string) { f.busy[name]++ }

// Back notes how a try ended.
func (f *Follower) Back(nowMs float64, name string, good bool, tookMs float64, load []wire.Figure) {
	f.busy[name]--
	t := f.met[name]
	if t == nil {
		t = &tally{met: wire.Met{Endpoint: name}}
		f.met[name] = t
	}
	t.met.Tries++
	if len(load) > 0 {
		t.met.Load = load
	}
	if good {
		t.sum, t.good = t.sum+tookMs, t.good+1
		f.bad[name] = 0
		return
	}
	t.met.Failed++
	if f.bad[name]++; f.habits.EjectsAfter > 0 && f.bad[name] >= f.habits.EjectsAfter {
		f.bad[name], f.shunned[name], f.shuns = 0, nowMs+f.habits.EjectMs, nowMs+f.habits.EjectMs
	}
}

// Came notes a req of a kind with a key.
func (f *Follower) Came(kind int, key string) {
	f.demandOf(kind).Reqs++
	if s := f.slice(key); s >= 0 {
		f.sliceDemand(s, kind).Reqs++
	}
}

// Unanswered notes a req that was let in and got no answer.
func (f *Follower) Unanswered(kind int, key string) {
	f.demandOf(kind).Unanswered++
	if s := f.slice(key); s >= 0 { // also one that came before the last sums: a slice's counts may not be less than these
		d := f.sliceDemand(s, kind)
		d.Unanswered, d.Reqs = d.Unanswered+1, max(d.Reqs, d.Unanswered+1)
	}
}

func (f *Follower) sliceDemand(table, kind int) *wire.SliceLoad {
	k := sliceKind{table, f.habits.Kinds[kind]}
	if f.cameTo[k] == nil {
		f.cameTo[k] = &wire.SliceLoad{Slice: table, Kind: k.kind}
	}
	return f.cameTo[k]
}

func (f *Follower) demandOf(kind int) *wire.Demand {
	name := f.habits.Kinds[kind]
	if f.came[name] == nil {
		f.came[name] = &wire.Demand{Kind: name}
	}
	return f.came[name]
}

// ReportRequest is how a pilot wants reports.
type ReportRequest struct {
	Lines   int // at most, of what was met; 0: all
	Changes bool
}

// restsMost is how many reports a line may be left out of.
const restsMost = 4

// Sums returns what was met since the last call, as far as it is wished for. What is left out adds up further.
func (f *Follower) Sums(nowMs float64, w ReportRequest) *wire.Sums {
	f.seq++
	s := &wire.Sums{Seq: f.seq, AtMs: nowMs, SpanMs: math.Max(0, nowMs-f.sinceMs)}
	names := slices.Sorted(maps.Keys(f.met))
	if w.Lines > 0 || w.Changes { // those that fail first, then those that were left out longest
		slices.SortStableFunc(names, func(a, b string) int { return f.met[b].rank() - f.met[a].rank() })
	}
	for i, name := range names {
		t := f.met[name]
		if w.Lines > 0 && i >= w.Lines || w.Changes && t.met.Failed == 0 && t.rests < restsMost {
			t.rests++
			continue
		}
		t.met.MeanMs = t.sum / math.Max(1, float64(t.good))
		s.Met = append(s.Met, t.met)
		delete(f.met, name)
	}
	for _, k := range slices.Sorted(maps.Keys(f.came)) {
		s.Demand = append(s.Demand, *f.came[k])
	}
	for _, k := range slices.SortedFunc(maps.Keys(f.cameTo), func(a, b sliceKind) int {
		return cmp.Or(a.table-b.table, strings.Compare(a.kind, b.kind))
	}) {
		s.Slices = append(s.Slices, *f.cameTo[k])
	}
	clear(f.came)
	clear(f.cameTo)
	f.sinceMs = nowMs
	return s
}

// rank is higher for what is to be told sooner.
func (t *tally) rank() int { return t.rests + map[bool]int{true: 1000}[t.met.Failed > 0] }

// Open returns whether a kind's table has a line for an endpoint that may be picked.
func (f *Follower) Open(kind int, name string) bool {
	return f.serves[kind].lines[name] > 0 && f.open(kind, name)
}
