package planner

// This file holds the planner's main loop: it dispatches events, runs control rounds and collects commands. The planner
// is a sub-controller of the ACCO algorithm ("A Distributed Hybrid Load Management Model for Anycast CDNs", section
// IV-A). Its regions are the zones of the joined proxies. In each control round, every endpoint updates its penalty
// (penalty.go) and every region recomputes its endpoints' shares of the requests (region.go); the publisher then sends
// the changes to the proxies (publisher.go). docs/design.md lists the differences from the published algorithm and the
// reasons for them.

import (
	"fmt"
	"math"
)

const (
	// roundMs is the interval between control rounds, in ms. Load reports arrive about as often.
	roundMs = 1000.0

	// staleMs is the age, in ms, from which a load report no longer counts as an endpoint's current load.
	staleMs = 5000.0

	// settlingRounds is the number of control rounds after the planner's start in which endpoints that are warming up
	// get no requests, because too little is known about the fleet's load.
	settlingRounds = 5

	// roundTimer is the name of the timer that starts each control round.
	roundTimer = "gather"
)

// Target load of an endpoint, as a fraction of its capacity. It rises with the cost of requests that cross zones.
const (
	baseTargetLoad          = 0.5  // target load if crossing zones costs nothing
	maxTargetLoad           = 0.85 // highest target load: if crossing costs much, a zone should be nearly full first
	targetLoadCrossZoneGain = 2.0  // increase of the target load per unit of cross-zone cost
)

// Planner plans how the proxies distribute their requests over the endpoints. It is a deterministic state machine
// without a clock, goroutines or I/O: the same events at the same times produce the same commands. Create it with New
// and pass it events with Handle. It is not safe for concurrent use.
type Planner struct {
	mailbox mailbox[plannerMessage]
	actors  []actor // in creation order: the planner itself, the publisher, then endpoints and regions

	settings Settings // from New or the latest call of Reconfigure

	// Derived from the settings passed to New. Reconfigure does not change them, because table numbers depend on them.
	targetLoad    float64 // load above which an endpoint's penalty grows, as a fraction of its capacity
	classes       []RequestClass
	shedSequence  []int // classes in the order in which their load is shed
	groups        []classGroup
	subsetsOfZone int // number of subsets into which the proxies of each zone are divided

	now      float64   // time of the current call of Handle, in ms
	started  bool      // the timer of the first control round has been set
	rounds   int       // timed control rounds so far
	commands []Command // output of the current call of Handle

	proxies map[int]ProxyJoined // joined proxies by index, as described in their join events
	demand  demand
	load    fleetLoad

	endpoints []*endpoint // indexed by endpoint
	regions   []*region   // indexed by zone
	publisher *publisher
}

// New returns a planner with the given settings. A setting of the wrong type takes its default; ParseSettings reports
// such errors. The seed is unused because the planner draws no random numbers.
func New(_ int64, settings map[string]any) *Planner {
	parsed, _ := ParseSettings(settings) // the error can be ignored: invalid settings take their defaults
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

// Reconfigure replaces all settings, so the map must also contain the unchanged ones. Values that New derived from the
// original settings do not change: the target load, the request classes and their groups, and the number of subsets of
// each zone's proxies.
func (p *Planner) Reconfigure(settings map[string]any) {
	p.settings, _ = ParseSettings(settings) // errors are ignored, as in New
}

// targetLoad returns the load, as a fraction of the capacity, above which an endpoint's penalty grows. It is lower if
// crossing zones is cheap, so that requests spill over to other zones sooner.
func targetLoad(crossZoneCost float64) float64 {
	return math.Min(maxTargetLoad, baseTargetLoad+targetLoadCrossZoneGain*crossZoneCost)
}

// Handle processes events that occurred up to nowMs and returns the resulting commands in the order in which they are
// to be carried out. Time never goes backwards: a nowMs below that of an earlier call is raised to it.
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

// start sets the timer of the first control round on the first call of Handle. Pilots spread their rounds over the
// interval by rank, so that they do not all change their tables at the same time.
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

// dispatch passes an event to the actors that it concerns. Events of types that it omits do not affect the plan.
func (p *Planner) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		p.updateEndpointList(event)
	case TimerFired:
		p.timerFired(event)
	case HealthCheckResult:
		p.endpoint(event.Endpoint).mailbox.enqueue(event)
	case EndpointStats:
		p.handleStats(event)
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

// timerFired starts a control round and sets the timer of the next one. The publisher's timers need no handling,
// because every call of Handle flushes the publisher.
func (p *Planner) timerFired(timer TimerFired) {
	if timer.Name != roundTimer {
		return
	}
	p.rounds++
	p.command(SetTimer{p.now + roundMs, roundTimer})
	p.controlRound(true)
}

// handleStats passes the statistics of a zone's proxies about an endpoint to that endpoint and to the zone's region. If
// the endpoint restarted within the statistics' period, the attempt counts include attempts at its previous process and
// are dropped; the load report is kept.
func (p *Planner) handleStats(stats EndpointStats) {
	e := p.endpoint(stats.Endpoint)
	if e.Started != 0 && e.Started > p.now-stats.SpanMs {
		stats.Attempts = 0
		stats.Failed = 0
	}
	e.mailbox.enqueue(stats)
	p.region(stats.Zone).mailbox.enqueue(stats)
}

// updateEndpointList applies an update of the endpoint list and runs a control round. Endpoints that are missing from a
// complete list count as gone. If the list could not be fetched, it only renews the subscription.
func (p *Planner) updateEndpointList(list EndpointUpdate) {
	if list.Mode == UpdateFailed {
		p.command(WatchEndpoints{On: true})
		return
	}
	present := map[int]bool{}
	for _, entry := range list.Entries {
		present[entry.Endpoint] = true
		p.region(entry.Zone)
		p.endpoint(entry.Endpoint).mailbox.enqueue(entry)
	}
	if list.Mode != Delta {
		p.removeMissing(present)
	}
	p.controlRound(false)
}

// removeMissing marks listed endpoints that are not present in a complete list as gone.
func (p *Planner) removeMissing(present map[int]bool) {
	for i, e := range p.endpoints {
		if e.listed && !present[i] {
			gone := e.Entry
			gone.Phase = Gone
			e.mailbox.enqueue(gone)
		}
	}
}

// controlRound updates all endpoints and then has all regions recompute their plans. The regions start only after every
// endpoint has sent them its state. Timed rounds, unlike those caused by a list update, also update penalties, health
// and admission.
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

// receive handles a message to the planner itself: a proxy that joined or left, or a proxy's request statistics.
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

// endpoint returns the state of the endpoint with the given index and creates it on first use.
func (p *Planner) endpoint(index int) *endpoint {
	for len(p.endpoints) <= index {
		e := newEndpoint(p, len(p.endpoints))
		p.endpoints = append(p.endpoints, e)
		p.actors = append(p.actors, &e.mailbox)
	}
	return p.endpoints[index]
}

// region returns the region of a zone and creates it, with its tables, on first use.
func (p *Planner) region(zone int) *region {
	for len(p.regions) <= zone {
		r := newRegion(p, len(p.regions))
		p.regions = append(p.regions, r)
		p.actors = append(p.actors, &r.mailbox)
		p.publisher.addTables(len(p.groups) * p.subsetsOfZone)
	}
	return p.regions[zone]
}

// demandFraction returns the fraction of the total demand that this pilot plans for, estimated as the fraction of all
// proxies that joined it. The other pilots plan for the rest, so each corrects only its fraction of an imbalance. It is
// 1 if all proxies of a zone join the same pilot.
func (p *Planner) demandFraction() float64 {
	if p.settings.OneControllerPerZone {
		return 1
	}
	return math.Min(1, float64(len(p.proxies))/p.settings.ProxyCount.Or(1))
}

// command appends a command to those that Handle returns.
func (p *Planner) command(command Command) { p.commands = append(p.commands, command) }

// logf adds a command that writes a formatted line to the operators' log.
func (p *Planner) logf(format string, args ...any) { p.command(Log{fmt.Sprintf(format, args...)}) }
