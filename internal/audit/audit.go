// Package audit judges a rehearsal by what crossed the sockets: it reads the trails of the stand-ins and the terms,
// nothing of the pilot, and gives a verdict on each of the five rules with its evidence, and the service.
package audit

import (
	"math"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
)

// Auditor walks through the trails once, by time.
type Auditor struct {
	settings        *config.Common
	nameByAddress   map[string]string // endpoints' trail names by address
	addressesByName map[string][]string
	service         *serviceMeter
	sortedProxies   []*proxyState // by name
	proxies         map[string]*proxyState
	pilots          map[string]*pilotState
	endpoints       map[string]*endpointState
	effectCounts    map[string]map[uint64]int
	cutZones        map[string]bool
	blackholed      map[string]bool
	report          *Report
	checkedAt       float64
}

// checkIntervalMs is how often standing conditions are looked at, in ms.
const checkIntervalMs = 50.0

// Check gives the verdicts. Addresses maps an endpoint's address to its name in the trails.
func Check(events []eventlog.Event, t *config.Common, addresses map[string]string) *Report {
	a := New(t)
	for address, name := range addresses {
		a.AddAddress(address, name)
	}
	for _, e := range events {
		a.Add(e)
	}
	return a.Report()
}

// New returns an auditor that has seen nothing.
func New(t *config.Common) *Auditor {
	a := &Auditor{settings: t, nameByAddress: map[string]string{}, addressesByName: map[string][]string{}, service: newServiceMeter(t), proxies: map[string]*proxyState{}, pilots: map[string]*pilotState{},
		endpoints: map[string]*endpointState{}, effectCounts: map[string]map[uint64]int{}, cutZones: map[string]bool{},
		blackholed: map[string]bool{}, report: &Report{}}
	for i := range a.report.Verdicts {
		a.report.Verdicts[i].Rule = Rule(i)
	}
	return a
}

// AddAddress tells an endpoint's address and its name in the trails.
func (a *Auditor) AddAddress(address, name string) {
	a.nameByAddress[address] = name
	a.addressesByName[name] = append(a.addressesByName[name], address)
}

// Add takes in the next event.
func (a *Auditor) Add(e eventlog.Event) {
	for a.checkedAt+checkIntervalMs <= e.At {
		a.checkedAt += checkIntervalMs
		a.checkCoverage()
	}
	a.service.record(e)
	a.apply(e)
}

// Report ends the audit.
func (a *Auditor) Report() *Report {
	a.checkQueues()
	a.report.Service = a.service.Service
	return a.report
}

// apply folds one event into the state and checks what it bears on.
func (a *Auditor) apply(e eventlog.Event) {
	switch e.What {
	case eventlog.Start:
		a.recordStart(e)
	case eventlog.Stop:
		if p := a.proxies[e.Who]; p != nil {
			p.pilot = ""
		}
	case eventlog.Join:
		p := a.proxy(e.Who)
		p.zone, p.pilot, p.joinedAt, p.messageTimes = e.Kind, e.Peer, e.At, nil
		clear(p.uncoveredSince)
		p.lastCommandAt = math.Inf(-1)
	case eventlog.Leave:
		a.proxy(e.Who).pilot = ""
	case eventlog.Lines:
		a.proxy(e.Who).recordLines(e, a.settings.Kinds)
	case eventlog.Got:
		a.recordMessage(e)
	case eventlog.Send:
		a.checkDrain(e)
	case eventlog.Arrive:
		a.checkSlowStart(e)
	case eventlog.Effect:
		a.checkEffect(e)
	case eventlog.Told:
		a.recordListed(e)
	case eventlog.Cut, eventlog.Mended:
		if e.Text != "" {
			a.cutZones[e.Text] = e.What == eventlog.Cut
		} else {
			a.blackholed[e.Peer] = e.What == eventlog.Cut
		}
	}
}
