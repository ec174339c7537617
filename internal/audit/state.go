package audit

import (
	"math"
	"slices"
	"strings"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// Values of Event.Kind in a Start event. The start of a proxy has another value.
const (
	startedCold  = "cold"  // an endpoint that needs a warm-up
	startedWarm  = "warm"  // an endpoint that has its full capacity at once
	startedPilot = "pilot" // a pilot
)

// snapshotMarker is the value of Event.N in the Told event that begins a snapshot of the whole endpoint list.
const snapshotMarker = -1

// startToleranceMs is the largest difference in ms between two reported start times of an endpoint that still count as
// the same start. They differ because the age in a message is that at its sending, not at its receipt.
const startToleranceMs = 500

// proxyState is the state of a proxy, derived from the events.
type proxyState struct {
	name  string
	zone  string
	pilot string // name of the pilot that it has joined; empty if none

	joinedAt       float64            // time in ms at which it joined its pilot
	lineCounts     map[string]int     // number of endpoints in its table, by request class
	uncovered      bool               // at least one request class has no endpoint
	uncoveredSince map[string]float64 // time in ms at which the check first found no endpoint, by request class
	lastCommandAt  float64            // time in ms at which the pilot queued the message that the proxy received last
	messageTimes   []float64          // times in ms of the messages received within the last MessagesOver
}

// pilotState is the state of a pilot, derived from the events.
type pilotState struct {
	zone        string
	incarnation int                        // number of starts so far
	listed      map[string]*listedEndpoint // the pilot's endpoint list, by address
	queued      map[int][]queuedMessage    // messages that it sent, by incarnation
}

// listedEndpoint is an endpoint as a pilot's endpoint list describes it.
type listedEndpoint struct {
	zone    string
	machine string // name of the hardware generation

	phase      int     // one of the wire.Phase constants
	phaseSince float64 // time in ms at which the phase began
	// The phase and its beginning (ms) before the last snapshot began. They are restored if the snapshot lists the
	// endpoint with the same phase.
	earlierPhase int
	earlierSince float64

	startedAt     float64 // time in ms; -Inf if the list gives no age, as the start was long ago
	startListedAt float64 // time in ms at which the pilot was notified of this start
}

// endpointState is the state of an endpoint's process, derived from the events.
type endpointState struct {
	startedAt float64   // time in ms
	slowStart bool      // it needs a warm-up after its start
	capacity  float64   // ms of work per ms, after the warm-up
	arrivals  []arrival // within the last Fall, during the warm-up
}

// proxy returns the state of a proxy and creates it if there is none.
func (a *Auditor) proxy(name string) *proxyState {
	if p := a.proxies[name]; p != nil {
		return p
	}
	p := &proxyState{name: name, lineCounts: map[string]int{}, uncoveredSince: map[string]float64{}}
	a.proxies[name] = p
	a.sortedProxies = append(a.sortedProxies, p)
	slices.SortFunc(a.sortedProxies, func(x, y *proxyState) int { return strings.Compare(x.name, y.name) })
	return p
}

// pilot returns the state of a pilot and creates it if there is none.
func (a *Auditor) pilot(name string) *pilotState {
	if p := a.pilots[name]; p != nil {
		return p
	}
	p := &pilotState{listed: map[string]*listedEndpoint{}, queued: map[int][]queuedMessage{}}
	a.pilots[name] = p
	return p
}

// connectedPilot returns the pilot that the proxy has joined, or nil if there is none or no data can pass between them.
// A proxy counts as disconnected from the beginning of a network cut, because its pilot cannot reach it.
func (a *Auditor) connectedPilot(p *proxyState) *pilotState {
	if p.pilot == "" || a.isolated[p.name] || a.isolated[p.pilot] {
		return nil
	}
	pilot := a.pilot(p.pilot)
	if p.zone != pilot.zone && (a.cutZones[p.zone] || a.cutZones[pilot.zone]) {
		return nil
	}
	return pilot
}

// recordStart records the start of a process of an endpoint, a pilot or a proxy.
func (a *Auditor) recordStart(e eventlog.Event) {
	switch e.Kind {
	case startedCold, startedWarm: // replaces the state of an earlier process with the same name
		a.endpoints[e.Who] = &endpointState{startedAt: e.At, slowStart: e.Kind == startedCold, capacity: e.Value}
	case startedPilot:
		pilot := a.pilot(e.Who)
		pilot.zone = e.Text
		pilot.incarnation++
		clear(pilot.listed)
	default:
		proxy := a.proxy(e.Who)
		proxy.zone = e.Text
		proxy.pilot = ""
	}
}

// recordStop records the end of a process. Only the end of a proxy changes the state; it then has no pilot. A stopped
// endpoint or pilot needs no handling, because a process that sends nothing cannot violate a rule.
func (a *Auditor) recordStop(e eventlog.Event) {
	if p := a.proxies[e.Who]; p != nil {
		p.pilot = ""
	}
}

// recordJoin records that a proxy joined a pilot, and discards the messages and times that concern an earlier pilot.
func (a *Auditor) recordJoin(e eventlog.Event) {
	p := a.proxy(e.Who)
	p.zone = e.Kind
	p.pilot = e.Peer
	p.joinedAt = e.At
	p.messageTimes = nil
	p.lastCommandAt = math.Inf(-1)
	clear(p.uncoveredSince)
}

// recordCut records the beginning or end of a network cut: of a zone if Event.Text names one, otherwise of the single
// process named by Event.Peer.
func (a *Auditor) recordCut(e eventlog.Event) {
	isCut := e.What == eventlog.Cut
	if e.Text != "" {
		a.cutZones[e.Text] = isCut
		return
	}
	a.isolated[e.Peer] = isCut
}

// recordListed updates a pilot's endpoint list with one entry, or begins a snapshot of the list.
func (a *Auditor) recordListed(e eventlog.Event) {
	pilot := a.pilot(e.Peer)
	if e.N <= snapshotMarker {
		pilot.beginSnapshot(e.At)
		return
	}
	listed := pilot.listed[e.Text]
	if listed == nil {
		listed = &listedEndpoint{phase: e.N, phaseSince: e.At, startedAt: math.Inf(-1), startListedAt: e.At}
		pilot.listed[e.Text] = listed
	}
	listed.setPhase(e.N, e.At)
	listed.setStart(e.At, e.Value)
	if slash := strings.LastIndexByte(e.Kind, '/'); slash >= 0 {
		listed.zone = e.Kind[:slash]
		listed.machine = e.Kind[slash+1:]
	}
}

// beginSnapshot marks all endpoints as gone at a time in ms, until the snapshot lists them again.
func (p *pilotState) beginSnapshot(at float64) {
	for _, listed := range p.listed {
		if listed.phase == wire.PhaseGone {
			continue
		}
		listed.earlierPhase = listed.phase
		listed.earlierSince = listed.phaseSince
		listed.phase = wire.PhaseGone
		listed.phaseSince = at
	}
}

// setPhase sets the phase of an endpoint at a time in ms. If a snapshot has just begun and lists the endpoint with the
// same phase as before, the phase keeps its earlier beginning.
func (l *listedEndpoint) setPhase(phase int, at float64) {
	if l.phase == phase {
		return
	}
	since := at
	if l.earlierPhase == phase && at-l.phaseSince < coverageCheckIntervalMs {
		since = l.earlierSince
	}
	l.phase = phase
	l.phaseSince = since
}

// setStart records when an endpoint started, from its age in ms at the time at, in ms. A negative age means that the
// start was long ago.
func (l *listedEndpoint) setStart(at, age float64) {
	startedAt := math.Inf(-1)
	if age >= 0 {
		startedAt = at - age
	}
	wasLongAgo := math.IsInf(l.startedAt, -1)
	isLongAgo := math.IsInf(startedAt, -1)
	if wasLongAgo != isLongAgo || math.Abs(startedAt-l.startedAt) > startToleranceMs {
		l.startedAt = startedAt
		l.startListedAt = at
	}
}

// mayServe returns whether the endpoint may serve a request class for proxies in a zone.
func (l *listedEndpoint) mayServe(class *config.RequestClass, zone string) bool {
	if len(class.OnlyMachines) > 0 && !slices.Contains(class.OnlyMachines, l.machine) {
		return false
	}
	if len(class.OnlyZones) > 0 && !slices.Contains(class.OnlyZones, l.zone) {
		return false
	}
	return !class.OwnZone || l.zone == zone
}
