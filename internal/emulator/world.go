package emulator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"indigousher/internal/audit"
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Play is one emulated day.
type Play struct {
	Scenario      *scenario.Scenario
	Decide        func(seed int64, terms map[string]any) controller.Decider // nil: the module
	WithoutPilots bool                                                      // no pilots: standing tables only
	Gossip        bool                                                      // pilots may tell each other
	KeepEvents    bool                                                      // all events are kept in the outcome
	Log           func(atMs float64, pilot, text string)                    // the module's lines; nil: nobody
	Trace         *Tracer                                                   // nil: none; it is for one run
	Audited       bool                                                      // false: no audit, for speed
}

// Outcome is what a day left.
type Outcome struct {
	Report           *audit.Report
	Events           []eventlog.Event
	ClockEvents      uint64 // events of the clock
	Requests         uint64
	Attempts         uint64
	MaxQueueLines    int // in any pilot's channel
	MaxProxyMessages int // messages to one proxy within the span
	LinesSent        int // sent by all pilots
	Starts           map[string][]Start
	PilotMs          float64                 // real time of the pilots' turns
	ElapsedMs        float64                 // real time of all
	Latency          *hdrhistogram.Histogram // µs, of reqs that were done
	Load             map[string]float64      // busy part of each endpoint's cores over the day
	ZoneOf           map[string]string       // of endpoints
	Malformed        map[string]int
	Digest           uint64 // of all events: the same for the same day and program
}

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

// stopwatch returns how much real time has passed since, in ms.
func stopwatch() func() float64 {
	start := time.Now()
	return func() float64 { return float64(time.Since(start)) / float64(time.Millisecond) }
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Run plays the day to its end, or until ctx ends.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	w := newWorld(p)
	took := stopwatch()
	w.startAll()
	w.scheduleClients()
	for _, t := range p.Scenario.Faults {
		w.At(milliseconds(t.At), func() {
			w.logEvent("rehearsal", eventlog.Event{What: eventlog.Note, Text: t.String()})
			w.playFault(t)
		})
	}
	end := milliseconds(p.Scenario.Length)
	longest := slices.Max(w.timeoutsMs)
	for at := 0.0; at < end+2*longest; {
		at = min(at+100, end+2*longest)
		w.Until(at)
		if w.err != nil {
			return nil, w.err
		}
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("the day was stopped: %w", err)
		}
	}
	return w.outcome(took()), nil
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
	if m == nil || m.process == nil || m.process.fallen || m.fault.Hang {
		return 0, false
	}
	return float64(m.process.inHand) / float64(m.Cores), true
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
			s.settings = w.pilotTerms(s)
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

func (w *World) pilotTerms(s *emulatedPilot) config.Pilot {
	t := config.Defaults()
	t.Common, t.Name, t.Zone, t.Rank, t.Seed = w.Scenario.Common, s.place.name, s.place.zone, s.rank, w.Scenario.Seed+s.rank
	t.IntakeLinesPerS, t.IntakeStanding = w.Scenario.IntakeLinesPerS, w.Scenario.IntakeStanding
	t.MaxStreams = max(t.MaxStreams, 2*len(w.Scenario.ProxyZones))
	return t
}

func (w *World) addEndpoint(name string, group int, cold bool) *emulatedEndpoint {
	g := w.Scenario.Groups[group]
	speed := g.Speed * math.Exp(g.Spread*w.random.NormFloat64())
	effects, dedup := map[string]bool{}, map[string]bool{}
	for _, k := range w.Scenario.Kinds {
		effects[k.Name], dedup[k.Name] = k.Repeats != "replayable", k.Repeats == "uniqued"
	}
	m := &emulatedEndpoint{w: w, place: place{name, g.Zone}, sharing: g.Discipline == "sharing", thrash: g.Thrash, done: map[uint64]bool{},
		Model: endpoint.Model{Name: name, Zone: g.Zone, Machine: g.Machine, Cores: g.Cores, Speed: speed, Queue: g.Queue, Conns: g.Conns,
			HandshakeMs: milliseconds(g.Handshake), ReportEvery: 400 * time.Millisecond, ReportLag: 200 * time.Millisecond, Noise: w.Scenario.NoisyReports,
			Cold: w.Scenario.Cold, ColdFrom: w.Scenario.ColdFrom, FallMultiple: w.Scenario.FallMultiple, Fall: w.Scenario.Fall, ComeBackMs: 200,
			Effects: effects, Dedup: dedup}}
	m.random = rand.New(rand.NewPCG(uint64(w.Scenario.Seed*7919+len(w.endpoints)), 11))
	w.auditor.AddAddress(name, name)
	w.endpoints, w.endpointByName[name] = append(w.endpoints, m), m
	e := wire.Entry{Endpoint: name, Zone: g.Zone, Machine: g.Machine, Weight: float64(g.Cores) * g.Speed}
	if cold {
		e.Started = w.registry.clock()
	}
	w.entries[name] = e
	m.start(cold)
	return m
}

func (w *World) listAll() {
	var all []wire.Entry
	for _, m := range w.endpoints {
		all = append(all, w.entries[m.Name])
	}
	w.registry.update(0, all...)
}

// updateEntry changes an endpoint's entry and has the list say so after a while.
func (w *World) updateEntry(name string, after float64, change func(*wire.Entry)) {
	e := w.entries[name]
	change(&e)
	w.entries[name] = e
	w.registry.update(after, e)
}

// drawStaticTable draws a proxy's table at its start: from the list, in its zone if three are there.
func (w *World) drawStaticTable(zone string) []string {
	var near, all []string
	for _, m := range w.endpoints {
		if w.entries[m.Name].Phase == wire.PhaseReady {
			all = append(all, m.Name)
			if m.Zone == zone {
				near = append(near, m.Name)
			}
		}
	}
	if len(near) >= 3 {
		all = near
	}
	n := min(len(all), w.Scenario.Standing)
	for i := range n {
		j := i + w.random.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}

// reachablePilots lists the pilots that a proxy may dial, its home first.
func (w *World) reachablePilots(p *emulatedProxy) []*emulatedPilot {
	if p.unreachable || len(w.pilots) == 0 {
		return nil
	}
	home := p.home % len(w.pilots)
	if w.Scenario.ByZone {
		if i := slices.IndexFunc(w.pilots, func(s *emulatedPilot) bool { return s.place.zone == p.place.zone }); i >= 0 {
			home = i
		}
	}
	return append(slices.Clone(w.pilots[home:]), w.pilots[:home]...)
}

// streamsOf lists a pilot's streams by proxy.
func (w *World) streamsOf(s *emulatedPilot) (list []*stream) {
	for _, p := range w.proxies {
		if p.process != nil && p.process.stream != nil && s.streams[p.process.stream] {
			list = append(list, p.process.stream)
		}
	}
	return list
}

// sortedAttempts lists tries by req.
func (w *World) sortedAttempts(tries map[*attempt]bool) []*attempt {
	list := slices.Collect(maps.Keys(tries))
	slices.SortFunc(list, func(a, b *attempt) int {
		if a.request.req.Name != b.request.req.Name {
			return map[bool]int{true: -1, false: 1}[a.request.req.Name < b.request.req.Name]
		}
		return map[bool]int{true: -1, false: 1}[a.start < b.start]
	})
	return list
}

// scheduleClients ask reqs at their times, one drawn after another.
func (w *World) scheduleClients() {
	load := loadgen.Of(w.Scenario)
	source := loadgen.NewSource(load)
	name := uint64(0)
	var next func()
	next = func() {
		a, more := source.Next()
		if !more {
			return
		}
		w.At(milliseconds(a.At), func() {
			name++
			w.startRequest(name, a, &load.Kinds[a.Kind], load.Retries, milliseconds(load.Backoff))
			next()
		})
	}
	next()
}

// startRequest takes a client's req through its retries.
func (w *World) startRequest(name uint64, a loadgen.Request, k *loadgen.Kind, retries int, backoff float64) {
	w.result.Requests++
	start, until := w.now, w.now+milliseconds(k.Timeout)
	w.logEvent("clients", eventlog.Event{What: eventlog.Asked, Kind: k.Name, Req: name})
	c := &clientRequest{w: w, name: name, request: a, class: k, start: start, deadline: until, retries: retries, backoff: backoff}
	w.clientDeadlines[a.Kind].add(until, c)
	c.attempt()
}

// clientRequest is a client's req under way.
type clientRequest struct {
	w               *World
	name            uint64
	request         loadgen.Request
	class           *loadgen.Kind
	start, deadline float64
	attempts        int
	retries         int
	backoff         float64
	done            bool
}

func (c *clientRequest) isOver() bool { return c.done }

// expire ends a req whose client has lost its patience.
func (c *clientRequest) expire() { c.end("errored") }

func (c *clientRequest) end(outcome string) {
	if c.done {
		return
	}
	c.done = true
	took := c.w.now - c.start
	if outcome == "done" {
		_ = c.w.result.Latency.RecordValue(max(1, int64(took*1000))) // within its range by the client timeout
	}
	c.w.logEvent("clients", eventlog.Event{What: eventlog.Answered, Kind: c.class.Name, Req: c.name, Value: took, Text: outcome})
}

func (c *clientRequest) attempt() {
	if c.done {
		return
	}
	req := &wire.Req{Name: c.name, Kind: c.class.Name, Key: c.request.Key, From: "client", WorkMs: c.request.WorkMs}
	c.w.proxies[c.request.Proxy].handle(req, c.deadline-c.w.now, c.answered)
}

// answered takes in a proxy's answer; nil is one that does not run, and takes nothing.
func (c *clientRequest) answered(ans *wire.Answer) {
	never := ans == nil || ans.Outcome == wire.Denied
	switch {
	case ans != nil && ans.Outcome == wire.Fine:
		c.end("done")
		return
	case c.attempts >= c.retries || !never && !c.class.Replayable:
		c.end(map[bool]string{true: "denied", false: "errored"}[never])
		return
	}
	wait := c.backoff
	if ans != nil {
		wait = max(wait, ans.ComeBackMs)
	}
	c.attempts++
	c.w.After(wait, c.attempt)
}

// pilotStopped adds up what a pilot's process counted.
func (w *World) pilotStopped(r *pilotProcess) {
	c := r.core.Channel
	w.result.MaxQueueLines, w.result.MaxProxyMessages = max(w.result.MaxQueueLines, c.MaxLines), max(w.result.MaxProxyMessages, c.MaxMessages)
	w.result.LinesSent += c.Sent
}

func (w *World) outcome(tookMs float64) *Outcome {
	for _, s := range w.pilots {
		if s.process != nil {
			w.pilotStopped(s.process)
		}
		w.result.Starts[s.place.name] = s.Starts
	}
	for _, m := range w.endpoints {
		if w.result.ZoneOf[m.Name] = m.Zone; m.process != nil {
			w.result.Load[m.Name] = m.process.busyMs / max(1, w.now-m.process.since) / float64(m.Cores)
		}
	}
	o := w.result
	o.Report, o.ClockEvents, o.Attempts, o.PilotMs, o.ElapsedMs, o.Digest = w.auditor.Report(), w.Events, w.Attempts, w.PilotMs, tookMs, w.digest.hash
	return o
}

// eventDigest mixes what tells events apart.
type eventDigest struct{ hash uint64 }

func (d *eventDigest) add(e *eventlog.Event) {
	h := d.hash
	if h == 0 {
		h = 14695981039346656037
	}
	mix := func(v uint64) { h = (h ^ v) * 1099511628211 }
	mix(math.Float64bits(e.At))
	mix(e.Req)
	mix(uint64(e.N))
	mix(math.Float64bits(e.Value))
	mix(xxhash.Sum64String(string(e.What)))
	mix(xxhash.Sum64String(e.Who))
	mix(xxhash.Sum64String(e.Peer))
	d.hash = h
}
