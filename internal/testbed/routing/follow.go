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
	Classes       []string
	Algorithm        string // weighted, round or two
	EjectAfter int    // failures in a row; 0: never
	EjectionMs     float64
	RetryMode    int // way of trying again where none is told
}

// table is a table as a proxy has it.
type table struct {
	lines  map[string]float64
	admission map[int]admission // by mask of classes
	roundRobinCredit   map[string]float64
	cached  *candidates // of lines that may be picked, while nothing changes
}

// candidates is lines in order with their weights.
type candidates struct {
	names   []string
	weights []float64
	weightSum     float64
}

type admission struct {
	admitted  float64
	retryMode int
}

// keyRange is the keys that use a table.
type keyRange struct {
	from, to string
	table    int
}

type sliceClass struct {
	table int
	class  string
}

func newTable() *table {
	return &table{lines: map[string]float64{}, admission: map[int]admission{}, roundRobinCredit: map[string]float64{}}
}

// Router is what a proxy holds.
type Router struct {
	policy     Policy
	random        *rand.Rand
	tables     map[int]*table // of this stream, by number
	previousTables     map[int]*table // of the stream before, for one that is resumed
	byClass     []*table       // by class: what counts now
	ranges     []keyRange    // by their first key; what falls into none goes by its class's table
	sliceDemand     map[sliceClass]*wire.SliceLoad
	assigned      []bool // by class: by this stream
	excluded        map[string]bool
	previouslyExcluded  map[string]bool // what the stream before had shut out; heeded by classes that are not bound
	admissionOfAll map[int]admission
	inFlight       map[string]int // reqs at each endpoint
	consecutiveFailures        map[string]int // failures in a row
	ejectedUntilMs    map[string]float64
	lastEjectionEndsMs      float64 // until when any endpoint is shunned
	stats        map[string]*endpointStats
	demand       map[string]*wire.Demand
	lastReportMs    float64
	reportSeq        uint64 // of reports in this stream
}

type endpointStats struct {
	counts   wire.Met
	latencySumMs   float64
	succeeded  int
	skippedReports int // reports that it was left out of
}

// NewRouter returns one with a standing table for all classes.
func NewRouter(h Policy, standing []string, seed uint64) *Router {
	f := &Router{policy: h, random: rand.New(rand.NewPCG(seed, 3)), tables: map[int]*table{},
		byClass: make([]*table, len(h.Classes)), assigned: make([]bool, len(h.Classes)), excluded: map[string]bool{},
		previouslyExcluded: map[string]bool{}, admissionOfAll: map[int]admission{}, inFlight: map[string]int{}, consecutiveFailures: map[string]int{},
		ejectedUntilMs: map[string]float64{}, stats: map[string]*endpointStats{}, demand: map[string]*wire.Demand{}, sliceDemand: map[sliceClass]*wire.SliceLoad{}}
	t := newTable()
	for _, name := range standing {
		t.lines[name] = 1
	}
	for k := range f.byClass {
		f.byClass[k] = t
	}
	return f
}

// StreamJoined begins a new stream: tables stay as they are until they are bound anew, numbers of the old are forgotten.
func (f *Router) StreamJoined() {
	defer f.invalidateCandidates()
	f.previousTables, f.tables, f.reportSeq = f.tables, map[int]*table{}, 0
	maps.Copy(f.previouslyExcluded, f.excluded)
	f.excluded, f.admissionOfAll = map[string]bool{}, map[int]admission{}
	clear(f.assigned)
	for _, r := range f.ranges { // slices stay until their pilot says otherwise
		if t := f.previousTables[r.table]; t != nil {
			f.tables[r.table] = t
		}
	}
}

// Fresh returns whether no stream has ever bound it.
func (f *Router) Fresh() bool { return len(f.tables) == 0 && !slices.Contains(f.assigned, true) }

// Endpoints names the endpoints of all tables that count.
func (f *Router) Endpoints() []string {
	all := map[string]bool{}
	for _, t := range f.byClass {
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

// HeldTables are those of the last stream, as a hello names them.
func (f *Router) HeldTables() (list []wire.HeldTable) {
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
func (f *Router) Apply(ops []wire.Op) (marks []int) {
	defer f.invalidateCandidates()
	for _, o := range ops {
		switch o.Kind {
		case wire.OpBind:
			f.assign(o)
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
			clear(t.admission)
		case wire.OpWithdraw:
			if f.excluded[o.Endpoint] = o.Out; !o.Out {
				delete(f.excluded, o.Endpoint)
				delete(f.previouslyExcluded, o.Endpoint)
			}
		case wire.OpAdmit:
			if o.Table == wire.EveryTable {
				f.admissionOfAll[o.Kinds] = admission{o.Weight, o.Again}
			} else {
				f.table(o.Table).admission[o.Kinds] = admission{o.Weight, o.Again}
			}
		case wire.OpMark:
			marks = append(marks, o.Number)
		case wire.OpRange:
			f.assignRange(o)
		}
	}
	return marks
}

// assignRange gives keys to a table that begins anew, or takes them from it.
func (f *Router) assignRange(o wire.Op) {
	f.ranges = slices.DeleteFunc(f.ranges, func(r keyRange) bool { return r.table == o.Table })
	if delete(f.tables, o.Table); o.Out {
		return
	}
	f.tables[o.Table] = newTable()
	f.ranges = append(f.ranges, keyRange{o.From, o.To, o.Table})
	slices.SortFunc(f.ranges, func(a, b keyRange) int { return strings.Compare(a.from, b.from) })
}

// sliceTable returns the table that a key falls to, -1 for none.
func (f *Router) sliceTable(key string) int {
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

// tableFor returns the table that counts for a req.
func (f *Router) tableFor(class int, key string) *table {
	if s := f.sliceTable(key); s >= 0 {
		return f.table(s)
	}
	return f.byClass[class]
}

func (f *Router) table(number int) *table {
	if f.tables[number] == nil {
		f.tables[number] = newTable()
	}
	return f.tables[number]
}

func (f *Router) assign(o wire.Op) {
	t := newTable()
	if old := f.previousTables[o.Table]; o.Keep && old != nil {
		t = old
		clear(t.admission) // all of them follow
	}
	if was := f.tables[o.Table]; was != nil {
		for k := range f.byClass {
			if f.byClass[k] == was {
				f.byClass[k] = t
			}
		}
	}
	f.tables[o.Table] = t
	for k := range f.byClass {
		if o.Kinds == 0 || o.Kinds&(1<<k) != 0 {
			f.byClass[k], f.assigned[k] = t, true
		}
	}
	if !slices.Contains(f.assigned, false) {
		clear(f.previouslyExcluded)
	}
}

// included returns whether a line may be picked for a class.
func (f *Router) included(class int, name string) bool {
	return !f.excluded[name] && (f.assigned[class] || !f.previouslyExcluded[name])
}

// EligibleCount returns how many lines a class can be picked from; an endpoint that this proxy shuns counts, as it is picked
// where all are shunned.
func (f *Router) EligibleCount(class int) (n int) {
	for name := range f.byClass[class].lines {
		if f.included(class, name) {
			n++
		}
	}
	return n
}

// Admit draws whether a req of a class is let in.
func (f *Router) Admit(class int) bool {
	part := math.Min(admissionFor(f.byClass[class].admission, class, admission{1, -1}).admitted, admissionFor(f.admissionOfAll, class, admission{1, -1}).admitted)
	return part >= 1 || f.random.Float64() < part
}

// RetryMode returns the way of trying again for a class.
func (f *Router) RetryMode(class int) int {
	if l := admissionFor(f.byClass[class].admission, class, admission{1, -1}); l.retryMode >= 0 {
		return l.retryMode
	}
	if l := admissionFor(f.admissionOfAll, class, admission{1, -1}); l.retryMode >= 0 {
		return l.retryMode
	}
	return f.policy.RetryMode
}

func admissionFor(levels map[int]admission, class int, none admission) admission {
	for mask, l := range levels {
		if mask == 0 || mask&(1<<class) != 0 {
			return l
		}
	}
	return none
}

// Pick draws a line for a class and key, none of those tried before if there is another. Where none is left it returns "".
func (f *Router) Pick(nowMs float64, class int, key string, tried []string) string {
	t := f.tableFor(class, key)
	l := f.candidatesFor(class, t)
	if len(tried) > 0 || f.lastEjectionEndsMs > nowMs || f.policy.Algorithm == "round" {
		return f.pickFrom(nowMs, t, l, tried)
	}
	a := l.draw(f.random)
	if f.policy.Algorithm == "two" {
		if b := l.draw(f.random); f.inFlight[b] < f.inFlight[a] {
			return b
		}
	}
	return a
}

// pickFrom leaves out what is shunned and what was tried, as far as something else is left.
func (f *Router) pickFrom(nowMs float64, t *table, l *candidates, tried []string) string {
	var names []string
	for pass := 0; pass < 3 && len(names) == 0; pass++ { // then with the shunned, then with those tried
		for _, name := range l.names {
			if (pass > 0 || f.ejectedUntilMs[name] <= nowMs) && (pass > 1 || !slices.Contains(tried, name)) {
				names = append(names, name)
			}
		}
	}
	if len(names) == 0 {
		return ""
	}
	switch f.policy.Algorithm {
	case "round":
		return f.roundRobin(t, names)
	case "two":
		a, b := f.drawAmong(t, names), f.drawAmong(t, names)
		if f.inFlight[b] < f.inFlight[a] {
			return b
		}
		return a
	}
	return f.drawAmong(t, names)
}

// invalidateCandidates drops the lineups.
func (f *Router) invalidateCandidates() {
	for _, t := range f.tables {
		t.cached = nil
	}
	for _, t := range f.byClass {
		t.cached = nil
	}
}

// candidatesFor returns the lines that may be picked for a class.
func (f *Router) candidatesFor(class int, t *table) *candidates {
	if t.cached != nil && len(f.previouslyExcluded) == 0 { // else classes of one table may differ
		return t.cached
	}
	l := &candidates{}
	for _, name := range slices.Sorted(maps.Keys(t.lines)) {
		if f.included(class, name) {
			l.names, l.weights = append(l.names, name), append(l.weights, t.lines[name])
			l.weightSum += t.lines[name]
		}
	}
	if len(f.previouslyExcluded) == 0 {
		t.cached = l
	}
	return l
}

func (l *candidates) draw(rnd *rand.Rand) string {
	if len(l.names) == 0 {
		return ""
	}
	at := rnd.Float64() * l.weightSum
	for i, w := range l.weights {
		if at -= w; at < 0 {
			return l.names[i]
		}
	}
	return l.names[len(l.names)-1]
}

func (f *Router) drawAmong(t *table, names []string) string {
	sum := 0.0
	for _, n := range names {
		sum += t.lines[n]
	}
	at := f.random.Float64() * sum
	for _, n := range names {
		if at -= t.lines[n]; at < 0 {
			return n
		}
	}
	return names[len(names)-1]
}

// roundRobin is smooth weighted round robin.
func (f *Router) roundRobin(t *table, names []string) string {
	sum, best := 0.0, names[0]
	for _, n := range names {
		sum += t.lines[n]
		t.roundRobinCredit[n] += t.lines[n]
		if t.roundRobinCredit[n] > t.roundRobinCredit[best] {
			best = n
		}
	}
	t.roundRobinCredit[best] -= sum
	return best
}

// AttemptStarted notes that a try has left.
func (f *Router) AttemptStarted(name string) { f.inFlight[name]++ }

// AttemptFinished notes how a try ended.
func (f *Router) AttemptFinished(nowMs float64, name string, good bool, tookMs float64, load []wire.Figure) {
	f.inFlight[name]--
	t := f.stats[name]
	if t == nil {
		t = &endpointStats{counts: wire.Met{Endpoint: name}}
		f.stats[name] = t
	}
	t.counts.Tries++
	if len(load) > 0 {
		t.counts.Load = load
	}
	if good {
		t.latencySumMs, t.succeeded = t.latencySumMs+tookMs, t.succeeded+1
		f.consecutiveFailures[name] = 0
		return
	}
	t.counts.Failed++
	if f.consecutiveFailures[name]++; f.policy.EjectAfter > 0 && f.consecutiveFailures[name] >= f.policy.EjectAfter {
		f.consecutiveFailures[name], f.ejectedUntilMs[name], f.lastEjectionEndsMs = 0, nowMs+f.policy.EjectionMs, nowMs+f.policy.EjectionMs
	}
}

// RequestArrived notes a req of a class with a key.
func (f *Router) RequestArrived(class int, key string) {
	f.demandOfClass(class).Reqs++
	if s := f.sliceTable(key); s >= 0 {
		f.demandOfSlice(s, class).Reqs++
	}
}

// RequestUnanswered notes a req that was let in and got no answer.
func (f *Router) RequestUnanswered(class int, key string) {
	f.demandOfClass(class).Unanswered++
	if s := f.sliceTable(key); s >= 0 { // also one that came before the last sums: a slice's counts may not be less than these
		d := f.demandOfSlice(s, class)
		d.Unanswered, d.Reqs = d.Unanswered+1, max(d.Reqs, d.Unanswered+1)
	}
}

func (f *Router) demandOfSlice(table, class int) *wire.SliceLoad {
	k := sliceClass{table, f.policy.Classes[class]}
	if f.sliceDemand[k] == nil {
		f.sliceDemand[k] = &wire.SliceLoad{Slice: table, Kind: k.class}
	}
	return f.sliceDemand[k]
}

func (f *Router) demandOfClass(class int) *wire.Demand {
	name := f.policy.Classes[class]
	if f.demand[name] == nil {
		f.demand[name] = &wire.Demand{Kind: name}
	}
	return f.demand[name]
}

// ReportRequest is how a pilot wants reports.
type ReportRequest struct {
	MaxEndpoints   int // at most, of what was met; 0: all
	ChangesOnly bool
}

// maxSkippedReports is how many reports a line may be left out of.
const maxSkippedReports = 4

// Report returns what was met since the last call, as far as it is wished for. What is left out adds up further.
func (f *Router) Report(nowMs float64, w ReportRequest) *wire.Sums {
	f.reportSeq++
	s := &wire.Sums{Seq: f.reportSeq, AtMs: nowMs, SpanMs: math.Max(0, nowMs-f.lastReportMs)}
	names := slices.Sorted(maps.Keys(f.stats))
	if w.MaxEndpoints > 0 || w.ChangesOnly { // those that fail first, then those that were left out longest
		slices.SortStableFunc(names, func(a, b string) int { return f.stats[b].rank() - f.stats[a].rank() })
	}
	for i, name := range names {
		t := f.stats[name]
		if w.MaxEndpoints > 0 && i >= w.MaxEndpoints || w.ChangesOnly && t.counts.Failed == 0 && t.skippedReports < maxSkippedReports {
			t.skippedReports++
			continue
		}
		t.counts.MeanMs = t.latencySumMs / math.Max(1, float64(t.succeeded))
		s.Met = append(s.Met, t.counts)
		delete(f.stats, name)
	}
	for _, k := range slices.Sorted(maps.Keys(f.demand)) {
		s.Demand = append(s.Demand, *f.demand[k])
	}
	for _, k := range slices.SortedFunc(maps.Keys(f.sliceDemand), func(a, b sliceClass) int {
		return cmp.Or(a.table-b.table, strings.Compare(a.class, b.class))
	}) {
		s.Slices = append(s.Slices, *f.sliceDemand[k])
	}
	clear(f.demand)
	clear(f.sliceDemand)
	f.lastReportMs = nowMs
	return s
}

// rank is higher for what is to be told sooner.
func (t *endpointStats) rank() int { return t.skippedReports + map[bool]int{true: 1000}[t.counts.Failed > 0] }

// Eligible returns whether a class's table has a line for an endpoint that may be picked.
func (f *Router) Eligible(class int, name string) bool {
	return f.byClass[class].lines[name] > 0 && f.included(class, name)
}
