package brain

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
	roundMs           = 1000.0 // the gather window: reports are about this far apart
	penaltyGain       = 0.25   // penalty gain in a gather
	maxPenalty        = 1.1    // a penalty above every rank says no more, and a higher one is slow to come down
	gradientLength    = 1.5    // length of the gradient loop, in units of the own zone's part
	staleMs           = 5000.0 // a load report older than this counts as unheard
	reportDelayRounds = 3      // gathers until a report shows what a table changed
	priorRequests     = 20.0   // reqs that tell as much of a zone's demand as its proxies' ordinary rates
	countFade         = 0.6    // what a gather leaves of the counts before it
	speedsOfEndpoint  = 24     // speeds that a histogram holds of an endpoint before it is halved
	fullQueue         = 10.0   // a queue that counts as much as a whole load on top of a full one
	unlimitedRate     = 1e6    // reqs a second of a proxy that all let in
)

// In sets: own penalty against the zone's, reports against earlier ones, parts of a share for a trial and
// worth a line; margin of latency, cost of a rank; waits for trials; load
// that denies, steps, what stays; failures and load to try again at; gap that is sent, more for a table of a
// second, fading of demand.
const (
	ownPenaltyPart, latestReportGain, trialTrust, minSharePart = 0.4, 0.7, 0.12, 0.05
	latencyStep, zoneCostStep                                  = 1.3, 0.2
	firstEjectionMs, maxEjectionMs, ejectionGrowth             = 2000.0, 20000.0, 2.0
	fullLoad, shedStep, shedRelease, minAdmitted               = 0.9, 0.06, 0.92, 0.1
	minRetryFailureRate, maxRetryFailureRate, maxRetryLoad     = 0.02, 0.5, 0.7
	tolerance, channelTolerance, demandFade                    = 0.12, 0.2, 0.97
)

// Part of the connections that the least endpoint takes; most parts of a zone, proxies of one; least lines
// of a table; parts of a line that bring and keep it there; gaps worth heads of a second of the channel.
const (
	connectionUse, maxSubsets, minSubsetProxies      = 0.7, 8, 10
	minRunLines, enterPart, leavePart, worthwhileGap = 2.5, 0.35, 0.1, 0.5
)

type roundStart struct{ timed bool }

type candidate struct {
	Entry
	penalty, trust, load, warmUp, attempts, failures float64 // tries by the zone's proxies, fading
}

type Brain struct {
	mailbox
	settings                  Settings
	rounds, subsetsOfZone     int     // parts: tables that a zone's proxies are dealt to, for each group
	now, targetLoad, meanLoad float64 // mean: of the loads heard
	concentration             float64 // one by how many proxies of one rate would spread reqs as evenly as all
	speeds                    histogram
	started                   bool
	endpoints                 []*endpoint
	regions                   []*region
	actors                    []*mailbox
	publisher                 *publisher
	groups                    []classGroup
	classes                   []RequestClass // of the settings at the start
	proxies                   map[int]Joined
	observed, baseline        map[int]float64 // reqs that came by the proxies' zone, and ordinarily do, fading
	byClass                   map[int]float64 // reqs by kind, fading
	rates, proxiesOfZone      map[int]float64 // by zone of the proxies: reqs a second (at -1 of all), how many
	commands                  []Order
}

type classGroup struct {
	mask                    int
	onlyMachines, onlyZones IndexList
	ownZoneOnly             bool
}

func New(seed int64, terms map[string]any) *Brain {
	parsed, _ := ParseSettings(terms) // New may not fail: what is wrong has its default
	b := &Brain{settings: parsed, classes: parsed.Classes, proxies: map[int]Joined{}, rates: map[int]float64{}, observed: map[int]float64{},
		baseline: map[int]float64{}, byClass: map[int]float64{}, proxiesOfZone: map[int]float64{}}
	// T, the load at which a penalty starts to grow: the less crossing zones costs, the sooner it pays.
	b.targetLoad = math.Min(0.85, 0.5+2*b.settings.CrossZoneCost)
	if !b.settings.Sliced { // sites with slices are not planned: stored owners stay
		b.groupClasses()
	}
	b.subsetsOfZone = b.countSubsets()
	b.publisher = &publisher{planner: b, proxies: map[int]*proxyState{}, unavailable: map[int]float64{}, linesSinceAck: map[int]float64{},
		excludedAt: map[int]float64{}}
	b.take, b.publisher.take, b.actors = b.receive, b.publisher.receive, []*mailbox{&b.mailbox, &b.publisher.mailbox}
	return b
}

// Reconfigure takes over changed settings. What New derived from the earlier ones stays.
func (b *Brain) Reconfigure(settings map[string]any) {
	b.settings, _ = ParseSettings(settings) // as New does
}

func (b *Brain) groupClasses() {
	for i, kind := range b.classes {
		g := classGroup{ownZoneOnly: kind.OwnZoneOnly, onlyMachines: kind.OnlyMachines, onlyZones: kind.OnlyZones}
		same := func(h classGroup) bool {
			return h.ownZoneOnly == g.ownZoneOnly && slices.Equal(h.onlyMachines, g.onlyMachines) && slices.Equal(h.onlyZones, g.onlyZones)
		}
		if !slices.ContainsFunc(b.groups, same) {
			b.groups = append(b.groups, g)
		}
		b.groups[slices.IndexFunc(b.groups, same)].mask |= 1 << i
	}
}

// countSubsets is the number of parts of a zone's proxies: one, unless an endpoint can't take connections of all.
func (b *Brain) countSubsets() int {
	proxies := b.settings.ProxyCount.Or(1)
	if proxies <= connectionUse*b.settings.LeastConnections.Or(math.MaxFloat64) {
		return 1
	}
	return max(1, min(maxSubsets, int(proxies)/(minSubsetProxies*max(1, b.settings.ZoneCount*len(b.groups)))))
}

func (b *Brain) subset(p Joined) int { return p.Zone*b.subsetsOfZone + p.Proxy%b.subsetsOfZone } // its zone and part

func (b *Brain) tableNumber(slot, g int) int { return slot*len(b.groups) + g } // of a slot, for a group

// workPart is a group's part of all work: its reqs, times their response targets for want of a better guess.
func (b *Brain) workPart(g int) float64 {
	own, all := 0.0, 1e-9
	for k, kind := range b.classes {
		w := (b.byClass[k] + priorRequests) * kind.ResponseTargetMs
		own, all = own+pick(b.groups[g].mask&(1<<k) != 0, w, 0), all+w
	}
	return own / all
}

func (g *classGroup) mayUse(zone int, o *candidate) bool {
	return (!g.ownZoneOnly || o.Zone == zone) && g.onlyMachines.Has(o.Machine) && g.onlyZones.Has(o.Zone)
}

func (b *Brain) logf(format string, args ...any) { b.command(Log{fmt.Sprintf(format, args...)}) }

func (b *Brain) command(o Order) { b.commands = append(b.commands, o) }

func (b *Brain) Handle(nowMs float64, notes []Note) []Order {
	b.now, b.commands = math.Max(b.now, nowMs), nil
	if !b.started { // each pilot gathers at its own point of the window
		b.started = true
		b.command(WakeAt{b.now + roundMs*(1+b.settings.Rank/b.settings.Instances)/2, "gather"})
		if b.settings.DiscoveryOnRequest {
			b.command(Watch{On: true})
		}
	}
	for _, n := range notes {
		b.dispatch(n)
	}
	b.deliverAll()
	b.publisher.flush()
	return b.commands
}

func (b *Brain) dispatch(n Note) {
	switch n := n.(type) {
	case Listing:
		b.updateList(n)
	case Alarm:
		if n.Name == "gather" {
			b.rounds++
			b.command(WakeAt{b.now + roundMs, "gather"})
			b.controlRound(true)
		}
	case Probed:
		b.endpoint(n.Endpoint).enqueue(n)
	case Met: // counts that began before the endpoint started again tell of the process that is gone
		if at := b.endpoint(n.Endpoint).Started; at != 0 && at > b.now-n.SpanMs {
			n.Tries, n.Failed = 0, 0
		}
		b.endpoint(n.Endpoint).enqueue(n)
		b.region(n.Zone).enqueue(n)
	default: // who is joined, what comes to them and what they applied
		b.enqueue(n)
		b.publisher.enqueue(n)
	}
}

func (b *Brain) updateList(l Listing) {
	if l.Mode == ListFailed {
		b.command(Watch{On: true})
		return
	}
	named := map[int]bool{}
	for _, e := range l.Entries {
		named[e.Endpoint] = true
		b.region(e.Zone)
		b.endpoint(e.Endpoint).enqueue(e)
	}
	for i, be := range b.endpoints {
		if gone := be.Entry; l.Mode != Changes && be.listed && !named[i] {
			gone.Phase = Gone
			be.enqueue(gone)
		}
	}
	b.controlRound(false)
}

func (b *Brain) controlRound(step bool) {
	b.deliverAll()
	squares := 0.0
	clear(b.proxiesOfZone)
	clear(b.rates) // ordinary rates, corrected by what the sums of the last seconds show
	for _, i := range slices.Sorted(maps.Keys(b.proxies)) {
		z := b.proxies[i].Zone
		rate := b.proxies[i].Rate * b.surge(z)
		b.rates[z], b.rates[-1], b.proxiesOfZone[z] = b.rates[z]+rate, b.rates[-1]+rate, b.proxiesOfZone[z]+1
		squares += rate * rate
	}
	many := float64(len(b.proxies)) / math.Max(1e-9, b.rates[-1]*b.rates[-1]) * squares
	b.concentration = math.Max(1, many) / b.settings.ProxyCount.Or(1)
	b.meanLoad = b.targetLoad / 2
	for _, be := range b.endpoints {
		b.meanLoad += pick(be.updatedAt > b.now-staleMs, be.load-b.meanLoad, 0) / float64(len(b.endpoints)+1)
		be.enqueue(roundStart{step})
	}
	b.deliverAll()
	for _, r := range b.regions {
		r.enqueue(roundStart{step})
	}
}

func (b *Brain) surge(z int) float64 {
	return (b.observed[z] + priorRequests) / (b.baseline[z] + priorRequests)
}

func (b *Brain) deliverAll() {
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

func (b *Brain) receive(note any) {
	switch n := note.(type) {
	case Joined:
		b.proxies[n.Proxy] = n
		b.region(n.Zone)
	case Left:
		delete(b.proxies, n.Proxy)
	case Demand:
		if p, ours := b.proxies[n.Proxy]; ours {
			b.observed[p.Zone] = demandFade*b.observed[p.Zone] + float64(n.Reqs)
			b.byClass[n.Kind] = demandFade*b.byClass[n.Kind] + float64(n.Reqs)
			b.baseline[p.Zone] = demandFade*b.baseline[p.Zone] + p.Rate*n.SpanMs/1000/float64(len(b.classes))
		}
	}
}

func (b *Brain) endpoint(i int) *endpoint {
	for len(b.endpoints) <= i {
		e := &endpoint{planner: b, Entry: Entry{Endpoint: len(b.endpoints)}, load: -1, updatedAt: -staleMs,
			health: map[int]*zoneHealth{}, plans: append([]map[int]float64{{}}, make([]map[int]float64, reportDelayRounds+1)...)}
		e.take = e.receive
		b.endpoints, b.actors = append(b.endpoints, e), append(b.actors, &e.mailbox)
	}
	return b.endpoints[i]
}

func (b *Brain) region(zone int) *region {
	for len(b.regions) <= zone {
		r := &region{planner: b, zone: len(b.regions), candidates: map[int]*candidate{}, shed: map[int]float64{},
			latency: map[int]float64{}, runLengths: map[int]float64{}}
		r.take = r.receive
		b.regions, b.actors = append(b.regions, r), append(b.actors, &r.mailbox)
		for range len(b.groups) * b.subsetsOfZone {
			b.publisher.tables = append(b.publisher.tables, &table{number: len(b.publisher.tables), sent: map[int]float64{},
				admissionSent: map[int]Admit{}, admissionWanted: map[int]Admit{}, wanted: map[int]float64{}})
		}
	}
	return b.regions[zone]
}

type endpoint struct {
	mailbox
	Entry
	planner                  *Brain
	listed, restarted        bool    // again: it has started anew
	load, updatedAt          float64 // of the last reports: load (below 0: none), and when
	penalty                  float64 // the penalty lambda
	interval                 float64 // how far apart its reports are
	residence, bestResidence float64 // of a req in hand, by Little's law, now and at best
	speeds                   histogram
	health                   map[int]*zoneHealth
	plans                    []map[int]float64 // its part of each zone's table, now and some gathers ago
}

type zoneHealth struct {
	answered, failed, attempts, failures float64 // since a trial began, and since the endpoint started, fading
	ejected                              bool
	ejectedUntil, nextEjection, trust    float64 // trust: part of its normal weight
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

func (e *endpoint) healthIn(zone int) *zoneHealth {
	if e.health[zone] == nil {
		e.health[zone] = &zoneHealth{trust: 1, nextEjection: firstEjectionMs}
	}
	return e.health[zone]
}

func (e *endpoint) receive(note any) {
	switch n := note.(type) {
	case Entry:
		e.updateEntry(n)
	case Met:
		v, tries, bad := e.healthIn(n.Zone), float64(n.Tries), float64(n.Failed)
		v.answered, v.failed, v.attempts, v.failures = v.answered+math.Max(0, tries-bad), v.failed+bad, v.attempts+tries, v.failures+bad
		e.takeReport(n.Load)
	case Probed:
		e.takeReport(n.Load)
	case SetLine:
		e.plans[0][n.Table] = n.Weight
	case roundStart:
		e.controlRound(n)
	}
}

func (e *endpoint) updateEntry(n Entry) {
	if e.listed && n.Started != e.Started {
		e.health, e.penalty, e.load, e.updatedAt, e.residence, e.restarted = map[int]*zoneHealth{}, 0, -1, -staleMs, 0, true
	}
	if out := n.Phase != Ready; out != (e.listed && e.Phase != Ready) {
		e.planner.publisher.enqueue(Withdraw{n.Endpoint, out})
	}
	e.Entry, e.listed = n, true
}

func (e *endpoint) takeReport(l Load) {
	load, ok := l["util"]
	if rate := l["rate"]; ok && load > 0.15 && rate > 0 {
		e.speeds.add(rate/load/math.Max(e.Weight, 1e-3), speedsOfEndpoint)
		e.planner.speeds.add(rate/load/math.Max(e.Weight, 1e-3), speedsOfEndpoint*float64(len(e.planner.endpoints)))
	}
	if q, has := l["waiting"]; has && !ok {
		load, ok = (math.Sqrt(q*q+4*q)-q)/2+q/fullQueue, true
	}
	if n := l["in_hand"]; !ok && n > 0 && l["rate"] > 0 { // not how many tells a load, but how long
		e.residence += (n/l["rate"] - e.residence) * pick(e.residence > 0, 0.25, 1)
		e.bestResidence = math.Min(e.residence, pick(e.bestResidence > 0, e.bestResidence, e.residence))
		load, ok = 1-e.bestResidence/e.residence, true
	}
	if ok {
		if gap := e.planner.now - e.updatedAt; gap < staleMs {
			e.interval += (gap - e.interval) / 4
		}
		e.load, e.updatedAt = e.load+(load-e.load)*pick(e.load < 0 || e.planner.now-e.updatedAt > staleMs, 1, latestReportGain), e.planner.now
	}
}

// reportCorrection scales a load report by what the tables changed since, at today's demand, or penalties swing.
func (e *endpoint) reportCorrection() float64 {
	then, now := 0.0, 0.0
	for _, t := range slices.Sorted(maps.Keys(e.plans[0])) {
		d := e.planner.rates[t/len(e.planner.groups)] / e.planner.surge(t/len(e.planner.groups))
		then, now = then+d*e.plans[reportDelayRounds+1][t], now+d*e.plans[0][t]
	}
	e.plans = slices.Insert(e.plans[:reportDelayRounds+1], 0, maps.Clone(e.plans[0]))
	return pick(then > 0, 1+e.planner.demandSeen()*(math.Max(0.25, math.Min(4, now/math.Max(then, 1e-9)))-1), 1)
}

func (e *endpoint) penaltyStep() float64 {
	return penaltyGain * e.planner.demandSeen() * math.Min(1, roundMs/math.Max(e.interval, 1)) // one looked at often counts once
}

func (b *Brain) demandSeen() float64 {
	part := math.Min(1, float64(len(b.proxies))/b.settings.ProxyCount.Or(1))
	return pick(b.settings.ZonesKeptWhole, 1, part)
}

func (e *endpoint) controlRound(n roundStart) {
	if !e.listed {
		return
	}
	speed, seen := e.speeds.mean()
	heard := e.planner.now-e.updatedAt < staleMs && e.load >= 0
	o := candidate{Entry: e.Entry, load: pick(heard, e.load, e.planner.meanLoad)}
	age, from := (e.planner.now-e.Started)/e.planner.settings.WarmUpMs, e.planner.settings.WarmUpStart
	o.warmUp = pick(e.Started == 0, 1, math.Min(1, from+(1-from)*math.Max(0, age)))
	if n.timed {
		load := math.Min(1.5, o.load) * pick(heard, e.reportCorrection(), 1)
		e.penalty = math.Max(0, math.Min(maxPenalty, e.penalty+e.penaltyStep()*(load*load-e.planner.targetLoad*e.planner.targetLoad)))
		every := int(pick(seen < 8, 1, e.planner.settings.Instances))
		if e.planner.settings.HealthChecks && e.Phase == Ready && (e.planner.rounds+e.Endpoint)%max(1, every) == 0 {
			e.planner.command(Probe{Endpoint: e.Endpoint})
		}
	}
	o.penalty, o.Weight = e.penalty, pick(e.Weight > 0, e.Weight, 1)
	if usual, _ := e.planner.speeds.mean(); speed > 0 { // shrunk while few reports are in
		o.Weight *= math.Pow(math.Max(0.4, math.Min(2.5, speed/usual)), seen/(seen+2))
	}
	for _, r := range e.planner.regions {
		v := e.healthIn(r.zone)
		o.attempts, o.failures = v.attempts, v.failures
		if n.timed {
			e.updateHealth(r, v)
			v.attempts, v.failures = v.attempts*countFade, v.failures*countFade
		}
		o.trust = pick(v.ejected, 0, v.trust)
		r.enqueue(o)
	}
}

// updateHealth weighs what a zone's proxies show: failures against the others', or failures alone and no report.
func (e *endpoint) updateHealth(r *region, v *zoneHealth) {
	if v.ejected {
		if e.planner.now >= v.ejectedUntil {
			*v = zoneHealth{trust: trialTrust, nextEjection: v.nextEjection, attempts: v.attempts, failures: v.failures}
			e.planner.logf("endpoint %d zone %d: trial", e.Endpoint, r.zone)
		}
		return
	}
	busy := e.load > e.planner.targetLoad && e.planner.now-e.updatedAt < staleMs // overload is the penalty's business
	mute := v.answered < 0.5 && e.planner.now-e.updatedAt > 3*roundMs            // gone quiet, maybe with its whole zone
	failing := v.failed >= 3 && (v.failed > (0.3+1.5*r.failureRate)*(v.answered+v.failed) && !busy || mute)
	if e.Phase == Ready && failing {
		e.planner.logf("endpoint %d zone %d: out, good %.1f bad %.1f all %.2f", e.Endpoint, r.zone,
			v.answered, v.failed, r.failureRate)
		v.ejected, v.ejectedUntil, v.nextEjection = true, e.planner.now+v.nextEjection, math.Min(maxEjectionMs, v.nextEjection*ejectionGrowth)
	} else if v.trust < 1 && v.answered >= 0.3 {
		v.trust = math.Min(1, v.trust*2)
	}
	v.answered, v.failed = v.answered*countFade, v.failed*countFade
}

type region struct {
	mailbox
	planner     *Brain
	zone        int
	candidates  map[int]*candidate
	latency     map[int]float64 // heard, by zone of the endpoints
	failureRate float64         // part of the tries that fail
	shed        map[int]float64 // part of the reqs to be denied, by group
	runLengths  map[int]float64 // tables that an endpoint is in, by group
	groupWeight []float64       // weight of the endpoints open to each group
	divergence  float64         // part of the reqs that go elsewhere than planned, or in, while tables are standing
}

func (r *region) receive(note any) {
	switch n := note.(type) {
	case Met:
		if o := r.candidates[n.Endpoint]; o != nil && n.MeanMs > 0 {
			old := r.latency[o.Zone]
			r.latency[o.Zone] += (n.MeanMs - old) * pick(old > 0, 0.125, 1)
		}
	case candidate:
		r.candidates[n.Endpoint] = &n
	case roundStart:
		r.controlRound(n.timed)
	}
}

// weightFor is what an endpoint has left for a group when req kinds open to fewer endpoints have had theirs.
func (r *region) weightFor(g int, o *candidate) float64 {
	left := 1.0
	for h := range r.planner.groups {
		if r.groupWeight[h] < 0.99*r.groupWeight[g] && r.planner.groups[h].mayUse(r.zone, o) {
			left -= r.planner.workPart(h) * r.groupWeight[g] / math.Max(r.groupWeight[h], 1e-9)
		}
	}
	return o.Weight * math.Max(left, 0.05)
}

// priceZones ranks zones, home first, then by heard latency in steps of the margin, and adds their mean penalties.
func (r *region) priceZones(g int) (costs map[int]float64, own, load float64) {
	n, weights, costs, sum, served := len(r.planner.regions), map[int]float64{}, map[int]float64{}, 1e-9, 1e-9
	for _, i := range slices.Sorted(maps.Keys(r.candidates)) {
		if o := r.candidates[i]; r.planner.groups[g].mayUse(r.zone, o) {
			w := r.weightFor(g, o) * pick(o.Phase == Ready, math.Max(0.01, o.trust*o.warmUp), 0.01)
			weights[o.Zone] += w
			costs[o.Zone] += (1 - ownPenaltyPart) * w * o.penalty
			load, sum = load+w*o.load, sum+w
			served += pick(!r.planner.settings.ZonesKeptWhole || r.planner.rates[o.Zone] > 0, w, 0)
		}
	}
	key := func(zone int) float64 {
		step := math.Floor(math.Log(math.Max(1, r.latency[zone])) / math.Log(latencyStep))
		return pick(zone == r.zone, -1, step*float64(n)+float64((zone-r.zone+n)%n))
	}
	zones := slices.Sorted(maps.Keys(weights))
	sort.Slice(zones, func(i, j int) bool { return key(zones[i]) < key(zones[j]) })
	home := append(zones, -1)[0]
	own = pick(weights[home] > 0.03*sum, weights[home]/sum, 1) // a lost home draws nothing to it
	for i, z := range zones {
		ahead := r.forecastHomeCost(load/sum, weights[z]/served, own)
		costs[z] = costs[z]/weights[z] + pick(z == r.zone, ahead, 1+zoneCostStep*float64(i-1))
	}
	return costs, own, load / sum
}

// forecastHomeCost prices the home zone so that it keeps the demand that fills it to the target, ahead of reports.
func (r *region) forecastHomeCost(mean, part, own float64) float64 {
	if !r.planner.settings.ReportsUtilization {
		mean = math.Max(mean, r.planner.targetLoad) // a short queue doesn't tell how full it is
	}
	seen := r.planner.demandSeen()
	crowd := seen*r.planner.rates[r.zone]/math.Max(part*r.planner.rates[-1], 1e-9) + 1 - seen
	stay := math.Max(r.planner.targetLoad, mean) / math.Max(mean*crowd, 1e-9)
	return pick(stay < 1, math.Max(0, 1-(stay-own)/(gradientLength*math.Max(1-own, 0.1))), 0)
}

func (r *region) controlRound(step bool) {
	groups, tries, fails := len(r.planner.groups), 0.0, 0.0
	r.groupWeight = make([]float64, groups)
	for _, i := range slices.Sorted(maps.Keys(r.candidates)) {
		o := r.candidates[i]
		tries, fails = tries+o.attempts, fails+o.failures
		for g, group := range r.planner.groups {
			r.groupWeight[g] += pick(o.Phase == Ready && group.mayUse(r.zone, o), o.Weight, 0)
		}
	}
	r.failureRate, r.divergence = pick(step, fails/math.Max(8, tries), r.failureRate), 0
	for g := range r.planner.groups {
		lines, own := r.allocations(g)
		solveShares(lines, own)
		r.divergence = math.Max(r.divergence, r.planDivergence(g, lines)+r.shed[g])
		load, unit, rush := 0.0, 1e-9, r.planner.surge(r.zone)
		for _, l := range lines { // the fullest line stands still, so that spill alone moves few others
			unit = math.Max(unit, l.share/math.Max(l.weight, 1e-9))
			load += l.share * math.Min(1, r.candidates[l.endpoint].load)
			r.planner.endpoints[l.endpoint].enqueue(SetLine{r.planner.tableNumber(r.zone, g), l.endpoint, l.share * rush})
		}
		r.assignSubsets(g, lines, unit)
		if step {
			r.updateAdmission(g, load)
		}
	}
}

// planDivergence is the part of a group's reqs that standing tables bring elsewhere than planned, also by chance. Two
// that are out cost a bind to say; whoever is told anything answers for cold endpoints that come again.
func (r *region) planDivergence(g int, lines []allocation) float64 {
	old, sum, count, apart := make([]float64, len(lines)), 1e-9, 0.0, 0.0
	for i, l := range lines {
		o := r.candidates[l.endpoint]
		mine := pick(o.Zone == r.zone && r.planner.groups[g].mayUse(r.zone, o), 1, 0)
		old[i] = mine * pick(o.Started == 0, o.Weight, 0)
		sum, count = sum+old[i], count+pick(old[i] > 0, 1, 0)
		apart += mine * pick(o.Phase != Ready, worthwhileGap/2, pick(r.planner.endpoints[l.endpoint].restarted && o.warmUp < 1, worthwhileGap, 0))
	}
	for i, l := range lines {
		apart += math.Abs(l.share - old[i]/sum)
	}
	return apart + math.Sqrt(count*float64(len(r.planner.regions))*r.planner.concentration/r.planner.settings.StandingLines)
}

// assignSubsets gives each of a group's tables a run of the zone's own lines, mostly all, and one of those spilt that
// drives none of them out, laid end to end by share on a ring, as long as the endpoints' connections allow.
func (r *region) assignSubsets(g int, lines []allocation, unit float64) {
	var ready, count, sum = 0.0, [2]float64{}, [2]float64{} // of the own, of those spilt
	used, parts := make([]float64, len(lines)), float64(r.planner.subsetsOfZone)
	for i, l := range lines {
		used[i] = pick(l.share > minSharePart*l.weight, l.share, 0)
		ready += pick(r.candidates[l.endpoint].Phase == Ready && r.candidates[l.endpoint].trust > 0, 1, 0)
		count[l.ring], sum[l.ring] = count[l.ring]+pick(used[i] > 0, 1, 0), sum[l.ring]+used[i]
	}
	proxies := r.planner.settings.ProxyCount.Or(1) // were all to come here at once, all have their tables in time
	told := r.planner.settings.LinesPerSecond.Or(1e6)*r.planner.settings.DrainGraceMs/1000/proxies - r.planner.publisher.headerLines()
	most := math.Min(told, connectionUse*r.planner.settings.LeastConnections.Or(1e9)*ready/proxies)
	for k, room := range []float64{most, most - count[0]} {
		want := math.Max(1, math.Min(parts, parts*math.Max(room-1, minRunLines)/math.Max(count[k], 1)))
		if want = pick(room >= count[k], parts, want); want == parts || math.Abs(want-r.runLengths[2*g+k]) > 0.7 {
			r.runLengths[2*g+k] = math.Round(want)
		}
	}
	for p := range r.planner.subsetsOfZone {
		t, at := r.planner.publisher.tables[r.planner.tableNumber(r.zone*r.planner.subsetsOfZone+p, g)], [2]float64{}
		for i, l := range lines {
			k := l.ring
			from, width, mass := float64(p)/parts, r.runLengths[2*g+k]/parts, used[i]/math.Max(sum[k], 1e-9)
			over := math.Max(0, math.Min(at[k]+mass, from+width)-math.Max(at[k], from)) +
				math.Max(0, math.Min(at[k]+mass, from+width-1)-math.Max(at[k], from-1))
			in := over > pick(t.sent[l.endpoint] > 0, leavePart, enterPart)*math.Min(mass, width)
			part := pick(width < 1, math.Ceil(3*over/mass)/3, 1) * r.runLengths[2*g] / r.runLengths[2*g+k]
			r.planner.publisher.enqueue(SetLine{t.number, l.endpoint, pick(in, l.share/unit*part, 0)})
			at[k] += mass
		}
	}
}

type allocation struct {
	endpoint, ring             int // away: 0 in the own zone, else 1
	weight, cost, limit, share float64
}

// allocations lists a group's endpoints, cold ones and trials capped; without a trusted warm one all are in.
func (r *region) allocations(g int) (lines []allocation, own float64) {
	costs, own, load := r.priceZones(g)
	sum, near, chill, trusted, chilled, tried := 1e-9, 1e-9, 1e-9, 0.0, 0.0, 1e-9
	rush := r.planner.surge(r.zone)                                                       // who is refused comes again
	cold, bend := pick(r.planner.rounds < 5, 0, (1-r.failureRate)/math.Max(1, rush)), 1.0 // a fresh pilot: none
	for _, i := range slices.Sorted(maps.Keys(r.candidates)) {
		o, l := r.candidates[i], allocation{endpoint: i, ring: int(pick(r.candidates[i].Zone == r.zone, 0, 1))}
		if r.planner.groups[g].mayUse(r.zone, o) && o.Phase == Ready {
			w := r.weightFor(g, o)
			l.weight, l.cost, l.limit = w, costs[o.Zone]+ownPenaltyPart*o.penalty, 1
			sum, near = sum+w, near+pick(o.Zone == r.zone, w, 0)
			chill += pick(o.Zone == r.zone && o.warmUp < 1, w*o.warmUp, 0)
			trusted += pick(o.warmUp >= 1, o.trust, 0)
		}
		lines = append(lines, l)
	}
	near = math.Max(near, sum/float64(len(r.planner.regions))) // the last of a zone is no giant
	few := math.Max(1, rush) * load / chill / r.planner.settings.OverloadMultiple
	few *= math.Max(near, sum*(r.planner.proxiesOfZone[r.zone]-minSubsetProxies)/r.planner.settings.ProxyCount.Or(1e9))
	if r.planner.settings.ProxiesEject && few > 0.8 {
		ease := math.Max(0, math.Min(math.Min(1, 3-few), math.Min(1-4*r.failureRate, (0.85-load)/0.2)))
		cold, bend = math.Min(cold, ease), 3-2*ease
	}
	for i := range lines {
		l, o := &lines[i], r.candidates[lines[i].endpoint]
		if part := math.Pow(o.warmUp, bend) * pick(trusted > 0, o.trust, 1); l.weight > 0 && part < 1 {
			room := pick(o.Zone == r.zone, l.weight/near, 0.1*l.weight/sum)
			l.limit = part * pick(o.warmUp < 1, cold*room, l.weight/sum)
		}
		l.weight, l.share = l.weight/sum, l.weight/sum
		chilled, tried = chilled+pick(o.warmUp < 1, l.limit, 0), tried+pick(o.warmUp < 1, 0, l.limit)
	}
	for i := range lines { // what caps leave over falls to trials: one that fails harms less than a cold one
		lines[i].limit *= pick(r.candidates[lines[i].endpoint].warmUp < 1, 1, math.Max(1, (1-chilled)/tried))
	}
	return lines, own
}

func solveShares(lines []allocation, own float64) {
	projectShares(lines)
	for range 24 {
		mean := 0.0
		for _, l := range lines {
			mean += l.share * l.cost
		}
		for i, l := range lines {
			lines[i].share -= gradientLength / max(own, 0.1) / 24 * l.weight * (l.cost - mean)
		}
		projectShares(lines)
	}
}

func projectShares(lines []allocation) {
	for range 12 {
		rest, free := 1.0, 0.0
		for i, l := range lines {
			lines[i].share = max(0, min(l.limit, l.share))
			rest -= lines[i].share
		}
		for _, l := range lines {
			free += pick(rest > 0 && l.share < l.limit || rest < 0 && l.share > 0, l.weight, 0)
		}
		for i, l := range lines {
			lines[i].share = pick(free == 0, l.share/max(1-rest, 1e-9), l.share+rest*l.weight/max(free, 1e-9))
		}
	}
}

// updateAdmission denies reqs of a group overloaded as a whole, least payoff for their target (a guess at work) first.
func (r *region) updateAdmission(g int, load float64) {
	order, mask, before := r.planner.shedOrder(), r.planner.groups[g].mask, r.shed[g]
	each := r.planner.rates[r.zone] / math.Max(1, r.planner.proxiesOfZone[r.zone]) // reqs a second of a proxy
	if load > fullLoad || load > r.planner.targetLoad && r.failureRate > 0.2 {
		r.shed[g] = math.Min(0.9, before+(1-before)*(shedStep+r.failureRate/8))
	} else if load < fullLoad-0.05 {
		r.shed[g] = math.Max(0, shedRelease*before-0.005)
	}
	if (before == 0) != (r.shed[g] == 0) {
		r.planner.logf("zone %d kinds %b: denying %.2f load %.2f fail %.2f", r.zone, mask, r.shed[g], load, r.failureRate)
	}
	usual, some := float64(r.planner.settings.DefaultRetry), r.failureRate > minRetryFailureRate && r.failureRate < maxRetryFailureRate
	again := r.planner.settings.FirstRetryWait <= 1 && some && load*(1+r.failureRate) < maxRetryLoad // else it mostly fails
	left, asked, by := r.shed[g]*float64(bits.OnesCount(uint(mask))), 1e-9, r.planner.settings.Admission
	for k := range r.planner.classes {
		asked += r.planner.byClass[k] + priorRequests
	}
	for _, k := range order {
		if mask&(1<<k) != 0 {
			cut := pick(by == AdmitByShare || by == AdmitByRate, math.Min(1-minAdmitted, left), 0)
			left -= cut
			level := pick(by == AdmitByRate, unlimitedRate, math.Round(20*(1-cut))/20) // few steps, few messages
			if rate := each / asked * (r.planner.byClass[k] + priorRequests); by == AdmitByRate && cut*rate > 0 {
				level = math.Exp2(math.Round(4*math.Log2(-rate*math.Log(cut))) / 4) // proxies spread exponentially
			}
			way := pick(again && r.planner.classes[k].Retryable, 2, usual)
			for p := range r.planner.subsetsOfZone {
				r.planner.publisher.enqueue(Admit{r.planner.tableNumber(r.zone*r.planner.subsetsOfZone+p, g), 1 << k, int(way), level})
			}
		}
	}
}

func (b *Brain) shedOrder() (order []int) {
	var worth []float64
	for k, of := range b.classes {
		order, worth = append(order, k), append(worth, of.PriorityWeight/of.ResponseTargetMs)
	}
	sort.SliceStable(order, func(i, j int) bool { return worth[order[i]] < worth[order[j]] })
	return order
}
