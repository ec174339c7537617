package brain

// Call New once with the seed and the terms received at start, then Handle with each moment's notes; it returns
// the orders. The interface is port.go. docs/design.md gives the design (penalties, solve, spill, shared zone
// tables, gathered differences, cold cap). Mechanisms beside the design:
//  1. speed:   listed weights corrected by the speed that load reports show
//  2. health:  an endpoint that fails or falls silent for a zone's proxies leaves that zone's tables
//  3. return:  it comes back by a small trial share that doubles while answers are good
//  4. thrift:  a model of the channel defers what can wait
//  5. probes:  bounded probing where the site allows it

import (
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"sort"
)

const (
	lagGathers = 3      // gathers until a report shows what a table changed
	gatherMs   = 1000.0 // the gather window: reports are about a second apart and late
	theta      = 0.4    // penalty gain
	knee       = 0.75   // the load at which a penalty starts to grow (T)
	reach      = 1.5    // how far the gradient loop goes, in units of the own zone's part
	tolerance  = 0.15   // a line is sent again when it is off by this part
	rankMargin = 1.3    // zones change rank when one answers this much sooner
	trialPart  = 0.06   // share of its normal weight that an endpoint on trial gets
	firstWait  = 4000.0 // first wait before a trial; grows by waitGrowth after each relapse
	waitGrowth = 1.6
	longWait   = 20000.0
	crossing   = 2.75 // mean penalty at which a zone spills, for each point of the price of crossing
	priciest   = 2.0  // a penalty past every rank says no more, and would take long to come down
	single     = 0.4  // weight of an endpoint's own penalty against the mean of its zone
	full       = 0.9  // mean load at which reqs are denied
	shedStep   = 0.06
	leastLevel = 0.1
	calm       = 0.5    // weight of a new load report against the earlier ones
	staleMs    = 5000.0 // a load report older than this counts as unheard
	everyKind  = 31     // req kinds that a bit mask can name
)

// briefing is what the pilot was told at its start: a plain map of names to values.
type briefing map[string]any

// num reads a number that is above 0, or else takes the fallback.
func (t briefing) num(name string, fallback float64) float64 {
	if v, ok := t[name].(float64); ok && v > 0 && !math.IsInf(v, 0) {
		return v
	}
	return fallback
}

// inbox holds the notes that wait for an actor.
type inbox struct{ waiting []any }

// actor is a part that lives on notes alone.
type actor interface {
	box() *inbox
	take(note any)
}

func (i *inbox) box() *inbox { return i }

// post puts a note into an actor's inbox.
func (i *inbox) post(note any) { i.waiting = append(i.waiting, note) }

// The notes that the parts send each other.
type (
	gather struct { // asks an endpoint for its offers; step: a gather window has passed
		mean  float64
		speed map[int]float64
		step  bool
	}
	standing struct { // an endpoint tells the pilot its load and speed
		machine     int
		load, speed float64
	}
	offer struct { // an endpoint tells a region on what terms it takes part
		be, zone, machine    int
		weight, price, trust float64
		ready                bool
		load                 float64
		warmth               float64
	}
	solve struct{} // asks a region for new tables
	wish  struct {
		table, be int
		weight    float64
	} // a region wants a line
	shut struct {
		be  int
		out bool
	} // an endpoint must leave or may enter all tables
	probing struct{ be int }
	plan    struct { // a region tells an endpoint what a table will bring, in reqs a second
		table int
		rate  float64
	}
	allow struct { // a region wants a level for the kinds of a mask
		table, kinds int
		level        float64
	}
	flush struct{}
)

// Brain is one pilot's decision maker.
type Brain struct {
	inbox
	brief   briefing
	seed    int64
	draws   int
	now     float64
	bes     []*endpoint
	regions []*region
	desk    *courier
	groups  []kindGroup
	sliced  bool
	woken   bool
	loads   []standing
	mean    float64
	speed   map[int]float64
	orders  []Order
	gathers int
}

// kindGroup is a set of req kinds with the same open endpoints.
type kindGroup struct {
	mask     int
	machines []any
	zones    []any
	ownZone  bool
}

// New makes a Brain from its seed and the terms received at start.
func New(seed int64, terms map[string]any) *Brain {
	b := &Brain{brief: terms, seed: seed, mean: knee / 2, speed: map[int]float64{}}
	b.sliced = b.brief.num("slices", 0) > 0
	b.groups = b.groupKinds()
	b.desk = newCourier(b)
	return b
}

// groupKinds puts req kinds with the same open endpoints together.
func (b *Brain) groupKinds() []kindGroup {
	var groups []kindGroup
	seen := map[string]int{}
	kinds, _ := b.brief["req_kinds"].([]any)
	own, _ := b.brief["kind_own_zone"].([]any)
	for i, k := range kinds {
		m, _ := k.(map[string]any)
		g := kindGroup{}
		g.machines, _ = m["only_machines"].([]any)
		g.zones, _ = m["only_zones"].([]any)
		if i < len(own) {
			g.ownZone, _ = own[i].(bool)
		}
		key := fmt.Sprint(g.machines, g.zones, g.ownZone)
		if _, ok := seen[key]; !ok {
			seen[key] = len(groups)
			groups = append(groups, g)
		}
		groups[seen[key]].mask |= 1 << (i % everyKind)
	}
	if len(groups) < 2 {
		return []kindGroup{{ownZone: len(groups) == 1 && groups[0].ownZone}}
	}
	return groups
}

// open tells whether the group's reqs may go to an endpoint from a region.
func (g *kindGroup) open(zone int, o *offer) bool {
	return (!g.ownZone || o.zone == zone) && holds(g.machines, o.machine) && holds(g.zones, o.zone)
}

// holds tells whether a list names an index; an empty list names all.
func holds(list []any, index int) bool {
	for _, v := range list {
		if f, ok := v.(float64); ok && int(f) == index {
			return true
		}
	}
	return len(list) == 0
}

// chance draws a number in [0,1) from the seed and a counter.
func (b *Brain) chance() float64 {
	b.draws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d/%d", b.seed, b.draws))) / (1 << 32)
}

// say logs a change of mode.
func (b *Brain) say(format string, args ...any) {
	b.orders = append(b.orders, Log{fmt.Sprintf(format, args...)})
}

// Handle takes all notes of one moment and returns the orders they lead to.
func (b *Brain) Handle(nowMs float64, notes []Note) []Order {
	b.now = math.Max(b.now, nowMs)
	b.orders = nil
	if !b.woken {
		b.woken = true
		b.begin()
	}
	if b.sliced {
		return b.orders
	}
	for _, n := range notes {
		b.sort(n)
	}
	b.drain()
	b.desk.post(flush{})
	b.drain()
	return b.orders
}

// begin sets the clockwork going, each pilot at its own point of the window.
func (b *Brain) begin() {
	if b.sliced {
		b.say("slices are not planned: stored owners stay")
		return
	}
	if b.brief["discovery"] == "on_request" {
		b.orders = append(b.orders, Watch{On: true})
	}
	b.wake(gatherMs*(0.5+b.chance()/2), "gather")
}

// wake asks for an alarm after some time.
func (b *Brain) wake(afterMs float64, name string) {
	b.orders = append(b.orders, WakeAt{AtMs: b.now + afterMs, Name: name})
}

// sort puts a note from outside into the inboxes it concerns.
func (b *Brain) sort(n Note) {
	switch n := n.(type) {
	case Listing:
		b.list(n)
	case Alarm:
		b.alarm(n.Name)
	case Probed:
		b.be(n.Endpoint).post(n)
	case Met:
		be := b.be(n.Endpoint)
		be.post(n)
		b.region(n.Zone).post(metAt{n, be.Zone, be.listed})
	case Joined:
		b.region(n.Zone)
		for _, r := range b.regions {
			r.post(n)
		}
		b.desk.post(n)
	case Demand:
		for _, r := range b.regions {
			r.post(n)
		}
	case Left:
		for _, r := range b.regions {
			r.post(n)
		}
		b.desk.post(n)
	}
}

// list applies a listing; what a whole list no longer names is gone.
func (b *Brain) list(l Listing) {
	if l.Mode == ListFailed {
		b.wake(gatherMs*(1+b.chance()), "watch")
		return
	}
	named := map[int]bool{}
	for _, e := range l.Entries {
		named[e.Endpoint] = true
		b.region(e.Zone)
		b.be(e.Endpoint).post(e)
	}
	for i, be := range b.bes {
		if l.Mode != Changes && be.listed && !named[i] {
			gone := be.Entry
			gone.Phase = Gone
			be.post(gone)
		}
	}
	b.round(false)
}

func (b *Brain) alarm(name string) {
	switch name {
	case "gather":
		b.wake(gatherMs, "gather")
		b.round(true)
	case "watch":
		b.orders = append(b.orders, Watch{On: true})
	}
}

// round asks all endpoints for offers, then all regions for tables.
func (b *Brain) round(step bool) {
	b.drain()
	if step {
		b.gathers++
		b.average()
	}
	for _, be := range b.bes {
		be.post(gather{b.mean, b.speed, step})
	}
	b.drain()
	for _, r := range b.regions {
		r.post(solve{})
	}
}

// average turns the standings of the last window into the mean load and each machine's mean speed.
func (b *Brain) average() {
	if len(b.loads) == 0 {
		return
	}
	sum, n := 0.0, 0.0
	logs, counts := map[int]float64{}, map[int]float64{}
	for _, s := range b.loads {
		if s.load >= 0 {
			sum, n = sum+s.load, n+1
		}
		if s.speed > 0 {
			logs[s.machine] += math.Log(s.speed)
			counts[s.machine]++
		}
	}
	if n > 0 {
		b.mean = sum / n
	}
	for m, c := range counts {
		b.speed[m] = math.Exp(logs[m] / c)
	}
	b.loads = b.loads[:0]
}

// drain empties all inboxes, in a fixed order, until nothing waits.
func (b *Brain) drain() {
	for busy := true; busy; {
		busy = empty(b)
		for _, be := range b.bes {
			busy = empty(be) || busy
		}
		for _, r := range b.regions {
			busy = empty(r) || busy
		}
		busy = empty(b.desk) || busy
	}
}

// empty hands an actor what waits in its inbox.
func empty(a actor) bool {
	notes := a.box().waiting
	a.box().waiting = nil
	for _, n := range notes {
		a.take(n)
	}
	return len(notes) > 0
}

// take collects the standings.
func (b *Brain) take(note any) {
	if s, ok := note.(standing); ok {
		b.loads = append(b.loads, s)
	}
}

// be returns the endpoint's actor, making room for it.
func (b *Brain) be(i int) *endpoint {
	for len(b.bes) <= i {
		b.bes = append(b.bes, &endpoint{b: b, Entry: Entry{Endpoint: len(b.bes)}, load: -1, heard: -staleMs})
	}
	return b.bes[i]
}

// region returns the actor of a zone's proxies, making room for it.
func (b *Brain) region(zone int) *region {
	for len(b.regions) <= zone {
		b.regions = append(b.regions, &region{b: b, zone: len(b.regions), offers: map[int]*offer{},
			shares: map[int]float64{}, rates: map[int]float64{}})
	}
	return b.regions[zone]
}

// endpoint is the actor of one server.
type endpoint struct {
	inbox
	Entry
	b       *Brain
	listed  bool
	out     bool
	load    float64 // the last reported load, below 0 if none
	heard   float64
	first   float64 // when the first report came
	rate    float64 // reqs a second by its report
	price   float64 // the penalty lambda
	speeds  histogram
	views   []*view
	planned []float64               // what each table brings
	plans   [lagGathers + 1]float64 // what the tables of this and earlier gathers bring
	misses  int                     // probes without an answer in a row
	missAt  float64
	probeOK float64
}

// histogram counts speeds in bins of half an octave, halved when full.
type histogram struct{ bins [24]float64 }

func (h *histogram) add(v float64) {
	bin := int(math.Round(8 + 2*math.Log2(math.Max(v, 1e-9))))
	h.bins[max(0, min(len(h.bins)-1, bin))]++
	if total, _ := h.sum(); total > 24 {
		for i := range h.bins {
			h.bins[i] /= 2
		}
	}
}

// sum returns how much is counted and the geometric mean.
func (h *histogram) sum() (total, mean float64) {
	for i, n := range h.bins {
		total += n
		mean += n * float64(i-8) / 2
	}
	if total > 0 {
		mean = math.Exp2(mean / total)
	}
	return total, mean
}

// top returns the speed that a fifth of the counts reach, 0 while they are few.
func (h *histogram) top() float64 {
	total, _ := h.sum()
	over := 0.0
	for i := len(h.bins) - 1; i >= 0 && total >= 4; i-- {
		if over += h.bins[i]; over >= total/5 {
			return math.Exp2(float64(i-8) / 2)
		}
	}
	return 0
}

// view is what a zone's proxies see of an endpoint.
type view struct {
	good, bad   float64 // answers and failures, halved each gather
	rate        float64 // own tries a second
	lastGood    float64
	out         bool
	until, wait float64
	trust       float64
}

func (e *endpoint) view(zone int) *view {
	for len(e.views) <= zone {
		e.views = append(e.views, &view{trust: 1, wait: firstWait, lastGood: e.b.now})
	}
	return e.views[zone]
}

func (e *endpoint) take(note any) {
	switch n := note.(type) {
	case Entry:
		e.relist(n)
	case Met:
		e.met(n)
	case Probed:
		e.probed(n)
	case plan:
		for len(e.planned) <= n.table {
			e.planned = append(e.planned, 0)
		}
		e.planned[n.table] = n.rate
	case gather:
		e.gather(n)
	}
}

// relist takes over what the list says. A new start makes a new endpoint of it, cold and without a record.
func (e *endpoint) relist(n Entry) {
	if e.listed && n.Started != e.Started {
		e.views, e.price, e.load, e.heard = nil, 0, -1, -staleMs
		e.misses = 0
	}
	e.Entry, e.listed = n, true
	if out := n.Phase != Ready; out != e.out {
		e.out = out
		e.b.desk.post(shut{n.Endpoint, out})
	}
}

// met books what a zone's proxies met here.
func (e *endpoint) met(n Met) {
	v := e.view(n.Zone)
	good := max(0, n.Tries-n.Failed)
	v.good += float64(good)
	v.bad += float64(n.Failed)
	if good > 0 {
		v.lastGood = e.b.now
	}
	if n.SpanMs > 0 {
		v.rate = (v.rate + float64(good)*1000/n.SpanMs) / 2
	}
	e.report(n.Load)
}

// probed books a probe. Two unanswered ones in a row are a sign that nothing runs there.
func (e *endpoint) probed(n Probed) {
	switch n.Outcome {
	case "T", "C":
		if e.misses == 0 {
			e.missAt = e.b.now
		}
		e.misses++
	default:
		e.misses, e.probeOK = 0, e.b.now
	}
	e.report(n.Load)
}

// report reads a load report, whichever fields it has. Without util the load is that of the single queue which
// would be as long as the reported one.
func (e *endpoint) report(l Load) {
	listed := math.Max(e.Weight, 1e-3)
	if util, ok := l["util"]; ok {
		e.hear(util)
		if e.rate = l["rate"]; util > 0.15 && e.rate > 0 {
			e.speeds.add(e.rate / util / listed)
		}
		return
	}
	q, ok := l["waiting"]
	if !ok {
		q, ok = l["in_hand"]
	}
	load := (math.Sqrt(q*q+4*q) - q) / 2
	if ms := l["service_ms"]; ms > 0 {
		if e.b.now-e.first > staleMs { // the first figures after a start are far too low
			e.speeds.add(1000 / ms)
		}
		if base := e.base(); base > 0 {
			slow := math.Max(0, base*ms/1000-1)
			load = math.Max(load, 1-1/(1+2*slow))
		}
	}
	if ok {
		e.hear(load)
	}
}

// base is the speed of the unloaded endpoint: its own in its best times, or that of its like if it never had any.
func (e *endpoint) base() float64 { return math.Max(e.speed(), 0.7*e.b.speed[e.class()]) }

// hear takes a reported load into a mean over the last few reports: a single one jumps by half.
func (e *endpoint) hear(load float64) {
	if e.load < 0 || e.b.now-e.heard > staleMs {
		e.load, e.first = load, e.b.now
	}
	e.load, e.heard = e.load+(load-e.load)*calm, e.b.now
}

// class tells which endpoints' speeds compare: all where capacity shows, else those of the same machine.
func (e *endpoint) class() int {
	if e.rate > 0 {
		return -1
	}
	return e.Machine
}

// gather steps the penalty and tells every region the terms.
func (e *endpoint) gather(n gather) {
	if !e.listed {
		return
	}
	fresh := e.b.now-e.heard < staleMs && e.load >= 0
	load := n.mean
	if fresh {
		load = e.load
	}
	if n.step {
		load *= e.shift()
		target := math.Max(knee, n.mean) // when all are above it, only those above the mean pay
		e.price = math.Max(0, math.Min(priciest, e.price+theta*e.part()*(load*load-target*target)))
		e.b.post(standing{e.class(), pick(fresh, e.load, -1), e.speed()})
		e.probe()
	}
	weight := pick(e.Weight > 0, e.Weight, 1)
	if own, mean := e.speed(), n.speed[e.class()]; own > 0 && mean > 0 {
		seen, _ := e.speeds.sum()
		weight *= math.Pow(math.Max(0.4, math.Min(2.5, own/mean)), seen/(seen+2))
	}
	for _, r := range e.b.regions {
		v := e.view(r.zone)
		if n.step {
			e.judge(r, v)
		}
		r.post(offer{e.Endpoint, e.Zone, e.Machine, weight, e.price, pick(v.out, 0, v.trust), e.Phase == Ready, pick(fresh, e.load, n.mean), e.warmth()})
	}
}

func pick(cond bool, yes, no float64) float64 {
	if cond {
		return yes
	}
	return no
}

// shift brings a report up to date: it was made under the tables of some gathers ago, and what was changed since
// has yet to show. Without it the penalty swings, as it goes on acting on what it has already mended.
func (e *endpoint) shift() float64 {
	own := 0.0
	for _, rate := range e.planned {
		own += rate
	}
	then := e.plans[lagGathers]
	copy(e.plans[1:], e.plans[:])
	e.plans[0] = own
	if then <= 0 {
		return 1
	}
	return 1 + e.part()*(math.Max(0.25, math.Min(4, own/then))-1)
}

// speed is the endpoint's speed by its reports, 0 while they are few.
func (e *endpoint) speed() float64 {
	if e.rate > 0 {
		total, mean := e.speeds.sum()
		return pick(total >= 2, mean, 0)
	}
	return e.speeds.top()
}

// part is this pilot's part of the endpoint's load.
func (e *endpoint) part() float64 {
	own := 0.0
	for _, v := range e.views {
		own += v.rate
	}
	if e.rate <= 0 {
		return 1 / e.b.brief.num("instances", 1)
	}
	return math.Max(0.25, math.Min(1, own/e.rate))
}

// warmth rises from 0 to 1 over the stated cold phase.
func (e *endpoint) warmth() float64 {
	if e.Started == 0 {
		return 1
	}
	return math.Max(0.01, math.Min(1, (e.b.now-e.Started)/e.b.brief.num("cold", 10000)))
}

// probe examines the endpoint where that is allowed, each pilot in turn.
func (e *endpoint) probe() {
	every := int(e.b.brief.num("instances", 1))
	if seen, _ := e.speeds.sum(); seen < 8 {
		every = 1
	}
	allowed, _ := e.b.brief["probing"].(bool)
	if allowed && e.Phase == Ready && (e.b.gathers+e.Endpoint)%max(1, every) == 0 {
		e.b.desk.post(probing{e.Endpoint})
	}
}

// judge weighs the symptoms that a zone's proxies show of this endpoint.
func (e *endpoint) judge(r *region, v *view) {
	b := e.b
	switch {
	case v.out:
		if b.now >= v.until && e.misses == 0 {
			v.out, v.trust, v.good, v.bad, v.lastGood = false, trialPart, 0, 0, b.now
			b.say("endpoint %d zone %d: trial", e.Endpoint, r.zone)
		}
		return
	case e.Phase != Ready:
		return
	}
	ratio := v.bad / math.Max(1, v.good+v.bad)
	busy := e.load > knee && b.now-e.heard < staleMs // an overloaded endpoint is the penalty's business
	failing := v.bad >= 3 && ratio > 0.3+1.5*r.failing && !busy
	if v.trust < 1 {
		failing = v.bad >= 2 && ratio > math.Max(0.5, r.failing)
	}
	due := math.Min(v.rate, r.rate*r.shares[e.Endpoint]) * (b.now - v.lastGood - r.lag()) / 1000
	silent := due >= 8 && r.alive() || e.misses >= 2 && v.lastGood < e.missAt
	if failing || silent {
		b.say("endpoint %d zone %d: out, good %.1f bad %.1f due %.1f misses %d rest %.2f", e.Endpoint, r.zone,
			v.good, v.bad, due, e.misses, r.failing)
		v.out, v.until = true, b.now+v.wait
		v.wait = math.Min(longWait, v.wait*waitGrowth)
	} else if v.trust < 1 && v.good >= 1 {
		v.trust = math.Min(1, v.trust*2)
	}
	v.good, v.bad = v.good*0.6, v.bad*0.6
}

// metAt is a Met with the endpoint's zone.
type metAt struct {
	Met
	to     int
	listed bool
}

// region is the actor of one zone's proxies.
type region struct {
	inbox
	b         *Brain
	zone      int
	offers    map[int]*offer
	shares    map[int]float64 // what the tables send to each endpoint
	rate      float64         // tries a second
	failing   float64         // part of the tries that fail, over all endpoints
	good, bad float64
	tries     float64
	latency   []float64
	last      float64
	gaps      float64
	asked     []float64       // reqs by kind, halved each gather
	shed      float64         // part of the reqs to be denied
	rates     map[int]float64 // what each joined proxy ordinarily gets
	demand    float64
}

// lag is how long an endpoint's line may be late when all is well.
func (r *region) lag() float64 { return 1500 + r.gaps }

// alive tells whether reports arrive at all.
func (r *region) alive() bool { return r.b.now-r.last < 2*gatherMs }

func (r *region) take(note any) {
	switch n := note.(type) {
	case metAt:
		r.met(n)
	case Joined:
		delete(r.rates, n.Proxy)
		if n.Zone == r.zone {
			r.rates[n.Proxy] = n.Rate
		}
	case Left:
		delete(r.rates, n.Proxy)
	case Demand:
		if _, ours := r.rates[n.Proxy]; ours {
			for len(r.asked) <= n.Kind {
				r.asked = append(r.asked, 0)
			}
			r.asked[n.Kind] += float64(n.Reqs)
		}
	case offer:
		r.offers[n.be] = &n
	case solve:
		r.solve()
	}
}

// met books demand, failures and the way's length to a zone.
func (r *region) met(n metAt) {
	r.last = r.b.now
	r.tries += float64(n.Tries - n.Failed)
	r.good += float64(n.Tries - n.Failed)
	r.bad += float64(n.Failed)
	r.gaps += (n.SpanMs - r.gaps) / 16
	for len(r.latency) <= n.to {
		r.latency = append(r.latency, 0)
	}
	if n.MeanMs > 0 {
		r.latency[n.to] += (n.MeanMs - r.latency[n.to]) / 8
	}
}

// rank is the cost of a zone: 0 for the own one, then by heard latency, else in the order of the list.
func (r *region) rank(zone int) float64 {
	if zone == r.zone {
		return 0
	}
	n := len(r.b.regions)
	return 1/reach + crossing*r.b.brief.num("cross_zone", 0.1) + 0.2*float64((zone-r.zone+n)%n-1)
}

// solve lays this region's tables, one for each group of req kinds.
func (r *region) solve() {
	if r.b.gathers > 0 {
		r.rate += (r.tries*1000/gatherMs - r.rate) / 4
		r.failing = r.bad / math.Max(8, r.good+r.bad)
		r.tries, r.good, r.bad = 0, r.good*0.6, r.bad*0.6
	}
	r.shares, r.demand = map[int]float64{}, total(r.rates)
	for g := range r.b.groups {
		table, demand := r.zone*len(r.b.groups)+g, r.demand/float64(len(r.b.groups))
		lines, own := r.candidates(&r.b.groups[g])
		share(lines, own)
		for _, l := range lines {
			r.shares[l.be] += l.x / float64(len(r.b.groups))
			r.b.desk.post(wish{table, l.be, l.x})
			r.b.bes[l.be].post(plan{table, l.x * demand})
		}
	}
	r.level()
}

// level denies part of the reqs while the endpoints that the tables use are overloaded on the whole: late answers
// earn next to nothing and keep the queues full. The kinds with the least payoff for their response target, which
// stands for their work, go first.
func (r *region) level() {
	load, sum := 0.0, 0.0
	for i := range r.b.bes {
		if o := r.offers[i]; o != nil {
			load += r.shares[i] * o.load
			sum += r.shares[i]
		}
	}
	load /= math.Max(sum, 1e-9)
	before := r.shed
	if load > full {
		r.shed = math.Min(0.9, r.shed+shedStep*(1+2*r.failing))
	} else if load < full-0.1 {
		r.shed = math.Max(0, r.shed-shedStep/2)
	}
	if (before == 0) != (r.shed == 0) {
		r.b.say("zone %d: denying %.2f, load %.2f failing %.2f", r.zone, r.shed, load, r.failing)
	}
	total := 1e-9
	for k := range r.asked {
		r.asked[k] *= 0.7
		total += r.asked[k]
	}
	left := r.shed
	for _, k := range r.b.byPayoff() {
		level := 1.0
		if k < len(r.asked) && left > 0 && r.asked[k] > 0 {
			cut := math.Min(1-leastLevel, left*total/r.asked[k])
			level, left = 1-cut, left-cut*r.asked[k]/total
		}
		for g, group := range r.b.groups {
			if group.mask == 0 || group.mask&(1<<k) != 0 {
				r.b.desk.post(allow{r.zone*len(r.b.groups) + g, 1 << k, level})
			}
		}
	}
}

// byPayoff lists the req kinds, those with the least payoff for their response target first.
func (b *Brain) byPayoff() []int {
	kinds, _ := b.brief["req_kinds"].([]any)
	order, worth := make([]int, len(kinds)), make([]float64, len(kinds))
	for i, k := range kinds {
		m, _ := k.(map[string]any)
		order[i], worth[i] = i, briefing(m).num("payoff", 1)/briefing(m).num("response_target", 1000)
	}
	sort.SliceStable(order, func(i, j int) bool { return worth[order[i]] < worth[order[j]] })
	return order[:min(len(order), everyKind)]
}

// total sums in a fixed order.
func total(rates map[int]float64) float64 {
	sum := 0.0
	for _, p := range slices.Sorted(maps.Keys(rates)) {
		sum += rates[p]
	}
	return sum
}

// line is one endpoint in a solve.
type line struct {
	be                 int
	listed, cost, cap  float64
	x                  float64
	own                bool
	before, room, rest float64 // reqs a second from other tables, and at full load; load by other pilots
}

// candidates lists the endpoints open to a group, with cost, listed share and cap. If all are out, all are in:
// a line that may fail is better than none.
func (r *region) candidates(g *kindGroup) ([]line, float64) {
	var lines []line
	home := r.home(g)
	sum, ownTotal, normal, trusted := 0.0, 0.0, 0.0, 0.0
	for i := range r.b.bes {
		o := r.offers[i]
		if o == nil {
			continue
		}
		l := line{be: i, own: o.zone == home}
		if g.open(r.zone, o) && l.own {
			normal += o.weight
		}
		if o.ready && g.open(r.zone, o) {
			l.listed, l.cost = o.weight, pick(l.own, 0, r.rank(o.zone))+o.price
			l.cap = o.warmth * o.trust * pick(o.warmth < 1, 1-r.failing, 1)
			sum += o.weight
			ownTotal += pick(l.own, o.weight, 0)
			trusted += pick(o.warmth >= 1, o.trust, 0)
		}
		lines = append(lines, l)
	}
	for i := range lines {
		l := &lines[i]
		if l.listed == 0 {
			continue
		}
		if trusted == 0 {
			l.cap = r.offers[l.be].warmth
		}
		l.listed /= sum
		if l.cap >= 1 {
			l.cap = math.Inf(1)
		} else {
			l.cap *= l.listed * sum / pick(l.own, ownTotal, sum)
		}
	}
	r.shrink(lines)
	return lines, normal / math.Max(sum, 1e-9)
}

// home is the zone that serves a group as its own: the nearest one where any endpoint is open to it.
func (r *region) home(g *kindGroup) int {
	home := -1
	for i := range r.b.bes {
		if o := r.offers[i]; o != nil && g.open(r.zone, o) && (home < 0 || r.rank(o.zone) < r.rank(home)) {
			home = o.zone
		}
	}
	return home
}

// shrink draws each cost towards the mean of its zone: that a zone is short shows clearly in the mean of its
// endpoints, while one endpoint's reports are mostly noise.
func (r *region) shrink(lines []line) {
	sums, parts := map[int]float64{}, map[int]float64{}
	for _, l := range lines {
		zone := r.offers[l.be].zone
		sums[zone] += l.cost * l.listed
		parts[zone] += l.listed
	}
	for i, l := range lines {
		if zone := r.offers[l.be].zone; parts[zone] > 0 {
			lines[i].cost = sums[zone]/parts[zone] + single*(l.cost-sums[zone]/parts[zone])
		}
	}
}

// share runs the projected-gradient loop from the listed shares.
func share(lines []line, own float64) {
	for i := range lines {
		lines[i].x = lines[i].listed
	}
	const steps = 24
	eta := reach / math.Max(own, 0.1) / steps
	project(lines)
	for range steps {
		mean := 0.0
		for i := range lines {
			mean += lines[i].x * lines[i].cost
		}
		for i := range lines {
			l := &lines[i]
			l.x -= eta * l.listed * (l.cost - mean)
		}
		project(lines)
	}
	for i := range lines {
		if lines[i].x < 0.004 {
			lines[i].x = 0
		}
	}
}

// project moves the shares to the nearest point where they sum to 1, none below 0 or above its cap, shifting each
// in proportion to its listed share. Caps that leave too little room are widened together.
func project(lines []line) {
	room := 0.0
	for i := range lines {
		room += pick(lines[i].listed > 0, lines[i].cap, 0)
	}
	widen := pick(room > 0 && room < 1, 1.0001/room, 1)
	low, high := -8.0, 64.0
	for range 50 {
		mid := (low + high) / 2
		sum := 0.0
		for _, l := range lines {
			sum += l.at(mid, widen)
		}
		if sum < 1 {
			low = mid
		} else {
			high = mid
		}
	}
	for i := range lines {
		lines[i].x = lines[i].at(high, widen)
	}
}

// at is the line's share when the level is raised.
func (l line) at(level, widen float64) float64 {
	if l.listed == 0 {
		return 0
	}
	return math.Max(0, math.Min(l.cap*widen, l.x+level*l.listed))
}

// courier is the actor that owns the channel: it knows what the proxies hold and what may wait.
type courier struct {
	inbox
	b       *Brain
	tables  map[int]*table
	proxies map[int]*proxy
	shuts   []shut
	joins   []Joined
	waiting float64 // lines that may still wait in the channel
	at      float64
}

type table struct{ sent, want, levels, admits map[int]float64 }

type proxy struct {
	zone  int
	sends []float64
}

func newCourier(b *Brain) *courier {
	return &courier{b: b, tables: map[int]*table{}, proxies: map[int]*proxy{}}
}

func (c *courier) take(note any) {
	switch n := note.(type) {
	case wish:
		t := c.table(n.table)
		t.want[n.be] = n.weight
	case allow:
		c.table(n.table).levels[n.kinds] = n.level
	case shut:
		c.shuts = append(c.shuts, n)
	case Joined:
		c.proxies[n.Proxy] = &proxy{zone: n.Zone}
		c.joins = append(c.joins, n)
	case Left:
		delete(c.proxies, n.Proxy)
	case probing:
		c.b.orders = append(c.b.orders, Probe{Endpoint: n.be})
	case flush:
		c.flush()
	}
}

func (c *courier) table(i int) *table {
	if c.tables[i] == nil {
		c.tables[i] = &table{map[int]float64{}, map[int]float64{}, map[int]float64{}, map[int]float64{}}
	}
	return c.tables[i]
}

// flush writes what is due: drains first, then differences, then the tables of proxies that joined.
func (c *courier) flush() {
	pace := c.b.brief.num("lines_per_s", 1000)
	c.waiting = math.Max(0, c.waiting-(c.b.now-c.at)*pace/2000)
	c.at = c.b.now
	for _, s := range c.shuts {
		if s.out {
			c.write(Withdraw{s.be, true}, -1, 1)
		}
	}
	n := len(c.b.regions) * len(c.b.groups)
	for i := 0; i < n; i++ {
		c.push(i)
		c.admit(i)
	}
	for _, s := range c.shuts {
		if !s.out {
			c.write(Withdraw{s.be, false}, -1, 1)
		}
	}
	c.shuts = nil
	for _, j := range c.joins {
		c.bind(j)
	}
	c.joins = nil
}

// bind puts a proxy that joined on its zone's tables.
func (c *courier) bind(j Joined) {
	p := c.proxies[j.Proxy]
	if p == nil {
		return
	}
	for g, group := range c.b.groups {
		i := p.zone*len(c.b.groups) + g
		c.b.orders = append(c.b.orders, Bind{Table: i, Proxy: j.Proxy, Kinds: group.mask})
		c.waiting += float64(len(c.table(i).sent)+len(c.table(i).admits)) + 1
	}
	c.waiting += c.b.brief.num("head_lines", 4)
	p.sends = append(p.sends, c.b.now)
}

// push writes a table's differences, if any are worth it and the channel has room.
func (c *courier) push(i int) {
	t := c.table(i)
	var due []int
	urgent := false
	for be, want := range t.want {
		sent := t.sent[be]
		if sent == want || math.Abs(sent-want) <= tolerance*math.Max(sent, want) {
			continue
		}
		due = append(due, be)
		urgent = urgent || want == 0 || len(t.sent) == 0
	}
	if len(due) == 0 {
		return
	}
	sort.Ints(due)
	zone := i / len(c.b.groups)
	if !urgent && !c.room(zone, len(due)) {
		return
	}
	// New lines before removals: a table never runs empty on the way.
	for _, adding := range []bool{true, false} {
		for _, be := range due {
			if (t.want[be] > 0) == adding {
				c.write(SetLine{Table: i, Endpoint: be, Weight: t.want[be]}, zone, 1)
				if adding {
					t.sent[be] = t.want[be]
				} else {
					delete(t.sent, be)
				}
			}
		}
	}
}

// admit writes a table's levels that have changed enough.
func (c *courier) admit(i int) {
	t := c.table(i)
	if c.b.brief["admission"] != "share" {
		return
	}
	for k := 0; k < everyKind; k++ {
		level, ok := t.levels[1<<k]
		sent, was := t.admits[1<<k]
		if sent = pick(was, sent, 1); !ok || sent == level || math.Abs(sent-level) < 0.06 && level < 1 {
			continue
		}
		t.admits[1<<k] = level
		c.write(Admit{Table: i, Kinds: 1 << k, Again: int(c.b.brief.num("retry_default", 0)), Level: level},
			i/len(c.b.groups), 1)
	}
}

// room tells whether the channel and the proxies' message counts leave room for what can wait.
func (c *courier) room(zone, lines int) bool {
	most := c.b.brief.num("messages_most", math.Inf(1))
	span := c.b.brief.num("messages_over", 10000)
	cost := 0.0
	for _, p := range c.proxies {
		if p.zone != zone {
			continue
		}
		for len(p.sends) > 0 && p.sends[0] < c.b.now-span {
			p.sends = p.sends[1:]
		}
		if float64(len(p.sends)) >= most/2 {
			return false
		}
		cost += float64(lines) + c.b.brief.num("head_lines", 4)
	}
	return c.waiting+cost < c.b.brief.num("backlog", 1000)/3
}

// write gives an order and books its lines for the proxies of a zone (or all, below 0).
func (c *courier) write(o Order, zone int, lines float64) {
	c.b.orders = append(c.b.orders, o)
	for _, p := range c.proxies {
		if zone >= 0 && p.zone != zone {
			continue
		}
		c.waiting += lines
		if n := len(p.sends); n == 0 || p.sends[n-1] != c.b.now {
			p.sends = append(p.sends, c.b.now)
			c.waiting += c.b.brief.num("head_lines", 4)
		}
	}
}
