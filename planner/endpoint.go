package planner

// This file holds the state of one endpoint and what it does in a control round.

import "math"

// endpoint is an actor that holds the state of one endpoint and sends it to the regions as a candidate in each control
// round. Load and health are reset when the endpoint's process restarts.
type endpoint struct {
	Entry   // latest entry of the endpoint list
	mailbox mailbox[endpointMessage]
	planner *Planner

	listed    bool // it has been in the endpoint list at least once
	restarted bool // its process has restarted since it was first listed
	load      loadEstimate
	penalty   float64             // lambda in the ACCO paper
	health    map[int]*zoneHealth // by the zone of the observing proxies
	plans     planHistory
}

// newEndpoint returns the state of an endpoint that has not been listed yet.
func newEndpoint(p *Planner, index int) *endpoint {
	e := &endpoint{
		Entry: Entry{Endpoint: index}, planner: p, load: newLoadEstimate(), plans: newPlanHistory(),
		health: map[int]*zoneHealth{},
	}
	e.mailbox.receive = e.receive
	return e
}

// receive handles a message to the endpoint.
func (e *endpoint) receive(message endpointMessage) {
	switch message := message.(type) {
	case Entry:
		e.updateEntry(message)
	case EndpointStats:
		e.healthIn(message.Zone).count(message)
		e.applyReport(message.Load)
	case HealthCheckResult:
		e.applyReport(message.Load)
	case plannedShare:
		e.plans.set(message.plan, message.share)
	case roundStart:
		e.controlRound(message.timed)
	}
}

// updateEntry applies an entry of the endpoint list. If the endpoint's process has restarted, the load, health and
// penalty of the previous process are discarded; if the index was reassigned, everything is.
func (e *endpoint) updateEntry(entry Entry) {
	if entry.Reassigned {
		e.reassign()
		entry.Reassigned = false // true for the first entry only
	}
	if e.listed && entry.Started != e.Started {
		e.health = map[int]*zoneHealth{}
		e.penalty = 0
		e.load.reset()
		e.restarted = true
	}
	wasReady := !e.listed || e.Phase == Ready
	if ready := entry.Phase == Ready; ready != wasReady {
		e.planner.publisher.mailbox.enqueue(availability{entry.Endpoint, ready})
	}
	e.Entry = entry
	e.listed = true
}

// reassign discards the state of the endpoint to which the index belonged before.
func (e *endpoint) reassign() {
	mailbox := e.mailbox
	*e = *newEndpoint(e.planner, e.Endpoint)
	e.mailbox = mailbox
	e.planner.publisher.mailbox.enqueue(indexReassigned{e.Endpoint})
}

// applyReport updates the speed and load estimates from a load report. An empty report changes nothing.
func (e *endpoint) applyReport(report Load) {
	e.recordSpeed(report)
	if load, known := e.load.fromReport(report); known {
		e.load.add(load, e.planner.now)
	}
}

// controlRound updates the endpoint and sends it to each region as a candidate. Only timed rounds (see roundStart)
// change the penalty and health. It does nothing until the endpoint has been listed.
func (e *endpoint) controlRound(timed bool) {
	if !e.listed {
		return
	}
	fresh := e.load.isFresh(e.planner.now)
	load := e.planner.load.mean // assumed for an endpoint without recent load reports
	if fresh {
		load = e.load.value
	}
	if timed {
		e.stepPenalty(load, fresh)
		e.checkHealth()
	}
	offer := candidate{
		Entry: e.Entry, load: load, penalty: e.penalty, weight: e.effectiveWeight(),
		warmUpFraction: e.planner.warmUpFraction(e.Started),
	}
	for _, r := range e.planner.regions {
		e.offerTo(r, offer, timed)
	}
}

// offerTo sends the endpoint to a region as a candidate, with its health as observed by the region's own proxies.
func (e *endpoint) offerTo(r *region, offer candidate, timed bool) {
	health := e.healthIn(r.zone)
	offer.attempts = health.attempts
	offer.failures = health.failures
	if timed {
		e.updateHealth(r, health)
	}
	offer.healthFactor = health.weightFactor
	if health.ejected {
		offer.healthFactor = 0
	}
	r.mailbox.enqueue(&offer)
}

// checkHealth commands a health check of a ready endpoint, if the deployment allows health checks. Once enough reports
// of the endpoint's speed have been received, it does so only in every n-th round, where n is the number of
// controllers, so that they share the checks.
func (e *endpoint) checkHealth() {
	if !e.planner.settings.HealthChecks || e.Phase != Ready {
		return
	}
	interval := 1
	if _, reports := e.load.speeds.mean(); reports >= minSpeedReports {
		interval = max(1, int(e.planner.settings.Instances))
	}
	if (e.planner.rounds+e.Endpoint)%interval == 0 {
		e.planner.command(HealthCheck{Endpoint: e.Endpoint})
	}
}

// effectiveWeight returns the listed weight (1 if none is listed), multiplied by the endpoint's speed relative to the
// fleet's mean. The correction is bounded, and close to 1 while there are few reports.
func (e *endpoint) effectiveWeight() float64 {
	weight := 1.0
	if e.Weight > 0 {
		weight = e.Weight
	}
	speed, reports := e.load.speeds.mean()
	if speed <= 0 {
		return weight
	}
	fleetSpeed, _ := e.planner.load.speeds.mean()
	correction := math.Max(minSpeedCorrection, math.Min(maxSpeedCorrection, speed/fleetSpeed))
	return weight * math.Pow(correction, reports/(reports+priorSpeedReports))
}
