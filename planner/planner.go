package planner

// This file holds the planner's main loop: events in, control rounds, commands out. The planner is a sub-controller of
// the ACCO algorithm ("A Distributed Hybrid Load Management Model for Anycast CDNs", section IV-A). Its regions are
// the zones of the proxies that joined it. Once in a round each endpoint steps its penalty (penalty.go) and each
// region solves for its shares anew (region.go); the publisher sends the proxies what changed (publisher.go).
// docs/design.md says what was changed of the algorithm, and why.

import (
	"fmt"
	"math"
)

const (
	// roundMs is the interval between control rounds. Load reports arrive about as often.
	roundMs = 1000.0

	// staleMs is the age from which a load report says nothing of an endpoint's present load.
	staleMs = 5000.0

	// settlingRounds is the number of rounds after a start in which too little is known to give requests to endpoints
	// that warm up.
	settlingRounds = 5

	// roundTimer names the timer of the control rounds.
	roundTimer = "gather"
)

// Target load of an endpoint, as a fraction of its capacity.
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
	actors  []actor // in creation order: the planner itself, the publisher, then endpoints and regions

	settings Settings // the latest

	// Derived from the settings given to New. Reconfigure leaves them as they are, since tables are numbered by them.
	targetLoad    float64 // T of the penalty's step: the load above which a penalty grows
	classes       []RequestClass
	shedSequence  []int // classes in the order in which their load is shed
	groups        []classGroup
	subsetsOfZone int // number of subsets that the proxies of each zone are divided into

	now      float64 // ms
	started  bool
	rounds   int // timed ones
	commands []Command

	proxies map[int]ProxyJoined // joined proxies, as they described themselves
	demand  demand
	load    fleetLoad

	endpoints []*endpoint // by index
	regions   []*region   // by zone
	publisher *publisher
}

// New returns a planner. Settings of a wrong type count as missing; ParseSettings reports them. The seed is unused,
// since the planner draws no random numbers.
func New(_ int64, settings map[string]any) *Planner {
	parsed, _ := ParseSettings(settings) // New cannot fail: a value of a wrong type has its default
	p := &Planner{settings: parsed, classes: parsed.Classes, proxies: map[int]ProxyJoined{}, demand: newDemand()}
	p.targetLoad = targetLoad(parsed.CrossZoneCost)
	p.shedSequence = shedSequence(p.classes)
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

// Handle processes the events up to a time and returns the commands that follow from them, in order. Time never runs
// backwards: an earlier time counts as the latest one so far.
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

// start sets the timer of the first round, when Handle is first called. Controllers spread their rounds over the
// interval by their rank, so that not all of them change their tables at once.
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

// dispatch passes an event to the actors that it concerns. Events of other types do not affect the plan.
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

// timerFired begins a timed round. The other timers need no handling: each call of Handle flushes the publisher.
func (p *Planner) timerFired(timer TimerFired) {
	if timer.Name != roundTimer {
		return
	}
	p.rounds++
	p.command(SetTimer{p.now + roundMs, roundTimer})
	p.controlRound(true)
}

// takeStats passes on what the proxies of a zone observed at an endpoint. Counts that began before the endpoint
// started again belong to the process that is gone: they are dropped, its load report is not.
func (p *Planner) takeStats(stats EndpointStats) {
	e := p.endpoint(stats.Endpoint)
	if e.Started != 0 && e.Started > p.now-stats.SpanMs {
		stats.Attempts = 0
		stats.Failed = 0
	}
	e.mailbox.enqueue(stats)
	p.region(stats.Zone).mailbox.enqueue(stats)
}

// updateList applies an update of the endpoint list and plans again. Endpoints that a complete list omits are gone.
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

// removeUnnamed marks listed endpoints that a complete list omits as gone.
func (p *Planner) removeUnnamed(named map[int]bool) {
	for i, e := range p.endpoints {
		if e.listed && !named[i] {
			gone := e.Entry
			gone.Phase = Gone
			e.mailbox.enqueue(gone)
		}
	}
}

// controlRound lets all endpoints update themselves and then all regions plan again. The regions begin only after all
// endpoints have made their offers.
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

// receive handles a message to the planner itself: which proxies have joined, and which requests come to them.
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

// endpoint returns the state of an endpoint, creating it when it is first mentioned.
func (p *Planner) endpoint(index int) *endpoint {
	for len(p.endpoints) <= index {
		e := newEndpoint(p, len(p.endpoints))
		p.endpoints = append(p.endpoints, e)
		p.actors = append(p.actors, &e.mailbox)
	}
	return p.endpoints[index]
}

// region returns the region of a zone, creating it and its tables when the zone is first mentioned.
func (p *Planner) region(zone int) *region {
	for len(p.regions) <= zone {
		r := newRegion(p, len(p.regions))
		p.regions = append(p.regions, r)
		p.actors = append(p.actors, &r.mailbox)
		p.publisher.addTables(len(p.groups) * p.subsetsOfZone)
	}
	return p.regions[zone]
}

// demandSeen returns the fraction of the demand that this planner sees: that of the proxies that joined it. The other
// controllers plan for the rest, so each corrects only its fraction of an imbalance.
func (p *Planner) demandSeen() float64 {
	if p.settings.OneControllerPerZone {
		return 1
	}
	return math.Min(1, float64(len(p.proxies))/p.settings.ProxyCount.Or(1))
}

// command adds a command to those that Handle returns.
func (p *Planner) command(command Command) { p.commands = append(p.commands, command) }

// logf writes a line to the operators' log.
func (p *Planner) logf(format string, args ...any) { p.command(Log{fmt.Sprintf(format, args...)}) }
