// Package audit judges a run of a scenario by what crossed the sockets. It reads the event logs of the testbed and the
// settings, nothing of the pilot, and gives a verdict on each of the five rules with its evidence, and the service that
// the clients had.
package audit

import (
	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
)

// checkIntervalMs is how often conditions that last are checked, in ms; far below the limits, which are seconds.
const checkIntervalMs = 50.0

// Auditor goes through the events of a run once, in the order of their times.
type Auditor struct {
	settings  *config.Common
	service   *serviceMeter
	report    *Report
	checkedAt float64 // ms; when lasting conditions were last checked

	// Names of endpoints in the event logs and their addresses. A name may have had several addresses.
	nameByAddress   map[string]string
	addressesByName map[string][]string

	// What the events have shown so far, by name.
	proxies       map[string]*proxyState
	sortedProxies []*proxyState // by name
	pilots        map[string]*pilotState
	endpoints     map[string]*endpointState

	effectCounts map[string]map[uint64]int // of each request, by request class
	cutZones     map[string]bool
	blackholed   map[string]bool // by name: nothing passes to or from it
}

// Check audits a complete run. Addresses maps an endpoint's address to its name in the event logs.
func Check(events []eventlog.Event, settings *config.Common, addresses map[string]string) *Report {
	a := New(settings)
	for address, name := range addresses {
		a.AddAddress(address, name)
	}
	for _, e := range events {
		a.Add(e)
	}
	return a.Report()
}

// New returns an auditor that has seen no events.
func New(settings *config.Common) *Auditor {
	return &Auditor{
		settings:        settings,
		service:         newServiceMeter(settings),
		report:          newReport(),
		nameByAddress:   map[string]string{},
		addressesByName: map[string][]string{},
		proxies:         map[string]*proxyState{},
		pilots:          map[string]*pilotState{},
		endpoints:       map[string]*endpointState{},
		effectCounts:    map[string]map[uint64]int{},
		cutZones:        map[string]bool{},
		blackholed:      map[string]bool{},
	}
}

// AddAddress registers an endpoint's address under its name in the event logs.
func (a *Auditor) AddAddress(address, name string) {
	a.nameByAddress[address] = name
	a.addressesByName[name] = append(a.addressesByName[name], address)
}

// Add takes in the next event. Lasting conditions are first checked up to its time.
func (a *Auditor) Add(e eventlog.Event) {
	for a.checkedAt+checkIntervalMs <= e.At {
		a.checkedAt += checkIntervalMs
		a.checkCoverage()
	}
	a.service.record(e)
	a.apply(e)
}

// Report ends the audit and returns its result.
func (a *Auditor) Report() *Report {
	a.checkQueues()
	a.report.Service = a.service.Service
	return a.report
}

// verdict returns the verdict on a rule.
func (a *Auditor) verdict(r Rule) *Verdict { return &a.report.Verdicts[r] }

// apply updates the state by one event and checks the rules that it bears on.
func (a *Auditor) apply(e eventlog.Event) {
	switch e.What {
	case eventlog.Start:
		a.recordStart(e)
	case eventlog.Stop:
		a.recordStop(e)
	case eventlog.Join:
		a.recordJoin(e)
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
		a.recordCut(e)
	}
}
