package planner

// This file is the frame of the planner: events in, control rounds, commands out. The planner is a sub-controller of
// the ACCO algorithm ("A Distributed Hybrid Load Management Model for Anycast CDNs", section IV-A). Its regions are
// the zones of the proxies that joined it. Once in a round each endpoint steps its penalty (penalty.go) and each
// region solves for its shares anew (region.go); the publisher sends the proxies what changed (publisher.go).
// docs/design.md says what was changed of the algorithm, and why.

import (
	"fmt"
	"math"
)

const (
	roundMs        = 1000.0 // between control rounds; load reports come about as often
	staleMs        = 5000.0 // a load report older than this says nothing of an endpoint's present load
	settlingRounds = 5      // in which a planner that has just started knows too little to load endpoints that warm up

	// roundTimer names the timer of the control rounds.
	roundTimer = "gather"
)

// Targets for the load of an endpoint, in parts of what it can do.
const (
	baseTargetLoad          = 0.5  // where crossing zones costs nothing
	maxTargetLoad           = 0.85 // where it costs a lot: a zone should keep its requests nearly until it is full
	targetLoadCrossZoneGain = 2.0  // by how much the target rises with the cost of crossing zones
)

// Planner plans how the proxies spread their requests over the endpoints. It is a plain state machine, without a clock,
// goroutines or any I/O: the same events at the same times bring the same commands. Call New once, then Handle with
// each moment's events. It is not safe for concurrent use.
type Planner struct {
	mailbox mailbox[plannerMessage]
	actors  []actor // in the order in which they came to be; the planner itself is the first, the publisher the second

	settings Settings // the latest

	// Derived from the settings of the start. Later ones leave it as it is, since the tables are laid out by it.
	targetLoad    float64 // T of the penalty's step: the load above which a penalty grows
	classes       []RequestClass
	shedOrder     []int // the classes, by the order in which their load is shed
	groups        []classGroup
	subsetsOfZone int // into which the proxies of each zone are dealt

	now      float64 // ms
	started  bool
	rounds   int // timed ones
	commands []Command

	proxies map[int]ProxyJoined // that have joined, as they described themselves
	demand  demand
	load    fleetLoad

	endpoints []*endpoint // by index
	regions   []*region   // by zone
	publisher *publisher
}

// New returns a planner. Settings of a wrong type count as missing; ParseSettings names them. The seed is not used, as
// nothing is drawn by chance.
func New(_ int64, settings map[string]any) *Planner {
	parsed, _ := ParseSettings(settings) // New may not fail: what is wrong has its default
	p := &Planner{settings: parsed, classes: parsed.Classes, proxies: map[int]ProxyJoined{}, demand: newDemand()}
	p.targetLoad = targetLoad(parsed.CrossZoneCost)
	p.shedOrder = shedOrder(p.classes)
	if !parsed.Sliced {
		p.groups = groupClasses(p.classes)
	}
	p.subsetsOfZone = subsetsOfZone(parsed, len(p.groups))
	p.publisher = newPublisher(p)
	p.mailbox.receive = p.receive
	p.actors = []actor{&p.mailbox, &p.publisher.mailbox}
	return p
}

// Reconfigure takes over changed settings: all of them, changed and not. What New derived from the earlier ones stays:
// the target load, the request classes and their groups, and the subsets of a zone's proxies.
func (p *Planner) Reconfigure(settings map[string]any) {
	p.settings, _ = ParseSettings(settings) // as New does
}

// targetLoad returns T, the load at which a penalty starts to grow: the less crossing zones costs, the sooner it pays.
func targetLoad(crossZoneCost float64) float64 {
	return math.Min(maxTargetLoad, baseTargetLoad+targetLoadCrossZoneGain*crossZoneCost)
}

// Handle takes in what happened by a time and returns what is to be done about it, in order. Times never run backwards:
// an earlier one counts as the last.
func (p *Planner) Handle(nowMs float64, events []Event) []Command {
	p.now = math.Max(p.now, nowMs)
	p.commands = nil
	p.start()
	for _, event := range events {
		p.dispatch(event)
	}
	p.deliverAll()
	p.publisher.flush()
	return p.commands
}

// start sets the timer of the first round, at the first event. Each controller has its own point of the round, so that
// not all of them change their tables at once.
func (p *Planner) start() {
	if p.started {
		return
	}
	p.started = true
	p.command(SetTimer{p.now + roundMs*(1+p.settings.Rank/p.settings.Instances)/2, roundTimer})
	if p.settings.DiscoveryOnRequest {
		p.command(WatchEndpoints{On: true})
	}
}

// dispatch passes an event to the actors that it concerns. Events of other types call for no plan.
func (p *Planner) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		p.updateList(event)
	case TimerFired:
		p.timerFired(event)
	case HealthCheckResult:
		p.endpoint(event.Endpoint).mailbox.enqueue(event)
	case EndpointStats:
		p.takeStats(event)
	case ProxyJoined:
		p.mailbox.enqueue(event)
		p.publisher.mailbox.enqueue(event)
	case ProxyLeft:
		p.mailbox.enqueue(event)
		p.publisher.mailbox.enqueue(event)
	case RequestStats:
		p.mailbox.enqueue(event)
	case Ack:
		p.publisher.mailbox.enqueue(event)
	case ChannelStalled:
		p.publisher.mailbox.enqueue(event)
	}
}

// timerFired begins a timed round. Other timers only have the planner called, as each call flushes the publisher.
func (p *Planner) timerFired(timer TimerFired) {
	if timer.Name != roundTimer {
		return
	}
	p.rounds++
	p.command(SetTimer{p.now + roundMs, roundTimer})
	p.controlRound(true)
}

// takeStats passes on what proxies of a zone saw of an endpoint. Counts that began before the endpoint started again
// belong to the process that is gone: they are dropped, its load report is not.
func (p *Planner) takeStats(stats EndpointStats) {
	e := p.endpoint(stats.Endpoint)
	if e.Started != 0 && e.Started > p.now-stats.SpanMs {
		stats.Attempts = 0
		stats.Failed = 0
	}
	e.mailbox.enqueue(stats)
	p.region(stats.Zone).mailbox.enqueue(stats)
}

// updateList takes in news of the endpoint list and plans anew. What a complete list leaves out is gone.
func (p *Planner) updateList(list EndpointUpdate) {
	if list.Mode == UpdateFailed {
		p.command(WatchEndpoints{On: true})
		return
	}
	named := map[int]bool{}
	for _, entry := range list.Entries {
		named[entry.Endpoint] = true
		p.region(entry.Zone)
		p.endpoint(entry.Endpoint).mailbox.enqueue(entry)
	}
	if list.Mode != Delta {
		p.removeUnnamed(named)
	}
	p.controlRound(false)
}

// removeUnnamed takes listed endpoints that a complete list leaves out for gone.
func (p *Planner) removeUnnamed(named map[int]bool) {
	for i, e := range p.endpoints {
		if e.listed && !named[i] {
			gone := e.Entry
			gone.Phase = Gone
			e.mailbox.enqueue(gone)
		}
	}
}

// controlRound has all endpoints and then all regions plan anew. The regions begin only when all endpoints
// have made their offers.
func (p *Planner) controlRound(timed bool) {
	p.deliverAll()
	p.demand.update(p.proxies, p.settings.ProxyCount.Or(1))
	p.load.update(p.endpoints, p.targetLoad, p.now)
	for _, e := range p.endpoints {
		e.mailbox.enqueue(roundStart{timed})
	}
	p.deliverAll()
	for _, r := range p.regions {
		r.mailbox.enqueue(roundStart{timed})
	}
}

// receive takes in a message to the planner itself: who has joined, and what requests come to them.
func (p *Planner) receive(message plannerMessage) {
	switch message := message.(type) {
	case ProxyJoined:
		p.proxies[message.Proxy] = message
		p.region(message.Zone)
	case ProxyLeft:
		delete(p.proxies, message.Proxy)
	case RequestStats:
		if proxy, joined := p.proxies[message.Proxy]; joined {
			p.demand.observe(message, proxy, len(p.classes))
		}
	}
}

// endpoint returns the state of an endpoint, which it makes at its first mention.
func (p *Planner) endpoint(index int) *endpoint {
	for len(p.endpoints) <= index {
		e := newEndpoint(p, len(p.endpoints))
		p.endpoints = append(p.endpoints, e)
		p.actors = append(p.actors, &e.mailbox)
	}
	return p.endpoints[index]
}

// region returns the state of a zone's proxies, which it makes, with its tables, at the zone's first mention.
func (p *Planner) region(zone int) *region {
	for len(p.regions) <= zone {
		r := newRegion(p, len(p.regions))
		p.regions = append(p.regions, r)
		p.actors = append(p.actors, &r.mailbox)
		p.publisher.addTables(len(p.groups) * p.subsetsOfZone)
	}
	return p.regions[zone]
}

// demandSeen returns which part of the demand on an endpoint this planner sees: that of the proxies that joined it. The
// others plan for the rest, so each corrects only its part of what is amiss.
func (p *Planner) demandSeen() float64 {
	if p.settings.ZonesKeptWhole {
		return 1
	}
	return math.Min(1, float64(len(p.proxies))/p.settings.ProxyCount.Or(1))
}

// command gives a command out.
func (p *Planner) command(command Command) { p.commands = append(p.commands, command) }

// logf writes a line to the operators' log.
func (p *Planner) logf(format string, args ...any) { p.command(Log{fmt.Sprintf(format, args...)}) }
