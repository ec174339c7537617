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

// World holds everything that takes part in a run.
type World struct {
	Play
	Clock
	random *rand.Rand // draws in the order of events

	network        *network
	registry       *registry
	endpoints      []*emulatedEndpoint
	endpointByName map[string]*emulatedEndpoint
	entries        map[string]wire.Entry // endpoints as they truly are, whatever the registry says
	dialDelayMs    map[string]float64    // that a fault adds to new connections, by endpoint
	proxies        []*emulatedProxy
	pilots         []*emulatedPilot
	sliceOwners    []string // endpoints, by slice

	// By request class, in the order of the scenario.
	classIndex       map[string]int
	timeoutsMs       []float64 // of clients
	targetsMs        []float64 // latency objectives
	attemptDeadlines []*deadlineQueue
	clientDeadlines  []*deadlineQueue

	// Timing of proxies.
	redialMs        float64 // mean pause before a proxy dials a pilot again
	applyMs         float64 // that a proxy takes for each line of a message
	reportPeriodMs  float64
	firstWaitFactor float64 // how long a first attempt is waited for, in latency objectives
	muteLimitMs     float64 // for which a proxy may read nothing before its stream is ended

	auditor     *audit.Auditor
	digest      eventDigest
	result      *Outcome
	Attempts    uint64  // so far
	PilotMs     float64 // real time taken by pilots' turns so far
	fingerprint string  // of what decides; empty where pilots do not record
	err         error   // ends the run
}

// worldStream and endpointStream tell the random sequences of one seed apart.
const (
	worldStream    = 5
	endpointStream = 11
)

func newWorld(p Play) *World {
	s := p.Scenario
	w := &World{
		Play:            p,
		random:          rand.New(rand.NewPCG(uint64(s.Seed), worldStream)),
		endpointByName:  map[string]*emulatedEndpoint{},
		entries:         map[string]wire.Entry{},
		dialDelayMs:     map[string]float64{},
		classIndex:      map[string]int{},
		redialMs:        milliseconds(s.Redial),
		applyMs:         milliseconds(s.Apply),
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

// trueLoad returns the busy fraction of an endpoint's cores, and whether it answers at all: what no pilot can know.
func (w *World) trueLoad(name string) (busy float64, runs bool) {
	endpoint := w.endpointByName[name]
	if endpoint == nil || endpoint.process == nil || endpoint.process.collapsed || endpoint.fault.Hang {
		return 0, false
	}
	return float64(endpoint.process.inFlight) / float64(endpoint.Cores), true
}

// logEvent adds an event of the present moment to the event log.
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

// logLine hands on a line that a pilot's planner logged.
func (w *World) logLine(pilot *emulatedPilot, text string) {
	if w.Log != nil {
		w.Log(w.now, pilot.location.name, text)
	}
}

func (w *World) countMalformed(what string) { w.result.Malformed[what]++ }

// fail ends the run with an error at the next step.
func (w *World) fail(err error) { w.err = errors.Join(w.err, err) }

// startAll starts endpoints, registry, pilots and proxies, in this order.
func (w *World) startAll() {
	w.startEndpoints()
	if !w.Scenario.ListEmpty {
		w.listAll()
	}
	w.Until(0)
	w.assignSlices()
	if !w.WithoutPilots {
		w.startPilots()
	}
	w.startProxies()
}

func (w *World) startEndpoints() {
	for group, g := range w.Scenario.Groups {
		for i := range g.Count {
			w.addEndpoint(fmt.Sprintf("%s-%s-%d", g.Zone, g.Machine, i), group, false)
		}
	}
}

// startPilots starts the pilots once all are known: the first may send to the others at once.
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
