package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"indigousher/internal/audit"
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// World is the state of one run: the clock, the network and all emulated processes.
type World struct {
	Play
	Clock
	random *rand.Rand // random numbers of the run; used in the order of events

	network        *network
	registry       *registry
	endpoints      []*emulatedEndpoint
	endpointByName map[string]*emulatedEndpoint
	entries        map[string]wire.Entry // true state of the endpoints, which the registry's list follows with a delay
	dialDelayMs    map[string]float64    // delay that a fault adds to new connections, by endpoint
	proxies        []*emulatedProxy
	pilots         []*emulatedPilot
	sliceOwners    []string // owning endpoint, by slice

	// By request class, in the order of the scenario.
	classIndex       map[string]int   // by name of the class
	timeoutsMs       []float64        // client timeouts
	targetsMs        []float64        // latency objectives
	attemptDeadlines []*deadlineQueue // timeouts of proxies' attempts
	clientDeadlines  []*deadlineQueue // timeouts of client requests

	// Timing of the proxies.
	redialMs        float64 // mean delay before a proxy dials a pilot again
	applyMs         float64 // time that a proxy takes to apply each line of a message
	reportPeriodMs  float64 // between load reports, unless the pilot requests another period
	firstWaitFactor float64 // timeout of a first attempt, as a multiple of the latency objective
	muteLimitMs     float64 // time that a proxy may read nothing before its stream is ended

	auditor     *audit.Auditor
	digest      eventDigest
	result      *Outcome
	Attempts    uint64  // attempts sent by proxies so far
	PilotMs     float64 // real time spent in pilots' turns so far
	fingerprint string  // fingerprint of the decider; empty if pilots keep no record
	err         error   // ends the run at the next step; nil: no failure
}

// worldStream and endpointStream select different random sequences for the same seed.
const (
	worldStream    = 5
	endpointStream = 11
)

// newWorld returns the state of a run before its start.
func newWorld(p Play) *World {
	s := p.Scenario
	w := &World{
		Play:            p,
		random:          rand.New(rand.NewPCG(uint64(s.Seed), worldStream)),
		endpointByName:  map[string]*emulatedEndpoint{},
		entries:         map[string]wire.Entry{},
		dialDelayMs:     map[string]float64{},
		classIndex:      map[string]int{},
		redialMs:        milliseconds(s.RedialDelay),
		applyMs:         milliseconds(s.ApplyTimePerLine),
		reportPeriodMs:  milliseconds(s.Period),
		firstWaitFactor: s.FirstWait,
		muteLimitMs:     milliseconds(s.DrainGrace) / 2,
		auditor:         audit.New(&s.Common),
		result:          newOutcome(),
	}
	w.network = newNetwork(w, milliseconds(s.OneWayDelay))
	w.registry = newRegistry(w)
	for i, class := range s.Kinds {
		w.classIndex[class.Name] = i
		w.timeoutsMs = append(w.timeoutsMs, milliseconds(class.ClientTimeout))
		w.targetsMs = append(w.targetsMs, milliseconds(class.ResponseTarget))
		w.attemptDeadlines = append(w.attemptDeadlines, &deadlineQueue{w: w})
		w.clientDeadlines = append(w.clientDeadlines, &deadlineQueue{w: w})
	}
	if w.Decide == nil {
		w.Decide = func(seed int64, settings map[string]any) controller.Decider { return planner.New(seed, settings) }
	}
	if s.Record {
		w.fingerprint = record.Fingerprint(w.Decide)
	}
	return w
}

// trueLoad returns the number of requests in flight at an endpoint divided by its cores, and whether the endpoint
// answers requests. Only the oracle baseline uses it, since a real pilot cannot observe these values.
func (w *World) trueLoad(name string) (busy float64, runs bool) {
	endpoint := w.endpointByName[name]
	if endpoint == nil || endpoint.process == nil || endpoint.process.collapsed || endpoint.fault.Hang {
		return 0, false
	}
	return float64(endpoint.process.inFlight) / float64(endpoint.Cores), true
}

// logEvent adds an event with the current time to the digest, and to the audit and the event log if they are
// enabled.
func (w *World) logEvent(who string, e eventlog.Event) {
	e.At = w.now
	e.Who = who
	w.digest.add(&e)
	if w.Audited {
		w.auditor.Add(e)
	}
	if w.KeepEvents {
		w.result.Events = append(w.result.Events, e)
	}
}

// logLine passes a log line of a pilot's planner to Play.Log.
func (w *World) logLine(pilot *emulatedPilot, text string) {
	if w.Log != nil {
		w.Log(w.now, pilot.location.name, text)
	}
}

// countMalformed counts a malformed input to a pilot by its reason.
func (w *World) countMalformed(what string) { w.result.Malformed[what]++ }

// fail makes the run end with an error at the next step.
func (w *World) fail(err error) { w.err = errors.Join(w.err, err) }

// startAll starts the endpoints, the registry, the pilots and the proxies, in this order.
func (w *World) startAll() {
	w.startEndpoints()
	if !w.Scenario.ListEmpty {
		w.listAll()
	}
	w.AdvanceTo(0)
	w.assignSlices()
	if !w.WithoutPilots {
		w.startPilots()
	}
	w.startProxies()
}

// startEndpoints starts the endpoints of all groups of the scenario, already warmed up.
func (w *World) startEndpoints() {
	for group, g := range w.Scenario.Groups {
		for i := range g.Count {
			w.addEndpoint(fmt.Sprintf("%s-%s-%d", g.Zone, g.Machine, i), group, false)
		}
	}
}

// startPilots creates all pilots before it starts the first, because a pilot may send gossip to the others as soon
// as it starts.
func (w *World) startPilots() {
	for rank, zone := range w.Scenario.PilotZones {
		pilot := &emulatedPilot{
			w:        w,
			location: location{name: fmt.Sprintf("pilot-%d", rank), zone: zone},
			rank:     rank,
			streams:  map[*stream]bool{},
		}
		pilot.settings = w.pilotSettings(pilot)
		w.pilots = append(w.pilots, pilot)
	}
	for _, pilot := range w.pilots {
		pilot.start()
	}
}

// pilotSettings returns the default pilot settings with the values that the scenario sets.
func (w *World) pilotSettings(pilot *emulatedPilot) config.Pilot {
	settings := config.Defaults()
	settings.Common = w.Scenario.Common
	settings.Name = pilot.location.name
	settings.Zone = pilot.location.zone
	settings.Rank = pilot.rank
	settings.Seed = w.Scenario.Seed + pilot.rank
	settings.IntakeLinesPerS = w.Scenario.IntakeLinesPerS
	settings.IntakeStanding = w.Scenario.IntakeStanding
	settings.MaxStreams = max(settings.MaxStreams, 2*len(w.Scenario.ProxyZones))
	return settings
}

// startProxies starts one proxy for each entry of the scenario's ProxyZones.
func (w *World) startProxies() {
	s := w.Scenario
	inZone := map[string]int{}
	for number, zone := range s.ProxyZones {
		name := fmt.Sprintf("proxy-%s-%d", zone, inZone[zone])
		inZone[zone]++
		proxy := &emulatedProxy{
			w:         w,
			location:  location{name: name, zone: zone},
			rate:      s.Rate / float64(len(s.ProxyZones)),
			homePilot: number,
			seed:      uint64(s.Seed*1000 + number),
			policy: routing.Policy{
				Classes:    s.ClassNames(),
				Algorithm:  s.Pick,
				EjectAfter: s.EjectsAfter,
				EjectionMs: milliseconds(s.EjectFor),
				RetryMode:  s.RetryHow,
			},
			reportFactor:         1,
			honorsReportRequests: !slices.Contains(s.IgnoresPace, name),
		}
		w.proxies = append(w.proxies, proxy)
		proxy.start()
	}
}
