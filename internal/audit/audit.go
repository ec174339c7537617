// Package audit checks a run of a scenario against the five rules that every pilot must keep. It reads only the
// settings and the event logs of the testbed, which record the traffic on the sockets; it uses no state of the pilots.
// Its report holds a verdict with evidence for each rule, and the service that the clients received.
package audit

import (
	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
)

// coverageCheckIntervalMs is the interval in ms at which the coverage rule is checked, which is far below the limit of
// the rule, which is in seconds. A snapshot must also list an endpoint within this time to preserve its phase.
const coverageCheckIntervalMs = 50.0

// Auditor checks the rules in one pass over the events of a run, which must be added in the order of their times.
type Auditor struct {
	settings          *config.Common
	service           *serviceMeter
	report            *Report
	coverageCheckedAt float64 // time in ms up to which the coverage rule has been checked

	// Names of endpoints in the event logs and their addresses. An endpoint can have several addresses during a run.
	nameByAddress   map[string]string
	addressesByName map[string][]string

	// State derived from the events so far, keyed by the process's name in the event logs.
	proxies       map[string]*proxyState
	sortedProxies []*proxyState // the values of proxies, sorted by name
	pilots        map[string]*pilotState
	endpoints     map[string]*endpointState

	effectCounts map[string]map[uint64]int // number of effects by request class and request ID
	cutZones     map[string]bool           // zones that are cut off from the other zones
	isolated     map[string]bool           // names of processes whose traffic is all dropped
}

// Check audits a complete run. The events must be in the order of their times; addresses maps an endpoint's address to
// its name in the event logs.
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

// New returns an auditor for a run with these settings, without any events.
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
		isolated:        map[string]bool{},
	}
}

// AddAddress registers an endpoint's address under its name in the event logs.
func (a *Auditor) AddAddress(address, name string) {
	a.nameByAddress[address] = name
	a.addressesByName[name] = append(a.addressesByName[name], address)
}

// Add processes the next event. Before that it checks the coverage rule at each interval up to the event's time.
func (a *Auditor) Add(e eventlog.Event) {
	for a.coverageCheckedAt+coverageCheckIntervalMs <= e.At {
		a.coverageCheckedAt += coverageCheckIntervalMs
		a.checkCoverage()
	}
	a.service.record(e)
	a.apply(e)
}

// Report finishes the audit and returns its result. It must be called once, after the last event.
func (a *Auditor) Report() *Report {
	a.checkQueues()
	a.report.Service = a.service.Service
	return a.report
}

// verdict returns a rule's verdict in the report, to be updated in place.
func (a *Auditor) verdict(r Rule) *Verdict { return &a.report.Verdicts[r] }

// apply updates the state with one event and checks the rules that the event can violate.
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
