package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigousher/internal/audit"
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// World is a day under way.
type World struct {
	Play
	Clock
	random           *rand.Rand
	network          *network
	registry         *registry
	endpoints        []*emulatedEndpoint
	endpointByName   map[string]*emulatedEndpoint
	entries          map[string]wire.Entry // as they truly are
	sliceOwners      []string
	proxies          []*emulatedProxy
	pilots           []*emulatedPilot
	classIndex       map[string]int
	timeoutsMs       []float64
	attemptDeadlines []*deadlineQueue // of tries, by kind
	clientDeadlines  []*deadlineQueue // of clients
	targetsMs        []float64
	dialDelayMs      map[string]float64

	redialMs, applyMs, reportPeriodMs, firstWaitFactor, muteLimitMs float64

	auditor     *audit.Auditor
	digest      eventDigest
	result      *Outcome
	Attempts    uint64
	PilotMs     float64
	fingerprint string
	err         error
}

func newWorld(p Play) *World {
	d := p.Scenario
	w := &World{Play: p, random: rand.New(rand.NewPCG(uint64(d.Seed), 5)), endpointByName: map[string]*emulatedEndpoint{},
		entries: map[string]wire.Entry{}, classIndex: map[string]int{}, dialDelayMs: map[string]float64{}, redialMs: milliseconds(d.Redial), applyMs: milliseconds(d.Apply),
		reportPeriodMs: milliseconds(d.Period), firstWaitFactor: d.FirstWait, muteLimitMs: milliseconds(d.DrainGrace) / 2}
	w.result = &Outcome{Latency: hdrhistogram.New(1, 600_000_000, 3), Load: map[string]float64{}, ZoneOf: map[string]string{}, Malformed: map[string]int{},
		Starts: map[string][]Start{}}
	w.network = &network{w: w, zones: map[string]*zoneLink{}, blackholed: map[string]bool{}, oneWayMs: milliseconds(d.Way)}
	w.registry = &registry{w: w, place: place{name: "list"}, entries: map[string]wire.Entry{}, slices: map[int]wire.Slices{},
		watchers: map[*emulatedPilot]*pilotProcess{}, silentMs: 2000}
	w.auditor = audit.New(&d.Common)
	for i, k := range d.Kinds {
		w.classIndex[k.Name] = i
		w.attemptDeadlines, w.clientDeadlines = append(w.attemptDeadlines, &deadlineQueue{w: w}), append(w.clientDeadlines, &deadlineQueue{w: w})
		w.timeoutsMs, w.targetsMs = append(w.timeoutsMs, milliseconds(k.ClientTimeout)), append(w.targetsMs, milliseconds(k.ResponseTarget))
	}
	if w.Decide == nil {
		w.Decide = func(seed int64, t map[string]any) controller.Decider { return planner.New(seed, t) }
	}
	if d.Record {
		w.fingerprint = record.Fingerprint(w.Decide)
	}
	return w
}

func (w *World) decide(seed int64, t map[string]any) controller.Decider {
	d := w.Decide(seed, t)
	return d
}

// trueLoad tells how busy an endpoint truly is, as a part of its cores, and whether it answers at all.
func (w *World) trueLoad(name string) (busy float64, runs bool) {
	m := w.endpointByName[name]
	if m == nil || m.process == nil || m.process.collapsed || m.fault.Hang {
		return 0, false
	}
	return float64(m.process.inFlight) / float64(m.Cores), true
}

// logEvent adds an event to the trails.
func (w *World) logEvent(who string, e eventlog.Event) {
	e.At, e.Who = w.now, who
	w.digest.add(&e)
	if w.Audited {
		w.auditor.Add(e)
	}
	if w.KeepEvents {
		w.result.Events = append(w.result.Events, e)
	}
}

func (w *World) logLine(s *emulatedPilot, text string) {
	if w.Log != nil {
		w.Log(w.now, s.place.name, text)
	}
}

func (w *World) countMalformed(what string, _ []string) { w.result.Malformed[what]++ }

func (w *World) fail(err error) { w.err = errors.Join(w.err, err) }

// startAll starts endpoints, list, pilots and proxies, in this order.
func (w *World) startAll() {
	d := w.Scenario
	for gi, g := range d.Groups {
		for i := range g.Count {
			w.addEndpoint(fmt.Sprintf("%s-%s-%d", g.Zone, g.Machine, i), gi, false)
		}
	}
	if !d.ListEmpty {
		w.listAll()
	}
	w.Until(0)
	w.assignSlices()
	if !w.WithoutPilots {
		for i, z := range d.PilotZones {
			s := &emulatedPilot{w: w, place: place{fmt.Sprintf("pilot-%d", i), z}, rank: i, streams: map[*stream]bool{}}
			s.settings = w.pilotSettings(s)
			w.pilots = append(w.pilots, s)
		}
		for _, s := range w.pilots {
			s.start()
		}
	}
	counts := map[string]int{}
	for i, z := range d.ProxyZones {
		p := &emulatedProxy{w: w, place: place{fmt.Sprintf("proxy-%s-%d", z, counts[z]), z}, rate: d.Rate / float64(len(d.ProxyZones)),
			home: i, seed: uint64(d.Seed*1000 + i), reportFactor: 1, heedsPace: true,
			policy: routing.Policy{Kinds: d.ClassNames(), Pick: d.Pick, EjectsAfter: d.EjectsAfter, EjectMs: milliseconds(d.EjectFor),
				TryAgain: d.RetryHow}}
		p.heedsPace = !slices.Contains(d.Heedless, p.place.name)
		counts[z]++
		w.proxies = append(w.proxies, p)
		p.start()
	}
}

func (w *World) pilotSettings(s *emulatedPilot) config.Pilot {
	t := config.Defaults()
	t.Common, t.Name, t.Zone, t.Rank, t.Seed = w.Scenario.Common, s.place.name, s.place.zone, s.rank, w.Scenario.Seed+s.rank
	t.IntakeLinesPerS, t.IntakeStanding = w.Scenario.IntakeLinesPerS, w.Scenario.IntakeStanding
	t.MaxStreams = max(t.MaxStreams, 2*len(w.Scenario.ProxyZones))
	return t
}
