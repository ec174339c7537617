package audit

import (
	"math"
	"slices"
	"strings"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// Values of Event.Kind in a Start event. A proxy's start has none of them.
const (
	startedCold  = "cold"  // an endpoint that warms up first
	startedWarm  = "warm"  // an endpoint that is warm at once
	startedPilot = "pilot" // a pilot
)

// snapshotMarker is Event.N of the Told event with which an endpoint list sent as a whole begins.
const snapshotMarker = -1

// startToleranceMs is how far two reports of an endpoint's start may lie apart and still mean the same start: the age
// in a message is taken when it is sent, not when it is received.
const startToleranceMs = 500

// proxyState is what the events show of a proxy.
type proxyState struct {
	name  string
	zone  string
	pilot string // that it has joined; empty: none

	joinedAt       float64            // ms
	lineCounts     map[string]int     // endpoints in its table, by request class
	uncovered      bool               // some request class has no endpoint
	uncoveredSince map[string]float64 // ms, by request class
	lastCommandAt  float64            // ms; when the pilot decided on what it last received
	messageTimes   []float64          // ms, within the span over which messages are counted
}

// pilotState is what the events show of a pilot.
type pilotState struct {
	zone        string
	incarnation int
	listed      map[string]*listedEndpoint // by address
	queued      map[int][]queuedMessage    // by incarnation
}

// listedEndpoint is what a pilot's endpoint list says of an endpoint.
type listedEndpoint struct {
	zone    string
	machine string // hardware generation

	phase      int
	phaseSince float64 // ms
	// Phase and time before a snapshot began that has yet to name the endpoint again.
	earlierPhase int
	earlierSince float64

	startedAt     float64 // ms; -Inf where the list names no start: long ago
	startListedAt float64 // ms; when the pilot was notified of this start
}

// endpointState is what the events show of an endpoint's process.
type endpointState struct {
	startedAt float64 // ms
	slowStart bool    // it warms up after its start
	capacity  float64 // ms of work per ms, once warm
	arrivals  []arrival
}

// proxy returns the state of a proxy, and begins one at its first event.
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

// pilot returns the state of a pilot, and begins one at its first event.
func (a *Auditor) pilot(name string) *pilotState {
	if p := a.pilots[name]; p != nil {
		return p
	}
	p := &pilotState{listed: map[string]*listedEndpoint{}, queued: map[int][]queuedMessage{}}
	a.pilots[name] = p
	return p
}

// connectedPilot returns a proxy's pilot while their connection carries data, and nil otherwise. A proxy behind a cut
// counts as disconnected from the cut on, as its pilot can do nothing there.
func (a *Auditor) connectedPilot(p *proxyState) *pilotState {
	if p.pilot == "" || a.blackholed[p.name] || a.blackholed[p.pilot] {
		return nil
	}
	pilot := a.pilot(p.pilot)
	if p.zone != pilot.zone && (a.cutZones[p.zone] || a.cutZones[pilot.zone]) {
		return nil
	}
	return pilot
}

// recordStart begins a process of an endpoint, a pilot or a proxy.
func (a *Auditor) recordStart(e eventlog.Event) {
	switch e.Kind {
	case startedCold, startedWarm: // a new state: the name may have been that of an earlier process
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

// recordStop ends a process. Only a proxy's end matters: what is not sent can't break a rule.
func (a *Auditor) recordStop(e eventlog.Event) {
	if p := a.proxies[e.Who]; p != nil {
		p.pilot = ""
	}
}

// recordJoin connects a proxy to a pilot; what an earlier pilot did no longer counts.
func (a *Auditor) recordJoin(e eventlog.Event) {
	p := a.proxy(e.Who)
	p.zone = e.Kind
	p.pilot = e.Peer
	p.joinedAt = e.At
	p.messageTimes = nil
	p.lastCommandAt = math.Inf(-1)
	clear(p.uncoveredSince)
}

// recordCut begins or ends a cut, of a zone or of everything around one name.
func (a *Auditor) recordCut(e eventlog.Event) {
	isCut := e.What == eventlog.Cut
	if e.Text != "" {
		a.cutZones[e.Text] = isCut
		return
	}
	a.blackholed[e.Peer] = isCut
}

// recordListed updates a pilot's endpoint list.
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

// beginSnapshot takes all endpoints as gone until the snapshot names them again.
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

// setPhase changes the phase of an endpoint. A snapshot that names the phase of before it leaves its beginning as it
// was.
func (l *listedEndpoint) setPhase(phase int, at float64) {
	if l.phase == phase {
		return
	}
	since := at
	if l.earlierPhase == phase && at-l.phaseSince < checkIntervalMs {
		since = l.earlierSince
	}
	l.phase = phase
	l.phaseSince = since
}

// setStart notes when an endpoint started, from its age in ms; a negative age means long ago.
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

// opensTo returns whether an endpoint may serve a request class for proxies of a zone.
func (l *listedEndpoint) opensTo(class *config.RequestClass, zone string) bool {
	if len(class.OnlyMachines) > 0 && !slices.Contains(class.OnlyMachines, l.machine) {
		return false
	}
	if len(class.OnlyZones) > 0 && !slices.Contains(class.OnlyZones, l.zone) {
		return false
	}
	return !class.OwnZone || l.zone == zone
}
