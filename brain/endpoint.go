package brain

// This file holds the state of one endpoint and what it does in a control round.

import "math"

type endpoint struct {
	mailbox mailbox[endpointMessage]
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

func (e *endpoint) receive(note endpointMessage) {
	switch n := note.(type) {
	case Entry:
		e.updateEntry(n)
	case Met:
		e.healthIn(n.Zone).count(n)
		e.takeReport(n.Load)
	case Probed:
		e.takeReport(n.Load)
	case plannedShare:
		e.plans[0][n.plan] = n.share
	case roundStart:
		e.controlRound(n)
	}
}

func (e *endpoint) updateEntry(n Entry) {
	if e.listed && n.Started != e.Started {
		e.health, e.penalty, e.load, e.updatedAt, e.residence, e.restarted = map[int]*zoneHealth{}, 0, -1, -staleMs, 0, true
	}
	if out := n.Phase != Ready; out != (e.listed && e.Phase != Ready) {
		e.planner.publisher.mailbox.enqueue(availability{n.Endpoint, !out})
	}
	e.Entry, e.listed = n, true
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
		}
		o.trust = pick(v.ejected, 0, v.trust)
		offer := o
		r.mailbox.enqueue(&offer)
	}
}
