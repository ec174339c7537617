package audit

import (
	"math"
	"slices"
	"strings"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// proxyState is what the trails show of a proxy.
type proxyState struct {
	name           string
	zone, pilot    string
	uncovered      bool // some kind has no line
	joinedAt       float64
	lineCounts     map[string]int
	uncoveredSince map[string]float64 // since when, by kind
	lastCommandAt  float64            // when its last message was ordered
	messageTimes   []float64
}

// listedEndpoint is what a pilot was told of an endpoint.
type listedEndpoint struct {
	phase         int
	phaseSince    float64 // of this phase
	earlierPhase  int     // phase and time before a whole list that has yet to name it again
	earlierSince  float64
	startedAt     float64 // -Inf: the distant past
	startListedAt float64
	zone, machine string
}

// endpointState is what the trails show of an endpoint's process.
type endpointState struct {
	startedAt float64
	slowStart bool
	capacity  float64
	arrivals  []arrival
}

type arrival struct {
	at, work float64
	informed bool
}

type pilotState struct {
	zone   string
	life   int
	listed map[string]*listedEndpoint
	queued map[int][]queuedMessage // by life: messages and when they lay in the channel
}

func (a *Auditor) proxy(name string) *proxyState {
	if a.proxies[name] == nil {
		a.proxies[name] = &proxyState{name: name, lineCounts: map[string]int{}, uncoveredSince: map[string]float64{}}
		a.sortedProxies = append(a.sortedProxies, a.proxies[name])
		slices.SortFunc(a.sortedProxies, func(x, y *proxyState) int { return strings.Compare(x.name, y.name) })
	}
	return a.proxies[name]
}

func (a *Auditor) pilot(name string) *pilotState {
	if a.pilots[name] == nil {
		a.pilots[name] = &pilotState{listed: map[string]*listedEndpoint{}, queued: map[int][]queuedMessage{}}
	}
	return a.pilots[name]
}

func (a *Auditor) recordStart(e eventlog.Event) {
	switch {
	case e.Kind == "cold" || e.Kind == "warm": // an endpoint's; its address may once have been another's
		a.endpoints[e.Who] = &endpointState{startedAt: e.At, slowStart: e.Kind == "cold", capacity: e.Value}
	case e.Kind == "pilot":
		p := a.pilot(e.Who)
		p.zone, p.life = e.Text, p.life+1
		clear(p.listed)
	default:
		a.proxy(e.Who).zone = e.Text
		a.proxy(e.Who).pilot = ""
	}
}

// connectedPilot returns a proxy's pilot while the stream between them carries. One that a cut holds up counts as left from
// the cut on, as the pilot can do nothing there.
func (a *Auditor) connectedPilot(name string, p *proxyState) *pilotState {
	if p.pilot == "" || a.blackholed[name] || a.blackholed[p.pilot] {
		return nil
	}
	pilot := a.pilot(p.pilot)
	if p.zone != pilot.zone && (a.cutZones[p.zone] || a.cutZones[pilot.zone]) {
		return nil
	}
	return pilot
}

func (a *Auditor) recordListed(e eventlog.Event) {
	pilot := a.pilot(e.Peer)
	if e.N < 0 { // a whole list begins: what it does not name again is gone
		for _, t := range pilot.listed {
			if t.phase != wire.PhaseGone {
				t.earlierPhase, t.earlierSince = t.phase, t.phaseSince
				t.phase, t.phaseSince = wire.PhaseGone, e.At
			}
		}
		return
	}
	t := pilot.listed[e.Text]
	if t == nil {
		t = &listedEndpoint{phase: e.N, phaseSince: e.At, startedAt: math.Inf(-1), startListedAt: e.At}
		pilot.listed[e.Text] = t
	}
	if t.phase != e.N {
		since := e.At
		if t.earlierPhase == e.N && e.At-t.phaseSince < checkIntervalMs {
			since = t.earlierSince // the whole list changed nothing of it
		}
		t.phase, t.phaseSince = e.N, since
	}
	started := math.Inf(-1)
	if e.Value >= 0 {
		started = e.At - e.Value
	}
	if math.IsInf(started, -1) != math.IsInf(t.startedAt, -1) || math.Abs(started-t.startedAt) > 500 {
		t.startedAt, t.startListedAt = started, e.At
	}
	for i := range e.Kind {
		if e.Kind[i] == '/' {
			t.zone, t.machine = e.Kind[:i], e.Kind[i+1:]
		}
	}
}
