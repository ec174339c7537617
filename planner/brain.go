package planner

// Call New once with the seed and the terms, then Handle with each moment's notes for its orders (port.go).
// Endpoints, regions (a zone's proxies) and the sender (the channel) are actors: docs/design.md. Beside it:
//  1. speed:     listed weights corrected by the speed that load reports show
//  2. health:    an endpoint that fails or goes mute for a zone's proxies leaves and returns by trial
//  3. foresight: demand that overfills a zone, or machines others need, counts before reports show it
//  4. levels:    req kinds of the least payoff for their time are let in less, some are tried again
//  5. thrift:    a model of the channel, kept true by marks, defers what can wait
//  6. hindsight: load reports are brought up to date with the tables sent since they were made

import (
	"fmt"
	"maps"
	"math"
	"math/bits"
	"slices"
	"sort"
)

const (
	gatherMs   = 1000.0 // the gather window: reports are about this far apart
	theta      = 0.25   // penalty gain in a gather
	priciest   = 1.1    // a penalty above every rank says no more, and a higher one is slow to come down
	reach      = 1.5    // length of the gradient loop, in units of the own zone's part
	staleMs    = 5000.0 // a load report older than this counts as unheard
	lagGathers = 3      // gathers until a report shows what a table changed
	enoughReqs = 20.0   // reqs that tell as much of a zone's demand as its proxies' ordinary rates
	fade       = 0.6    // what a gather leaves of the counts before it
	fewReports = 24     // speeds that a histogram holds of an endpoint before it is halved
	longQueue  = 10.0   // a queue that counts as much as a whole load on top of a full one
	noLimit    = 1e6    // reqs a second of a proxy that all let in
)

// In sets: own penalty against the zone's, reports against earlier ones, parts of a share for a trial and
// worth a line; margin of latency, cost of a rank; waits for trials; load
// that denies, steps, what stays; failures and load to try again at; gap that is sent, more for a table of a
// second, fading of demand.
const (
	single, calm, trialPart, leastPart  = 0.4, 0.7, 0.12, 0.05
	rankMargin, rankStep                = 1.3, 0.2
	firstWait, longWait, waitGrowth     = 2000.0, 20000.0, 2.0
	full, shedStep, release, leastLevel = 0.9, 0.06, 0.92, 0.1
	fewFail, mostFail, roomy            = 0.02, 0.5, 0.7
	tolerance, thrift, lineFade         = 0.12, 0.2, 0.97
)

// Part of the connections that the least endpoint takes; most parts of a zone, proxies of one; least lines
// of a table; parts of a line that bring and keep it there; gaps worth heads of a second of the channel.
const (
	ample, mostParts, leastUsers     = 0.7, 8, 10
	leastLines, enters, stays, heavy = 2.5, 0.35, 0.1, 0.5
)

type gather struct{ step bool }

type offer struct {
	Entry
	price, trust, load, warmth, tries, fails float64 // tries by the zone's proxies, fading
}

type Planner struct {
	inbox
	brief           briefing
	gathers, parts  int     // parts: tables that a zone's proxies are dealt to, for each group
	now, knee, mean float64 // mean: of the loads heard
	chance          float64 // one by how many proxies of one rate would spread reqs as evenly as all
	speeds          histogram
	woken           bool
	bes             []*endpoint
	regions         []*region
	actors          []*inbox
	sender          *sender
	groups          []kindGroup
	kinds           []briefing // what was told of each req kind
	proxies         map[int]ProxyJoined
	seen, usual     map[int]float64 // reqs that came by the proxies' zone, and ordinarily do, fading
	asked           map[int]float64 // reqs by kind, fading
	demand, joined  map[int]float64 // by zone of the proxies: reqs a second (at -1 of all), how many
	orders          []Command
}

type kindGroup struct {
	mask            int
	machines, zones []any
	ownZone         bool
}

func New(seed int64, terms map[string]any) *Planner {
	b := &Planner{brief: terms, proxies: map[int]ProxyJoined{}, demand: map[int]float64{}, seen: map[int]float64{},
		usual: map[int]float64{}, asked: map[int]float64{}, joined: map[int]float64{}}
	// T, the load at which a penalty starts to grow: the less crossing zones costs, the sooner it pays.
	b.knee = math.Min(0.85, 0.5+2*b.brief.num("cross_zone", 0.1))
	kinds, _ := terms["req_kinds"].([]any)
	for _, k := range kinds[:min(len(kinds), 31)] {
		kind, _ := k.(map[string]any)
		b.kinds = append(b.kinds, kind)
	}
	if b.brief.num("slices", 0) == 0 { // sites with slices are not planned: stored owners stay
		b.groupKinds()
	}
	b.parts = b.dealtTo()
	b.sender = &sender{b: b, proxies: map[int]*proxy{}, out: map[int]float64{}, each: map[int]float64{},
		withdrawnAt: map[int]float64{}}
	b.take, b.sender.take, b.actors = b.book, b.sender.read, []*inbox{&b.inbox, &b.sender.inbox}
	return b
}

// Reconfigure takes over changed settings. What New derived from the earlier ones stays.
func (b *Planner) Reconfigure(settings map[string]any) { b.brief = settings }

func (b *Planner) groupKinds() {
	own, _ := b.brief["kind_own_zone"].([]any)
	for i, kind := range b.kinds {
		g := kindGroup{ownZone: i < len(own) && own[i] == true}
		g.machines, _ = kind["only_machines"].([]any)
		g.zones, _ = kind["only_zones"].([]any)
		same := func(h kindGroup) bool { h.mask = 0; return fmt.Sprint(h) == fmt.Sprint(g) }
		if !slices.ContainsFunc(b.groups, same) {
			b.groups = append(b.groups, g)
		}
		b.groups[slices.IndexFunc(b.groups, same)].mask |= 1 << i
	}
}

// dealtTo is the number of parts of a zone's proxies: one, unless an endpoint can't take connections of all.
func (b *Planner) dealtTo() int {
	zones, _ := b.brief["zones"].([]any)
	proxies := b.brief.num("proxy_count", 1)
	if proxies <= ample*b.brief.num("conns_least", math.MaxFloat64) {
		return 1
	}
	return max(1, min(mostParts, int(proxies)/(leastUsers*max(1, len(zones)*len(b.groups)))))
}

func (b *Planner) slot(p ProxyJoined) int { return p.Zone*b.parts + p.Proxy%b.parts } // its zone and part

func (b *Planner) table(slot, g int) int { return slot*len(b.groups) + g } // of a slot, for a group

// work is a group's part of all work: its reqs, times their response targets for want of a better guess.
func (b *Planner) work(g int) float64 {
	own, all := 0.0, 1e-9
	for k, kind := range b.kinds {
		w := (b.asked[k] + enoughReqs) * kind.num("response_target", 1000)
		own, all = own+pick(b.groups[g].mask&(1<<k) != 0, w, 0), all+w
	}
	return own / all
}

func (g *kindGroup) open(zone int, o *offer) bool {
	return (!g.ownZone || o.Zone == zone) && holds(g.machines, o.Machine) && holds(g.zones, o.Zone)
}

func (b *Planner) say(format string, args ...any) { b.order(Log{fmt.Sprintf(format, args...)}) }

func (b *Planner) order(o Command) { b.orders = append(b.orders, o) }

func (b *Planner) Handle(nowMs float64, notes []Event) []Command {
	b.now, b.orders = math.Max(b.now, nowMs), nil
	if !b.woken { // each pilot gathers at its own point of the window
		b.woken = true
		b.order(SetTimer{b.now + gatherMs*(1+b.brief.num("rank", 0)/b.brief.num("instances", 1))/2, "gather"})
		if b.brief["discovery"] == "on_request" {
			b.order(WatchEndpoints{On: true})
		}
	}
	for _, n := range notes {
		b.sort(n)
	}
	b.drain()
	b.sender.flush()
	return b.orders
}

func (b *Planner) sort(n Event) {
	switch n := n.(type) {
	case EndpointUpdate:
		b.list(n)
	case TimerFired:
		if n.Name == "gather" {
			b.gathers++
			b.order(SetTimer{b.now + gatherMs, "gather"})
			b.round(true)
		}
	case HealthCheckResult:
		b.be(n.Endpoint).post(n)
	case EndpointStats: // counts that began before the endpoint started again tell of the process that is gone
		if at := b.be(n.Endpoint).Started; at != 0 && at > b.now-n.SpanMs {
			n.Attempts, n.Failed = 0, 0
		}
		b.be(n.Endpoint).post(n)
		b.region(n.Zone).post(n)
	default: // who is joined, what comes to them and what they applied
		b.post(n)
		b.sender.post(n)
	}
}

func (b *Planner) list(l EndpointUpdate) {
	if l.Mode == UpdateFailed {
		b.order(WatchEndpoints{On: true})
		return
	}
	named := map[int]bool{}
	for _, e := range l.Entries {
		named[e.Endpoint] = true
		b.region(e.Zone)
		b.be(e.Endpoint).post(e)
	}
	for i, be := range b.bes {
		if gone := be.Entry; l.Mode != Delta && be.listed && !named[i] {
			gone.Phase = Gone
			be.post(gone)
		}
	}
	b.round(false)
}

func (b *Planner) round(step bool) {
	b.drain()
	squares := 0.0
	clear(b.joined)
	clear(b.demand) // ordinary rates, corrected by what the sums of the last seconds show
	for _, i := range slices.Sorted(maps.Keys(b.proxies)) {
		z := b.proxies[i].Zone
		rate := b.proxies[i].Rate * b.rush(z)
		b.demand[z], b.demand[-1], b.joined[z] = b.demand[z]+rate, b.demand[-1]+rate, b.joined[z]+1
		squares += rate * rate
	}
	many := float64(len(b.proxies)) / math.Max(1e-9, b.demand[-1]*b.demand[-1]) * squares
	b.chance = math.Max(1, many) / b.brief.num("proxy_count", 1)
	b.mean = b.knee / 2
	for _, be := range b.bes {
		b.mean += pick(be.heard > b.now-staleMs, be.load-b.mean, 0) / float64(len(b.bes)+1)
		be.post(gather{step})
	}
	b.drain()
	for _, r := range b.regions {
		r.post(gather{step})
	}
}

func (b *Planner) rush(z int) float64 { return (b.seen[z] + enoughReqs) / (b.usual[z] + enoughReqs) }

func (b *Planner) drain() {
	for busy := true; busy; {
		busy = false
		for i := 0; i < len(b.actors); i++ { // they may grow meanwhile
			notes := b.actors[i].waiting
			b.actors[i].waiting = nil
			for _, n := range notes {
				b.actors[i].take(n)
				busy = true
			}
		}
	}
}

func (b *Planner) book(note any) {
	switch n := note.(type) {
	case ProxyJoined:
		b.proxies[n.Proxy] = n
		b.region(n.Zone)
	case ProxyLeft:
		delete(b.proxies, n.Proxy)
	case RequestStats:
		if p, ours := b.proxies[n.Proxy]; ours {
			b.seen[p.Zone] = lineFade*b.seen[p.Zone] + float64(n.Requests)
			b.asked[n.Class] = lineFade*b.asked[n.Class] + float64(n.Requests)
			b.usual[p.Zone] = lineFade*b.usual[p.Zone] + p.Rate*n.SpanMs/1000/float64(len(b.kinds))
		}
	}
}

func (b *Planner) be(i int) *endpoint {
	for len(b.bes) <= i {
		e := &endpoint{b: b, Entry: Entry{Endpoint: len(b.bes)}, load: -1, heard: -staleMs,
			views: map[int]*view{}, planned: append([]map[int]float64{{}}, make([]map[int]float64, lagGathers+1)...)}
		e.take = e.read
		b.bes, b.actors = append(b.bes, e), append(b.actors, &e.inbox)
	}
	return b.bes[i]
}

func (b *Planner) region(zone int) *region {
	for len(b.regions) <= zone {
		r := &region{b: b, zone: len(b.regions), offers: map[int]*offer{}, sheds: map[int]float64{},
			latency: map[int]float64{}, runs: map[int]float64{}}
		r.take = r.read
		b.regions, b.actors = append(b.regions, r), append(b.actors, &r.inbox)
		for range len(b.groups) * b.parts {
			b.sender.tables = append(b.sender.tables, &table{number: len(b.sender.tables), sent: map[int]float64{},
				told: map[int]SetAdmission{}, levels: map[int]SetAdmission{}, want: map[int]float64{}})
		}
	}
	return b.regions[zone]
}

type endpoint struct {
	inbox
	Entry
	b             *Planner
	listed, again bool    // again: it has started anew
	load, heard   float64 // of the last reports: load (below 0: none), and when
	price         float64 // the penalty lambda
	every         float64 // how far apart its reports are
	span, best    float64 // of a req in hand, by Little's law, now and at best
	speeds        histogram
	views         map[int]*view
	planned       []map[int]float64 // its part of each zone's table, now and some gathers ago
}

type view struct {
	good, bad, tries, fails float64 // since a trial began, and since the endpoint started, fading
	out                     bool
	until, wait, trust      float64 // trust: part of its normal weight
}

// histogram counts in bins of half an octave, halved when full.
type histogram struct{ bins [24]float64 }

func (h *histogram) add(v, most float64) {
	h.bins[max(0, min(len(h.bins)-1, int(math.Round(8+2*math.Log2(math.Max(v, 1e-9))))))]++
	if _, total := h.mean(); total > most {
		for i := range h.bins {
			h.bins[i] /= 2
		}
	}
}

func (h *histogram) mean() (mean, total float64) {
	for i, n := range h.bins {
		mean += n * float64(i-8) / 2
		total += n
	}
	return pick(total >= 2, math.Exp2(mean/math.Max(total, 1)), 0), total
}

func (e *endpoint) view(zone int) *view {
	if e.views[zone] == nil {
		e.views[zone] = &view{trust: 1, wait: firstWait}
	}
	return e.views[zone]
}

func (e *endpoint) read(note any) {
	switch n := note.(type) {
	case Entry:
		e.relist(n)
	case EndpointStats:
		v, tries, bad := e.view(n.Zone), float64(n.Attempts), float64(n.Failed)
		v.good, v.bad, v.tries, v.fails = v.good+math.Max(0, tries-bad), v.bad+bad, v.tries+tries, v.fails+bad
		e.report(n.Load)
	case HealthCheckResult:
		e.report(n.Load)
	case SetWeight:
		e.planned[0][n.Table] = n.Weight
	case gather:
		e.gather(n)
	}
}

func (e *endpoint) relist(n Entry) {
	if e.listed && n.Started != e.Started {
		e.views, e.price, e.load, e.heard, e.span, e.again = map[int]*view{}, 0, -1, -staleMs, 0, true
	}
	if out := n.Phase != Ready; out != (e.listed && e.Phase != Ready) {
		e.b.sender.post(SetExcluded{n.Endpoint, out})
	}
	e.Entry, e.listed = n, true
}

func (e *endpoint) report(l Load) {
	load, ok := l["util"]
	if rate := l["rate"]; ok && load > 0.15 && rate > 0 {
		e.speeds.add(rate/load/math.Max(e.Weight, 1e-3), fewReports)
		e.b.speeds.add(rate/load/math.Max(e.Weight, 1e-3), fewReports*float64(len(e.b.bes)))
	}
	if q, has := l["waiting"]; has && !ok {
		load, ok = (math.Sqrt(q*q+4*q)-q)/2+q/longQueue, true
	}
	if n := l["in_hand"]; !ok && n > 0 && l["rate"] > 0 { // not how many tells a load, but how long
		e.span += (n/l["rate"] - e.span) * pick(e.span > 0, 0.25, 1)
		e.best = math.Min(e.span, pick(e.best > 0, e.best, e.span))
		load, ok = 1-e.best/e.span, true
	}
	if ok {
		if gap := e.b.now - e.heard; gap < staleMs {
			e.every += (gap - e.every) / 4
		}
		e.load, e.heard = e.load+(load-e.load)*pick(e.load < 0 || e.b.now-e.heard > staleMs, 1, calm), e.b.now
	}
}

// hindsight scales a load report by what the tables changed since, at today's demand, or penalties swing.
func (e *endpoint) hindsight() float64 {
	then, now := 0.0, 0.0
	for _, t := range slices.Sorted(maps.Keys(e.planned[0])) {
		d := e.b.demand[t/len(e.b.groups)] / e.b.rush(t/len(e.b.groups))
		then, now = then+d*e.planned[lagGathers+1][t], now+d*e.planned[0][t]
	}
	e.planned = slices.Insert(e.planned[:lagGathers+1], 0, maps.Clone(e.planned[0]))
	return pick(then > 0, 1+e.b.part()*(math.Max(0.25, math.Min(4, now/math.Max(then, 1e-9)))-1), 1)
}

func (e *endpoint) step() float64 {
	return theta * e.b.part() * math.Min(1, gatherMs/math.Max(e.every, 1)) // one looked at often counts once
}

func (b *Planner) part() float64 {
	part := math.Min(1, float64(len(b.proxies))/b.brief.num("proxy_count", 1))
	return pick(b.brief["by_zone"] == true, 1, part)
}

func (e *endpoint) gather(n gather) {
	if !e.listed {
		return
	}
	speed, seen := e.speeds.mean()
	heard := e.b.now-e.heard < staleMs && e.load >= 0
	o := offer{Entry: e.Entry, load: pick(heard, e.load, e.b.mean)}
	age, from := (e.b.now-e.Started)/e.b.brief.num("cold", 10000), e.b.brief.num("cold_from", 0.1)
	o.warmth = pick(e.Started == 0, 1, math.Min(1, from+(1-from)*math.Max(0, age)))
	if n.step {
		load := math.Min(1.5, o.load) * pick(heard, e.hindsight(), 1)
		e.price = math.Max(0, math.Min(priciest, e.price+e.step()*(load*load-e.b.knee*e.b.knee)))
		every := int(pick(seen < 8, 1, e.b.brief.num("instances", 1)))
		if e.b.brief["probing"] == true && e.Phase == Ready && (e.b.gathers+e.Endpoint)%max(1, every) == 0 {
			e.b.order(HealthCheck{Endpoint: e.Endpoint})
		}
	}
	o.price, o.Weight = e.price, pick(e.Weight > 0, e.Weight, 1)
	if usual, _ := e.b.speeds.mean(); speed > 0 { // shrunk while few reports are in
		o.Weight *= math.Pow(math.Max(0.4, math.Min(2.5, speed/usual)), seen/(seen+2))
	}
	for _, r := range e.b.regions {
		v := e.view(r.zone)
		o.tries, o.fails = v.tries, v.fails
		if n.step {
			e.judge(r, v)
			v.tries, v.fails = v.tries*fade, v.fails*fade
		}
		o.trust = pick(v.out, 0, v.trust)
		r.post(o)
	}
}

// judge weighs what a zone's proxies show: failures against the others', or failures alone and no report.
func (e *endpoint) judge(r *region, v *view) {
	if v.out {
		if e.b.now >= v.until {
			*v = view{trust: trialPart, wait: v.wait, tries: v.tries, fails: v.fails}
			e.b.say("endpoint %d zone %d: trial", e.Endpoint, r.zone)
		}
		return
	}
	busy := e.load > e.b.knee && e.b.now-e.heard < staleMs // overload is the penalty's business
	mute := v.good < 0.5 && e.b.now-e.heard > 3*gatherMs   // gone quiet, maybe with its whole zone
	failing := v.bad >= 3 && (v.bad > (0.3+1.5*r.failing)*(v.good+v.bad) && !busy || mute)
	if e.Phase == Ready && failing {
		e.b.say("endpoint %d zone %d: out, good %.1f bad %.1f all %.2f", e.Endpoint, r.zone,
			v.good, v.bad, r.failing)
		v.out, v.until, v.wait = true, e.b.now+v.wait, math.Min(longWait, v.wait*waitGrowth)
	} else if v.trust < 1 && v.good >= 0.3 {
		v.trust = math.Min(1, v.trust*2)
	}
	v.good, v.bad = v.good*fade, v.bad*fade
}

type region struct {
	inbox
	b       *Planner
	zone    int
	offers  map[int]*offer
	latency map[int]float64 // heard, by zone of the endpoints
	failing float64         // part of the tries that fail
	sheds   map[int]float64 // part of the reqs to be denied, by group
	runs    map[int]float64 // tables that an endpoint is in, by group
	wide    []float64       // weight of the endpoints open to each group
	amiss   float64         // part of the reqs that go elsewhere than planned, or in, while tables are standing
}

func (r *region) read(note any) {
	switch n := note.(type) {
	case EndpointStats:
		if o := r.offers[n.Endpoint]; o != nil && n.MeanMs > 0 {
			old := r.latency[o.Zone]
			r.latency[o.Zone] += (n.MeanMs - old) * pick(old > 0, 0.125, 1)
		}
	case offer:
		r.offers[n.Endpoint] = &n
	case gather:
		r.solve(n.step)
	}
}

// weight is what an endpoint has left for a group when req kinds open to fewer endpoints have had theirs.
func (r *region) weight(g int, o *offer) float64 {
	left := 1.0
	for h := range r.b.groups {
		if r.wide[h] < 0.99*r.wide[g] && r.b.groups[h].open(r.zone, o) {
			left -= r.b.work(h) * r.wide[g] / math.Max(r.wide[h], 1e-9)
		}
	}
	return o.Weight * math.Max(left, 0.05)
}

// costs ranks zones, home first, then by heard latency in steps of the margin, and adds their mean penalties.
func (r *region) costs(g int) (costs map[int]float64, own, load float64) {
	n, weights, costs, sum, served := len(r.b.regions), map[int]float64{}, map[int]float64{}, 1e-9, 1e-9
	for _, i := range slices.Sorted(maps.Keys(r.offers)) {
		if o := r.offers[i]; r.b.groups[g].open(r.zone, o) {
			w := r.weight(g, o) * pick(o.Phase == Ready, math.Max(0.01, o.trust*o.warmth), 0.01)
			weights[o.Zone] += w
			costs[o.Zone] += (1 - single) * w * o.price
			load, sum = load+w*o.load, sum+w
			served += pick(r.b.brief["by_zone"] != true || r.b.demand[o.Zone] > 0, w, 0)
		}
	}
	key := func(zone int) float64 {
		step := math.Floor(math.Log(math.Max(1, r.latency[zone])) / math.Log(rankMargin))
		return pick(zone == r.zone, -1, step*float64(n)+float64((zone-r.zone+n)%n))
	}
	zones := slices.Sorted(maps.Keys(weights))
	sort.Slice(zones, func(i, j int) bool { return key(zones[i]) < key(zones[j]) })
	home := append(zones, -1)[0]
	own = pick(weights[home] > 0.03*sum, weights[home]/sum, 1) // a lost home draws nothing to it
	for i, z := range zones {
		ahead := r.foresight(load/sum, weights[z]/served, own)
		costs[z] = costs[z]/weights[z] + pick(z == r.zone, ahead, 1+rankStep*float64(i-1))
	}
	return costs, own, load / sum
}

// foresight prices the home zone so that it keeps the demand that fills it to the target, ahead of reports.
func (r *region) foresight(mean, part, own float64) float64 {
	if fields, _ := r.b.brief["fields"].([]any); !slices.Contains(fields, any("util")) {
		mean = math.Max(mean, r.b.knee) // a short queue doesn't tell how full it is
	}
	seen := r.b.part()
	crowd := seen*r.b.demand[r.zone]/math.Max(part*r.b.demand[-1], 1e-9) + 1 - seen
	stay := math.Max(r.b.knee, mean) / math.Max(mean*crowd, 1e-9)
	return pick(stay < 1, math.Max(0, 1-(stay-own)/(reach*math.Max(1-own, 0.1))), 0)
}

func (r *region) solve(step bool) {
	groups, tries, fails := len(r.b.groups), 0.0, 0.0
	r.wide = make([]float64, groups)
	for _, i := range slices.Sorted(maps.Keys(r.offers)) {
		o := r.offers[i]
		tries, fails = tries+o.tries, fails+o.fails
		for g, group := range r.b.groups {
			r.wide[g] += pick(o.Phase == Ready && group.open(r.zone, o), o.Weight, 0)
		}
	}
	r.failing, r.amiss = pick(step, fails/math.Max(8, tries), r.failing), 0
	for g := range r.b.groups {
		lines, own := r.candidates(g)
		share(lines, own)
		r.amiss = math.Max(r.amiss, r.stray(g, lines)+r.sheds[g])
		load, unit, rush := 0.0, 1e-9, r.b.rush(r.zone)
		for _, l := range lines { // the fullest line stands still, so that spill alone moves few others
			unit = math.Max(unit, l.x/math.Max(l.listed, 1e-9))
			load += l.x * math.Min(1, r.offers[l.be].load)
			r.b.bes[l.be].post(SetWeight{r.b.table(r.zone, g), l.be, l.x * rush})
		}
		r.deal(g, lines, unit)
		if step {
			r.level(g, load)
		}
	}
}

// stray is the part of a group's reqs that standing tables bring elsewhere than planned, also by chance. Two
// that are out cost a bind to say; whoever is told anything answers for cold endpoints that come again.
func (r *region) stray(g int, lines []line) float64 {
	old, sum, count, apart := make([]float64, len(lines)), 1e-9, 0.0, 0.0
	for i, l := range lines {
		o := r.offers[l.be]
		mine := pick(o.Zone == r.zone && r.b.groups[g].open(r.zone, o), 1, 0)
		old[i] = mine * pick(o.Started == 0, o.Weight, 0)
		sum, count = sum+old[i], count+pick(old[i] > 0, 1, 0)
		apart += mine * pick(o.Phase != Ready, heavy/2, pick(r.b.bes[l.be].again && o.warmth < 1, heavy, 0))
	}
	for i, l := range lines {
		apart += math.Abs(l.x - old[i]/sum)
	}
	return apart + math.Sqrt(count*float64(len(r.b.regions))*r.b.chance/r.b.brief.num("standing", 1e-9))
}

// deal gives each of a group's tables a run of the zone's own lines, mostly all, and one of those spilt that
// drives none of them out, laid end to end by share on a ring, as long as the endpoints' connections allow.
func (r *region) deal(g int, lines []line, unit float64) {
	var ready, count, sum = 0.0, [2]float64{}, [2]float64{} // of the own, of those spilt
	used, parts := make([]float64, len(lines)), float64(r.b.parts)
	for i, l := range lines {
		used[i] = pick(l.x > leastPart*l.listed, l.x, 0)
		ready += pick(r.offers[l.be].Phase == Ready && r.offers[l.be].trust > 0, 1, 0)
		count[l.away], sum[l.away] = count[l.away]+pick(used[i] > 0, 1, 0), sum[l.away]+used[i]
	}
	proxies := r.b.brief.num("proxy_count", 1) // were all to come here at once, all have their tables in time
	told := r.b.brief.num("lines_per_s", 1e6)*r.b.brief.num("drain_grace", 2000)/1000/proxies - r.b.sender.head()
	most := math.Min(told, ample*r.b.brief.num("conns_least", 1e9)*ready/proxies)
	for k, room := range []float64{most, most - count[0]} {
		want := math.Max(1, math.Min(parts, parts*math.Max(room-1, leastLines)/math.Max(count[k], 1)))
		if want = pick(room >= count[k], parts, want); want == parts || math.Abs(want-r.runs[2*g+k]) > 0.7 {
			r.runs[2*g+k] = math.Round(want)
		}
	}
	for p := range r.b.parts {
		t, at := r.b.sender.tables[r.b.table(r.zone*r.b.parts+p, g)], [2]float64{}
		for i, l := range lines {
			k := l.away
			from, width, mass := float64(p)/parts, r.runs[2*g+k]/parts, used[i]/math.Max(sum[k], 1e-9)
			over := math.Max(0, math.Min(at[k]+mass, from+width)-math.Max(at[k], from)) +
				math.Max(0, math.Min(at[k]+mass, from+width-1)-math.Max(at[k], from-1))
			in := over > pick(t.sent[l.be] > 0, stays, enters)*math.Min(mass, width)
			part := pick(width < 1, math.Ceil(3*over/mass)/3, 1) * r.runs[2*g] / r.runs[2*g+k]
			r.b.sender.post(SetWeight{t.number, l.be, pick(in, l.x/unit*part, 0)})
			at[k] += mass
		}
	}
}

type line struct {
	be, away             int // away: 0 in the own zone, else 1
	listed, cost, cap, x float64
}

// candidates lists a group's endpoints, cold ones and trials capped; without a trusted warm one all are in.
func (r *region) candidates(g int) (lines []line, own float64) {
	costs, own, load := r.costs(g)
	sum, near, chill, trusted, chilled, tried := 1e-9, 1e-9, 1e-9, 0.0, 0.0, 1e-9
	rush := r.b.rush(r.zone)                                                     // who is refused comes again
	cold, bend := pick(r.b.gathers < 5, 0, (1-r.failing)/math.Max(1, rush)), 1.0 // a fresh pilot: none
	for _, i := range slices.Sorted(maps.Keys(r.offers)) {
		o, l := r.offers[i], line{be: i, away: int(pick(r.offers[i].Zone == r.zone, 0, 1))}
		if r.b.groups[g].open(r.zone, o) && o.Phase == Ready {
			w := r.weight(g, o)
			l.listed, l.cost, l.cap = w, costs[o.Zone]+single*o.price, 1
			sum, near = sum+w, near+pick(o.Zone == r.zone, w, 0)
			chill += pick(o.Zone == r.zone && o.warmth < 1, w*o.warmth, 0)
			trusted += pick(o.warmth >= 1, o.trust, 0)
		}
		lines = append(lines, l)
	}
	near = math.Max(near, sum/float64(len(r.b.regions))) // the last of a zone is no giant
	few := math.Max(1, rush) * load / chill / r.b.brief.num("fall_multiple", 1)
	few *= math.Max(near, sum*(r.b.joined[r.zone]-leastUsers)/r.b.brief.num("proxy_count", 1e9))
	if r.b.brief.num("ejects_after", 0) > 0 && few > 0.8 {
		ease := math.Max(0, math.Min(math.Min(1, 3-few), math.Min(1-4*r.failing, (0.85-load)/0.2)))
		cold, bend = math.Min(cold, ease), 3-2*ease
	}
	for i := range lines {
		l, o := &lines[i], r.offers[lines[i].be]
		if part := math.Pow(o.warmth, bend) * pick(trusted > 0, o.trust, 1); l.listed > 0 && part < 1 {
			room := pick(o.Zone == r.zone, l.listed/near, 0.1*l.listed/sum)
			l.cap = part * pick(o.warmth < 1, cold*room, l.listed/sum)
		}
		l.listed, l.x = l.listed/sum, l.listed/sum
		chilled, tried = chilled+pick(o.warmth < 1, l.cap, 0), tried+pick(o.warmth < 1, 0, l.cap)
	}
	for i := range lines { // what caps leave over falls to trials: one that fails harms less than a cold one
		lines[i].cap *= pick(r.offers[lines[i].be].warmth < 1, 1, math.Max(1, (1-chilled)/tried))
	}
	return lines, own
}

func share(lines []line, own float64) {
	project(lines)
	for range 24 {
		mean := 0.0
		for _, l := range lines {
			mean += l.x * l.cost
		}
		for i, l := range lines {
			lines[i].x -= reach / max(own, 0.1) / 24 * l.listed * (l.cost - mean)
		}
		project(lines)
	}
}

func project(lines []line) {
	for range 12 {
		rest, free := 1.0, 0.0
		for i, l := range lines {
			lines[i].x = max(0, min(l.cap, l.x))
			rest -= lines[i].x
		}
		for _, l := range lines {
			free += pick(rest > 0 && l.x < l.cap || rest < 0 && l.x > 0, l.listed, 0)
		}
		for i, l := range lines {
			lines[i].x = pick(free == 0, l.x/max(1-rest, 1e-9), l.x+rest*l.listed/max(free, 1e-9))
		}
	}
}

// level denies reqs of a group overloaded as a whole, least payoff for their target (a guess at work) first.
func (r *region) level(g int, load float64) {
	order, mask, before := r.b.byPayoff(), r.b.groups[g].mask, r.sheds[g]
	each := r.b.demand[r.zone] / math.Max(1, r.b.joined[r.zone]) // reqs a second of a proxy
	if load > full || load > r.b.knee && r.failing > 0.2 {
		r.sheds[g] = math.Min(0.9, before+(1-before)*(shedStep+r.failing/8))
	} else if load < full-0.05 {
		r.sheds[g] = math.Max(0, release*before-0.005)
	}
	if (before == 0) != (r.sheds[g] == 0) {
		r.b.say("zone %d kinds %b: denying %.2f load %.2f fail %.2f", r.zone, mask, r.sheds[g], load, r.failing)
	}
	usual, some := r.b.brief.num("retry_default", 0), r.failing > fewFail && r.failing < mostFail
	again := r.b.brief.num("first_wait", 1) <= 1 && some && load*(1+r.failing) < roomy // else it mostly fails
	left, asked, by := r.sheds[g]*float64(bits.OnesCount(uint(mask))), 1e-9, r.b.brief["admission"]
	for k := range r.b.kinds {
		asked += r.b.asked[k] + enoughReqs
	}
	for _, k := range order {
		if mask&(1<<k) != 0 {
			cut := pick(by == "share" || by == "rate", math.Min(1-leastLevel, left), 0)
			left -= cut
			level := pick(by == "rate", noLimit, math.Round(20*(1-cut))/20) // few steps, few messages
			if rate := each / asked * (r.b.asked[k] + enoughReqs); by == "rate" && cut*rate > 0 {
				level = math.Exp2(math.Round(4*math.Log2(-rate*math.Log(cut))) / 4) // proxies spread exponentially
			}
			way := pick(again && r.b.kinds[k]["repeats"] == "replayable", 2, usual)
			for p := range r.b.parts {
				r.b.sender.post(SetAdmission{r.b.table(r.zone*r.b.parts+p, g), 1 << k, int(way), level})
			}
		}
	}
}

func (b *Planner) byPayoff() (order []int) {
	var worth []float64
	for k, of := range b.kinds {
		order, worth = append(order, k), append(worth, of.num("payoff", 1)/of.num("response_target", 1000))
	}
	sort.SliceStable(order, func(i, j int) bool { return worth[order[i]] < worth[order[j]] })
	return order
}
