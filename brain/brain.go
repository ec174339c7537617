package brain

// Call New once with the seed and the terms received at start, then Handle with each moment's notes: it
// returns the orders. The interface is port.go, the design and its reasons docs/design.md. Endpoints,
// regions (the proxies of a zone) and the courier (the channel) are actors with inboxes. Mechanisms beside
// the design:
//  1. speed:     listed weights corrected by the speed that load reports show
//  2. health:    an endpoint that fails or falls silent for a zone's proxies leaves and returns by trial
//  3. foresight: demand known to overfill a zone prices its endpoints before reports show it
//  4. levels:    under overload the req kinds with the least payoff for their time are let in less
//  5. thrift:    a model of the channel defers what can wait
//  6. hindsight: load reports are brought up to date with the tables sent since they were made

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
)

const (
	gatherMs   = 1000.0 // the gather window: reports are about this far apart
	theta      = 0.25   // penalty gain in a gather
	priciest   = 1.1    // a penalty above every rank says no more, and a higher one would be slow to come down
	single     = 0.4    // weight of an endpoint's own penalty against its zone's mean: one report is noisy
	reach      = 1.5    // length of the gradient loop, in units of the own zone's part
	tolerance  = 0.15   // a line is sent again when it is off by this part
	calm       = 0.7    // weight of a new load report against the earlier ones
	staleMs    = 5000.0 // a load report older than this counts as unheard
	lagGathers = 3      // gathers until a report shows what a table changed
	trialPart  = 0.06   // share of its normal weight that an endpoint on trial gets
	dueAnswers = 8.0    // answers that must be missing before an endpoint counts as silent
	fade       = 0.6    // what a gather leaves of the counts before it
	longQueue  = 10.0   // a queue that counts as much as a whole load on top of a full one
)

// What comes in sets: a clear margin of latency and the cost of a rank; first, longest and growing waits
// before a trial; the load at which reqs are denied, how much sooner if of less payoff, how fast, what stays.
const (
	rankMargin, rankStep              = 1.3, 0.2
	firstWait, longWait, waitGrowth   = 4000.0, 20000.0, 1.6
	full, yield, shedStep, leastLevel = 0.9, 0.08, 0.06, 0.1
)

type briefing map[string]any

func (t briefing) num(name string, fallback float64) float64 {
	if v, ok := t[name].(float64); ok && v > 0 && !math.IsInf(v, 0) {
		return v
	}
	return fallback
}

type inbox struct {
	waiting []any
	take    func(note any)
}

func (i *inbox) post(note any) { i.waiting = append(i.waiting, note) }

type gather struct {
	step        bool
	mean, speed float64 // of all loads, and of the speeds in the endpoint's class
}

type offer struct {
	Entry
	price, trust, load, speed, warmth float64
	heard                             bool
}

type solve struct{ step bool }

type flush struct{}

// Brain is one pilot's decision maker.
type Brain struct {
	inbox
	brief           briefing
	gathers         int
	now, mean, knee float64
	woken           bool
	bes             []*endpoint
	regions         []*region
	actors          []*inbox
	desk            *courier
	groups          []kindGroup
	kinds           []briefing // what was told of each req kind
	speeds          histogram
	orders          []Order
}

type kindGroup struct {
	mask            int
	machines, zones []any
	ownZone         bool
}

// New makes a Brain from its seed and the terms received at start.
func New(seed int64, terms map[string]any) *Brain {
	b := &Brain{brief: terms}
	// T, the load at which a penalty starts to grow: the less crossing zones costs, the sooner it pays.
	b.knee = math.Min(0.85, 0.5+2*b.brief.num("cross_zone", 0.1))
	b.mean = b.knee / 2
	kinds, _ := terms["req_kinds"].([]any)
	for _, k := range kinds[:min(len(kinds), 31)] {
		m, _ := k.(map[string]any)
		b.kinds = append(b.kinds, m)
	}
	if b.brief.num("slices", 0) == 0 { // else there is nothing to lay tables for
		b.groupKinds()
	}
	b.desk = &courier{b: b, proxies: map[int]*proxy{}}
	b.take, b.desk.take = b.book, b.desk.read
	b.actors = []*inbox{&b.inbox, &b.desk.inbox}
	return b
}

// groupKinds puts req kinds with the same open endpoints together.
func (b *Brain) groupKinds() {
	seen := map[string]int{}
	own, _ := b.brief["kind_own_zone"].([]any)
	for i, kind := range b.kinds {
		g := kindGroup{ownZone: i < len(own) && own[i] == true}
		g.machines, _ = kind["only_machines"].([]any)
		g.zones, _ = kind["only_zones"].([]any)
		key := fmt.Sprint(g)
		if _, ok := seen[key]; !ok {
			seen[key] = len(b.groups)
			b.groups = append(b.groups, g)
		}
		b.groups[seen[key]].mask |= 1 << i
	}
}

func (g *kindGroup) open(zone int, o *offer) bool {
	return (!g.ownZone || o.Zone == zone) && holds(g.machines, o.Machine) && holds(g.zones, o.Zone)
}

func holds(list []any, i int) bool { return len(list) == 0 || slices.Contains(list, any(float64(i))) }

func (b *Brain) say(format string, args ...any) { b.order(Log{fmt.Sprintf(format, args...)}) }

func (b *Brain) order(o Order) { b.orders = append(b.orders, o) }

func (b *Brain) wake(afterMs float64) { b.order(WakeAt{AtMs: b.now + afterMs, Name: "gather"}) }

// Handle takes all notes of one moment and returns the orders they lead to.
func (b *Brain) Handle(nowMs float64, notes []Note) []Order {
	b.now, b.orders = math.Max(b.now, nowMs), nil
	if !b.woken { // each pilot gathers at its own point of the window
		b.woken = true
		rank, _ := b.brief["rank"].(float64)
		b.wake(gatherMs * (1 + rank/b.brief.num("instances", 1)) / 2)
		if b.brief.num("slices", 0) > 0 {
			b.say("slices are not planned: stored owners stay")
		}
		if b.brief["discovery"] == "on_request" {
			b.order(Watch{On: true})
		}
	}
	for _, n := range notes {
		b.sort(n)
	}
	b.drain()
	b.desk.post(flush{})
	b.drain()
	return b.orders
}

func (b *Brain) sort(n Note) {
	switch n := n.(type) {
	case Listing:
		b.list(n)
	case Alarm:
		b.round(true)
	case Probed:
		b.be(n.Endpoint).post(n)
	case Met:
		b.be(n.Endpoint).post(n)
		b.region(n.Zone).post(n)
	case Joined:
		b.region(n.Zone)
		b.tell(n)
	case Left, Demand:
		b.tell(n)
	}
}

func (b *Brain) tell(n any) {
	for _, r := range b.regions {
		r.post(n)
	}
	b.desk.post(n)
}

func (b *Brain) list(l Listing) {
	if l.Mode == ListFailed {
		b.order(Watch{On: true})
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

func (b *Brain) round(step bool) {
	b.drain()
	if step {
		b.gathers++
		b.wake(gatherMs)
	}
	speed, _ := b.speeds.mean()
	for _, be := range b.bes {
		be.post(gather{step, b.mean, speed})
	}
	b.drain()
	b.tell(solve{step})
}

func (b *Brain) drain() {
	for i := 0; i < len(b.actors); i++ {
		a := b.actors[i]
		notes := a.waiting
		a.waiting = nil
		for _, n := range notes {
			a.take(n)
			i = -1
		}
	}
}

func (b *Brain) book(note any) {
	if o, ok := note.(offer); ok && o.heard {
		b.mean += (o.load - b.mean) / float64(len(b.bes)+1)
		if o.speed > 0 {
			b.speeds.add(o.speed)
		}
	}
}

func (b *Brain) be(i int) *endpoint {
	for len(b.bes) <= i {
		e := &endpoint{b: b, Entry: Entry{Endpoint: len(b.bes)}, load: -1, heard: -staleMs,
			views: map[int]*view{}, planned: map[int]float64{}}
		e.take = e.read
		b.bes, b.actors = append(b.bes, e), append(b.actors, &e.inbox)
	}
	return b.bes[i]
}

func (b *Brain) region(zone int) *region {
	for len(b.regions) <= zone {
		r := &region{b: b, zone: len(b.regions), offers: map[int]*offer{}, shares: map[int]float64{},
			proxies: map[int]Joined{}, asked: map[int]float64{}, sheds: map[int]float64{}, latency: map[int]float64{}}
		r.take = r.read
		b.regions, b.actors = append(b.regions, r), append(b.actors, &r.inbox)
		for range b.groups {
			b.desk.tables = append(b.desk.tables, &table{map[int]float64{}, map[int]float64{}})
		}
	}
	return b.regions[zone]
}

type endpoint struct {
	inbox
	Entry
	b                 *Brain
	listed            bool
	load, heard, rate float64 // of the last reports: load (below 0: none), when, reqs a second
	price, missAt     float64 // the penalty lambda; when probes began to miss
	misses            int     // probes without an answer in a row
	speeds            histogram
	views             map[int]*view
	planned           map[int]float64         // reqs a second that each table brings
	plans             [lagGathers + 1]float64 // their sum at this and earlier gathers
}

type view struct {
	good, bad, due, lastGood float64 // answers and failures, fading; answers missed since the last
	out                      bool
	until, wait, trust       float64
}

// histogram counts speeds in bins of half an octave, halved when full.
type histogram struct{ bins [24]float64 }

func (h *histogram) add(v float64) {
	h.bins[max(0, min(len(h.bins)-1, int(math.Round(8+2*math.Log2(math.Max(v, 1e-9))))))]++
	if _, total := h.mean(); total > 24 {
		for i := range h.bins {
			h.bins[i] /= 2
		}
	}
}

// mean is the geometric mean, 0 while there are fewer than two counts, and total the counts.
func (h *histogram) mean() (mean, total float64) {
	for i, n := range h.bins {
		mean += n * float64(i-8) / 2
		total += n
	}
	return pick(total >= 2, math.Exp2(mean/math.Max(total, 1)), 0), total
}

func pick(cond bool, yes, no float64) float64 {
	if cond {
		return yes
	}
	return no
}

func (e *endpoint) view(zone int) *view {
	if e.views[zone] == nil {
		e.views[zone] = &view{trust: 1, wait: firstWait, lastGood: e.b.now}
	}
	return e.views[zone]
}

func (e *endpoint) read(note any) {
	switch n := note.(type) {
	case Entry:
		e.relist(n)
	case Met:
		v, good := e.view(n.Zone), float64(max(0, n.Tries-n.Failed))
		v.good, v.bad = v.good+good, v.bad+float64(n.Failed)
		if good > 0 {
			v.lastGood, v.due = e.b.now, 0
		}
		e.report(n.Load)
	case Probed:
		if n.Outcome != "T" && n.Outcome != "C" {
			e.misses = 0
		} else if e.misses++; e.misses == 1 {
			e.missAt = e.b.now
		}
		e.report(n.Load)
	case SetLine:
		e.planned[n.Table] = n.Weight
	case gather:
		e.gather(n)
	}
}

// relist takes over what the list says. A new start makes a new endpoint of it, cold and without a record.
func (e *endpoint) relist(n Entry) {
	if e.listed && n.Started != e.Started {
		clear(e.views)
		e.price, e.load, e.heard, e.misses = 0, -1, -staleMs, 0
	}
	if out := n.Phase != Ready; out != (e.listed && e.Phase != Ready) {
		e.b.desk.post(Withdraw{n.Endpoint, out})
	}
	e.Entry, e.listed = n, true
}

// report reads a load report, whichever fields it has, into a mean over the last few: a single one jumps by
// half. Without util the load is that of the single queue which would be as long as the reported one.
func (e *endpoint) report(l Load) {
	load, ok := l["util"]
	if rate := l["rate"]; ok && load > 0.15 && rate > 0 {
		e.rate = rate
		e.speeds.add(rate / load / math.Max(e.Weight, 1e-3))
	}
	for _, field := range []string{"waiting", "in_hand"} {
		if q, has := l[field]; has && !ok {
			load, ok = (math.Sqrt(q*q+4*q)-q)/2+q/longQueue, true
		}
	}
	if !ok {
		return
	}
	if e.load < 0 || e.b.now-e.heard > staleMs {
		e.load = load
	}
	e.load, e.heard = e.load+(load-e.load)*calm, e.b.now
}

// hindsight scales a load report by what the tables changed since it was made: without it the penalty acts
// again on what it has mended, and swings.
func (e *endpoint) hindsight() float64 {
	own, then := total(e.planned), e.plans[lagGathers]
	copy(e.plans[1:], e.plans[:])
	e.plans[0] = own
	return pick(then > 0, 1+e.part()*(math.Max(0.25, math.Min(4, own/math.Max(then, 1e-9)))-1), 1)
}

func total(rates map[int]float64) (sum float64) {
	for _, k := range slices.Sorted(maps.Keys(rates)) {
		sum += rates[k]
	}
	return sum
}

func (e *endpoint) part() float64 {
	if e.rate <= 0 {
		return 1 / e.b.brief.num("instances", 1)
	}
	return math.Max(0.25, math.Min(1, total(e.planned)/e.rate))
}

func (e *endpoint) gather(n gather) {
	if !e.listed {
		return
	}
	speed, seen := e.speeds.mean()
	o := offer{Entry: e.Entry, speed: speed, heard: e.b.now-e.heard < staleMs && e.load >= 0}
	o.load = pick(o.heard, e.load, n.mean)
	age := (e.b.now - e.Started) / e.b.brief.num("cold", 10000) // bent: idle, it is picked at once
	o.warmth = pick(e.Started == 0, 1, pick(age > 0.25, math.Min(1, math.Pow(math.Max(0, age), 1.5)), 0.001))
	if n.step {
		load := math.Min(1.5, o.load) * pick(o.heard, e.hindsight(), 1)
		e.price = math.Max(0, math.Min(priciest, e.price+theta*e.part()*(load*load-e.b.knee*e.b.knee)))
		e.b.post(o)
		every := int(pick(seen < 8, 1, e.b.brief.num("instances", 1)))
		if e.b.brief["probing"] == true && e.Phase == Ready && (e.b.gathers+e.Endpoint)%max(1, every) == 0 {
			e.b.order(Probe{Endpoint: e.Endpoint})
		}
	}
	o.price, o.Weight = e.price, pick(e.Weight > 0, e.Weight, 1)
	if o.speed > 0 && n.speed > 0 {
		o.Weight *= math.Pow(math.Max(0.4, math.Min(2.5, o.speed/n.speed)), seen/(seen+2))
	}
	for _, r := range e.b.regions {
		v := e.view(r.zone)
		if n.step {
			e.judge(r, v)
		}
		o.trust = pick(v.out, 0, v.trust)
		r.post(o)
	}
}

// judge weighs the symptoms a zone's proxies show: too many failures against the others', answers that stop,
// probes unanswered. It should catch a hang, a loss or a cut alike, and does harm where a healthy endpoint is
// only slow to be heard of, so the trial follows soon.
func (e *endpoint) judge(r *region, v *view) {
	now := e.b.now
	if v.out {
		if now >= v.until && e.misses == 0 {
			*v = view{trust: trialPart, wait: v.wait, lastGood: now}
			e.b.say("endpoint %d zone %d: trial", e.Endpoint, r.zone)
		}
		return
	}
	ratio := v.bad / math.Max(1, v.good+v.bad)
	busy := e.load > e.b.knee && now-e.heard < staleMs // overload is the penalty's business
	failing := v.bad >= 3 && ratio > 0.3+1.5*r.failing && !busy
	if v.trust < 1 {
		failing = v.bad >= 2 && ratio > math.Max(0.5, r.failing)
	}
	flow := r.rate * r.shares[e.Endpoint] / 1000 // due from when a share brings reqs, not from the last answer
	v.due += flow * gatherMs
	due := v.due - flow*(1500+r.gap)
	silent := due >= dueAnswers && r.failing < 0.4 && now-r.last < 2*gatherMs // not when all fail alike
	silent = silent || e.misses >= 2 && v.lastGood < e.missAt
	if e.Phase == Ready && (failing || silent) {
		e.b.say("endpoint %d zone %d: out, good %.1f bad %.1f due %.1f misses %d others fail %.2f",
			e.Endpoint, r.zone, v.good, v.bad, due, e.misses, r.failing)
		v.out, v.until, v.wait = true, now+v.wait, math.Min(longWait, v.wait*waitGrowth)
	} else if v.trust < 1 && v.good >= 1 {
		v.trust = math.Min(1, v.trust*2)
	}
	v.good, v.bad = v.good*fade, v.bad*fade
}

type region struct {
	inbox
	b                *Brain
	zone             int
	offers           map[int]*offer
	proxies          map[int]Joined  // all of this pilot's
	shares           map[int]float64 // what the tables send to each endpoint
	latency, asked   map[int]float64 // heard, by zone of the endpoints; reqs by kind, fading
	good, bad, fresh float64         // tries with and without an answer, fading; answers in this gather
	rate, failing    float64         // answers a second; part of the tries that fail
	last, gap        float64         // when a line last came, the span it covers
	sheds            map[int]float64 // part of the reqs to be denied, by group
}

func (r *region) read(note any) {
	switch n := note.(type) {
	case Met:
		good := float64(n.Tries - n.Failed)
		r.good, r.fresh, r.bad = r.good+good, r.fresh+good, r.bad+float64(n.Failed)
		r.last, r.gap = r.b.now, r.gap+(n.SpanMs-r.gap)/16
		if o := r.offers[n.Endpoint]; o != nil && n.MeanMs > 0 {
			old := r.latency[o.Zone]
			r.latency[o.Zone] += (n.MeanMs - old) * pick(old > 0, 0.125, 1)
		}
	case Joined:
		r.proxies[n.Proxy] = n
	case Left:
		delete(r.proxies, n.Proxy)
	case Demand:
		if p, ours := r.proxies[n.Proxy]; ours && p.Zone == r.zone {
			r.asked[n.Kind] += float64(n.Reqs)
		}
	case offer:
		r.offers[n.Endpoint] = &n
	case solve:
		r.solve(n.step)
	}
}

// costs ranks a group's zones, home first, then by heard latency in steps as wide as the margin, then in the
// list's order, and adds their mean penalties. Own is the home zone's part of all.
func (r *region) costs(g *kindGroup) (costs map[int]float64, own, mean float64) {
	n, weights, prices := len(r.b.regions), map[int]float64{}, map[int]float64{}
	load, sum, served := 0.0, 1e-9, 1e-9
	for _, i := range slices.Sorted(maps.Keys(r.offers)) {
		if o := r.offers[i]; g.open(r.zone, o) {
			w := o.Weight * pick(o.Phase == Ready, math.Max(0.01, o.trust*o.warmth), 0.01)
			weights[o.Zone] += w
			prices[o.Zone] += w * o.price
			load, sum = load+w*o.load, sum+w
			served += pick(r.b.brief["by_zone"] != true || r.demand(o.Zone) > 0, w, 0)
		}
	}
	key := func(zone int) float64 {
		step := math.Floor(math.Log(math.Max(1, r.latency[zone])) / math.Log(rankMargin))
		return pick(zone == r.zone, -1, step*float64(n)+float64((zone-r.zone+n)%n))
	}
	zones := slices.Sorted(maps.Keys(weights))
	sort.Slice(zones, func(i, j int) bool { return key(zones[i]) < key(zones[j]) })
	costs = map[int]float64{}
	for i, z := range zones {
		costs[z] = pick(i == 0, 0, 1+rankStep*float64(i-1)) + (1-single)*prices[z]/weights[z]
	}
	home := append(zones, -1)[0]
	own = weights[home] / sum
	costs[home] += pick(home == r.zone, r.foresight(load/sum, weights[home]/served, own), 0)
	return costs, own, load / sum
}

// foresight prices the home zone so that it keeps the demand that fills it to the target: it is known seconds
// before reports. It does harm where proxies' ordinary rates are far off.
func (r *region) foresight(mean, part, own float64) float64 {
	seen := math.Min(1, float64(len(r.proxies))/r.b.brief.num("proxy_count", 1))
	seen = pick(r.b.brief["by_zone"] == true, 1, seen)
	crowd := seen*r.demand(r.zone)/math.Max(part*r.demand(-1), 1e-9) + 1 - seen
	stay := math.Max(r.b.knee, mean) / math.Max(mean*crowd, 1e-9)
	return pick(stay < 1, math.Max(0, 1-(stay-own)/(reach*math.Max(1-own, 0.1))), 0)
}

func (r *region) demand(zone int) (sum float64) {
	for _, i := range slices.Sorted(maps.Keys(r.proxies)) {
		sum += pick(zone < 0 || r.proxies[i].Zone == zone, r.proxies[i].Rate, 0)
	}
	return sum
}

func (r *region) solve(step bool) {
	if step {
		r.rate += (r.fresh*1000/gatherMs - r.rate) / 4
		r.failing = r.bad / math.Max(8, r.good+r.bad)
		r.fresh, r.good, r.bad = 0, r.good*fade, r.bad*fade
	}
	clear(r.shares)
	groups := len(r.b.groups)
	for g := range r.b.groups {
		lines, own := r.candidates(&r.b.groups[g])
		share(lines, own)
		load := 0.0
		for _, l := range lines {
			load += l.x * math.Min(1, r.offers[l.be].load)
			r.shares[l.be] += l.x / float64(groups)
			line := SetLine{Table: r.zone*groups + g, Endpoint: l.be, Weight: pick(l.x > 0.004, l.x, 0)}
			r.b.desk.post(line)
			line.Weight *= r.demand(r.zone) / float64(groups)
			r.b.bes[l.be].post(line)
		}
		if step {
			r.level(g, load)
		}
	}
}

type line struct {
	be                   int
	listed, cost, cap, x float64
}

// candidates lists a group's endpoints with share, cost and cap. Caps hold cold ones and trials at a part of
// their listed share: lower the more fails, as that is tried again, or is busy where proxies avoid failures,
// and next to nothing across zones. Without a trusted warm one all are in: a bad line is better than none.
func (r *region) candidates(g *kindGroup) (lines []line, own float64) {
	costs, own, load := r.costs(g)
	sum, near, trusted := 1e-9, 1e-9, 0.0
	cold := pick(r.b.gathers < 5, 0, 1-r.failing) // a fresh pilot knows too little
	if r.b.brief.num("ejects_after", 0) > 0 {     // proxies that avoid what fails turn to a cold one in a jam
		cold = math.Max(0, math.Min(cold, math.Min(0.25-r.failing, 0.85-load)))
	}
	for _, i := range slices.Sorted(maps.Keys(r.offers)) {
		o, l := r.offers[i], line{be: i}
		if g.open(r.zone, o) && o.Phase == Ready {
			l.listed, l.cost, l.cap = o.Weight, costs[o.Zone]+single*o.price, 1
			sum, near = sum+o.Weight, near+pick(o.Zone == r.zone, o.Weight, 0)
			trusted += pick(o.warmth >= 1, o.trust, 0)
		}
		lines = append(lines, l)
	}
	near = math.Max(near, sum/float64(len(r.b.regions))) // the last of a zone is no giant
	for i := range lines {
		l, o := &lines[i], r.offers[lines[i].be]
		if part := o.warmth * pick(trusted > 0, o.trust, 1); l.listed > 0 && part < 1 {
			room := pick(o.Zone == r.zone, l.listed/near, 0.1*l.listed/sum)
			l.cap = part * pick(o.warmth < 1, cold*room, l.listed/sum)
		}
		l.listed /= sum
		l.x = l.listed
	}
	return lines, own
}

// share runs the projected-gradient loop from the listed shares.
func share(lines []line, own float64) {
	project(lines)
	for range 24 {
		mean := 0.0
		for _, l := range lines {
			mean += l.x * l.cost
		}
		for i, l := range lines {
			lines[i].x -= reach / math.Max(own, 0.1) / 24 * l.listed * (l.cost - mean)
		}
		project(lines)
	}
}

// project moves the shares to where they sum to 1, between 0 and their caps, each in proportion to its listed
// share. Caps that leave too little room give way together.
func project(lines []line) {
	for range 12 {
		rest, free := 1.0, 0.0
		for i, l := range lines {
			lines[i].x = math.Max(0, math.Min(l.cap, l.x))
			rest -= lines[i].x
		}
		for _, l := range lines {
			free += pick(rest > 0 && l.x < l.cap || rest < 0 && l.x > 0, l.listed, 0)
		}
		for i, l := range lines {
			if free == 0 {
				lines[i].x = l.x / math.Max(1-rest, 1e-9)
			} else {
				lines[i].x += rest * l.listed / free
			}
		}
	}
}

// level denies reqs of a group while its endpoints are overloaded as a whole; late answers earn little. Those
// with the least payoff for their target, a guess at their work, go first, within a group and between groups.
func (r *region) level(g int, load float64) {
	order, mask, before, all := r.b.byPayoff(), r.b.groups[g].mask, r.sheds[g], 1e-9
	limit := full - pick(mask&(1<<order[len(order)-1]) != 0, 0, yield)
	if load > limit || load > r.b.knee && r.failing > 0.2 {
		r.sheds[g] = math.Min(0.9, before+(1-before)*(shedStep+r.failing/8))
	} else if load < limit-0.05 {
		r.sheds[g] = math.Max(0, 0.8*before-0.01)
	}
	if (before == 0) != (r.sheds[g] == 0) {
		r.b.say("zone %d kinds %b: denying %.2f, load %.2f failing %.2f", r.zone, mask, r.sheds[g], load, r.failing)
	}
	for _, k := range order {
		all += pick(mask&(1<<k) != 0, r.asked[k], 0)
	}
	left := r.sheds[g] * all
	for _, k := range order {
		if mask&(1<<k) != 0 {
			cut := math.Min(1-leastLevel, left/(r.asked[k]+1e-9))
			left -= cut * r.asked[k]
			r.asked[k] *= fade
			r.b.desk.post(Admit{Table: r.zone*len(r.b.groups) + g, Kinds: 1 << k, Level: 1 - cut})
		}
	}
}

func (b *Brain) byPayoff() (order []int) {
	var worth []float64
	for k, kind := range b.kinds {
		order, worth = append(order, k), append(worth, kind.num("payoff", 1)/kind.num("response_target", 1000))
	}
	sort.SliceStable(order, func(i, j int) bool { return worth[order[i]] < worth[order[j]] })
	return order
}

type courier struct {
	inbox
	b           *Brain
	tables      []*table // by number: the zone's times the groups, and the group's
	proxies     map[int]*proxy
	shuts       []Withdraw
	joins       []int
	waiting, at float64 // lines that may still wait in the channel, by a cautious guess, and when that was
}

type table struct{ sent, want map[int]float64 }

type proxy struct {
	zone int
	last float64
}

func (c *courier) read(note any) {
	switch n := note.(type) {
	case SetLine:
		c.tables[n.Table].want[n.Endpoint] = n.Weight
	case Admit:
		c.tables[n.Table].want[-n.Kinds] = math.Round(20*(1-n.Level)) / 20 // few steps, few messages
	case Withdraw:
		c.shuts = append(c.shuts, n)
	case Joined:
		c.proxies[n.Proxy] = &proxy{n.Zone, -1e9}
		c.joins = append(c.joins, n.Proxy)
	case Left:
		delete(c.proxies, n.Proxy)
	case flush:
		c.flush()
	}
}

// flush writes drains first, then differences, then returns, whose lines are small by now, then new bindings.
func (c *courier) flush() {
	c.waiting = math.Max(0, c.waiting-(c.b.now-c.at)*c.b.brief.num("lines_per_s", 1000)/2000)
	c.at = c.b.now
	for _, out := range []bool{true, false} {
		for _, s := range c.shuts {
			if s.Out == out {
				c.write(s, -1)
			}
		}
		for i := 0; out && i < len(c.tables); i++ {
			c.push(i)
		}
	}
	for _, p := range c.joins {
		c.bind(p)
	}
	c.shuts, c.joins = nil, nil
}

func (c *courier) bind(name int) {
	p := c.proxies[name]
	if p == nil {
		return
	}
	for g, group := range c.b.groups {
		i := p.zone*len(c.b.groups) + g
		c.b.order(Bind{Table: i, Proxy: name, Kinds: group.mask})
		c.waiting += float64(len(c.tables[i].sent) + 1)
	}
	c.waiting += c.b.brief.num("head_lines", 4)
	p.last = c.b.now
}

// push writes a table's differences if there is room; what must go, and first lines, don't wait. Additions
// come first, so no table runs empty. Tries again stay as proxies make them unasked, safe for every req kind.
func (c *courier) push(i int) {
	t, zone := c.tables[i], i/len(c.b.groups)
	used := func(p *proxy) bool { return p.zone == zone }
	if !slices.ContainsFunc(slices.Collect(maps.Values(c.proxies)), used) {
		return // a table that nobody uses is not laid
	}
	var add, remove []int
	for _, k := range slices.Sorted(maps.Keys(t.want)) {
		want, sent := t.want[k], t.sent[k]
		switch {
		case math.IsNaN(want) || math.Abs(sent-want) <= tolerance*math.Max(sent, want):
		case k < 0 && c.b.brief["admission"] != "share":
		case want > 0:
			add = append(add, k)
		default:
			remove = append(remove, k)
		}
	}
	if len(remove) == 0 && len(t.sent) > 0 && !c.room(zone, len(add)) {
		return
	}
	for _, k := range append(add, remove...) {
		if k < 0 {
			again := int(c.b.brief.num("retry_default", 0))
			c.write(Admit{Table: i, Kinds: -k, Again: again, Level: 1 - t.want[k]}, zone)
		} else {
			c.write(SetLine{Table: i, Endpoint: k, Weight: t.want[k]}, zone)
		}
		if t.sent[k] = t.want[k]; t.sent[k] == 0 {
			delete(t.sent, k)
		}
	}
}

func (c *courier) room(zone, lines int) bool {
	pace := c.b.brief.num("messages_over", 10000) / c.b.brief.num("messages_most", math.MaxFloat64)
	cost := 0.0
	for _, p := range c.proxies {
		if p.zone == zone && p.last+1.5*pace > c.b.now {
			return false
		}
		cost += pick(p.zone == zone, float64(lines)+c.b.brief.num("head_lines", 4), 0)
	}
	return c.waiting+cost < c.b.brief.num("backlog", 1000)/3
}

func (c *courier) write(o Order, zone int) {
	c.b.order(o)
	for _, p := range c.proxies {
		if zone < 0 || p.zone == zone {
			c.waiting += 1 + pick(p.last != c.b.now, c.b.brief.num("head_lines", 4), 0)
			p.last = c.b.now
		}
	}
}
