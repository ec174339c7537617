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
	Scenario *scenario.Scenario
	Decide   func(seed int64, terms map[string]any) controller.Decider // nil: the module
	Bare     bool                                                      // no pilots: standing tables only
	Talk     bool                                                      // pilots may tell each other
	Keep     bool                                                      // all events are kept in the outcome
	Log      func(atMs float64, pilot, text string)                    // the module's lines; nil: nobody
	Trace    *Tracer                                                   // nil: none; it is for one run
	Audited  bool                                                      // false: no audit, for speed
}

// Outcome is what a day left.
type Outcome struct {
	Report    *audit.Report
	Events    []eventlog.Event
	Done      uint64 // events of the clock
	Reqs      uint64
	Tries     uint64
	MostLines int // in any pilot's channel
	Crowded   int // messages to one proxy within the span
	Lines     int // sent by all pilots
	Starts    map[string][]Start
	PilotMs   float64                 // real time of the pilots' turns
	TookMs    float64                 // real time of all
	Latency   *hdrhistogram.Histogram // µs, of reqs that were done
	Load      map[string]float64      // busy part of each endpoint's cores over the day
	ZoneOf    map[string]string       // of endpoints
	Malformed map[string]int
	Digest    uint64 // of all events: the same for the same day and program
}

// World is a day under way.
type World struct {
	Play
	Clock
	rnd      *rand.Rand
	ways     *ways
	list     *source
	machines []*machine
	byName   map[string]*machine
	entries  map[string]wire.Entry // as they truly are
	owners   []string
	proxies  []*plain
	seats    []*seat
	kind     map[string]int
	limits   []float64
	waits    []*deadlines // of tries, by kind
	patience []*deadlines // of clients
	targets  []float64
	slowDial map[string]float64

	redial, apply, period, firstWait, seenWithin float64

	auditor     *audit.Auditor
	sum         digest
	out         *Outcome
	Tries       uint64
	PilotMs     float64
	fingerprint string
	err         error
}

// stopwatch returns how much real time has passed since, in ms.
func stopwatch() func() float64 {
	start := time.Now()
	return func() float64 { return float64(time.Since(start)) / float64(time.Millisecond) }
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Run plays the day to its end, or until ctx ends.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	w := newWorld(p)
	took := stopwatch()
	w.begin()
	w.clients()
	for _, t := range p.Scenario.Faults {
		w.At(ms(t.At), func() {
			w.note("rehearsal", eventlog.Event{What: eventlog.Note, Text: t.String()})
			w.strike(t)
		})
	}
	end := ms(p.Scenario.Length)
	longest := slices.Max(w.limits)
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
	w := &World{Play: p, rnd: rand.New(rand.NewPCG(uint64(d.Seed), 5)), byName: map[string]*machine{},
		entries: map[string]wire.Entry{}, kind: map[string]int{}, slowDial: map[string]float64{}, redial: ms(d.Redial), apply: ms(d.Apply),
		period: ms(d.Period), firstWait: d.FirstWait, seenWithin: ms(d.DrainGrace) / 2}
	w.out = &Outcome{Latency: hdrhistogram.New(1, 600_000_000, 3), Load: map[string]float64{}, ZoneOf: map[string]string{}, Malformed: map[string]int{},
		Starts: map[string][]Start{}}
	w.ways = &ways{w: w, zones: map[string]*weather{}, dumb: map[string]bool{}, near: ms(d.Way)}
	w.list = &source{w: w, place: place{name: "list"}, entries: map[string]wire.Entry{}, slices: map[int]wire.Slices{},
		follows: map[*seat]*pilotRun{}, silentMs: 2000}
	w.auditor = audit.New(&d.Common)
	for i, k := range d.Kinds {
		w.kind[k.Name] = i
		w.waits, w.patience = append(w.waits, &deadlines{w: w}), append(w.patience, &deadlines{w: w})
		w.limits, w.targets = append(w.limits, ms(k.ClientTimeout)), append(w.targets, ms(k.ResponseTarget))
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

// truth tells how busy an endpoint truly is, as a part of its cores, and whether it answers at all.
func (w *World) truth(name string) (busy float64, runs bool) {
	m := w.byName[name]
	if m == nil || m.run == nil || m.run.fallen || m.mood.Hang {
		return 0, false
	}
	return float64(m.run.inHand) / float64(m.Cores), true
}

// note adds an event to the trails.
func (w *World) note(who string, e eventlog.Event) {
	e.At, e.Who = w.now, who
	w.sum.add(&e)
	if w.Audited {
		w.auditor.Add(e)
	}
	if w.Keep {
		w.out.Events = append(w.out.Events, e)
	}
}

func (w *World) say(s *seat, text string) {
	if w.Log != nil {
		w.Log(w.now, s.place.name, text)
	}
}

func (w *World) odd(what string, _ []string) { w.out.Malformed[what]++ }

func (w *World) fail(err error) { w.err = errors.Join(w.err, err) }

// begin starts endpoints, list, pilots and proxies, in this order.
func (w *World) begin() {
	d := w.Scenario
	for gi, g := range d.Groups {
		for i := range g.Count {
			w.addMachine(fmt.Sprintf("%s-%s-%d", g.Zone, g.Machine, i), gi, false)
		}
	}
	if !d.ListEmpty {
		w.listAll()
	}
	w.Until(0)
	w.dealSlices()
	if !w.Bare {
		for i, z := range d.PilotZones {
			s := &seat{w: w, place: place{fmt.Sprintf("pilot-%d", i), z}, rank: i, streams: map[*stream]bool{}}
			s.terms = w.pilotTerms(s)
			w.seats = append(w.seats, s)
		}
		for _, s := range w.seats {
			s.start()
		}
	}
	counts := map[string]int{}
	for i, z := range d.ProxyZones {
		p := &plain{w: w, place: place{fmt.Sprintf("proxy-%s-%d", z, counts[z]), z}, rate: d.Rate / float64(len(d.ProxyZones)),
			home: i, seed: uint64(d.Seed*1000 + i), reports: 1, heed: true,
			habits: routing.Policy{Classes: d.ClassNames(), Algorithm: d.Pick, EjectAfter: d.EjectsAfter, EjectionMs: ms(d.EjectFor),
				RetryMode: d.RetryHow}}
		p.heed = !slices.Contains(d.Heedless, p.place.name)
		counts[z]++
		w.proxies = append(w.proxies, p)
		p.start()
	}
}

func (w *World) pilotTerms(s *seat) config.Pilot {
	t := config.Defaults()
	t.Common, t.Name, t.Zone, t.Rank, t.Seed = w.Scenario.Common, s.place.name, s.place.zone, s.rank, w.Scenario.Seed+s.rank
	t.IntakeLinesPerS, t.IntakeStanding = w.Scenario.IntakeLinesPerS, w.Scenario.IntakeStanding
	t.MaxStreams = max(t.MaxStreams, 2*len(w.Scenario.ProxyZones))
	return t
}

func (w *World) addMachine(name string, group int, cold bool) *machine {
	g := w.Scenario.Groups[group]
	speed := g.Speed * math.Exp(g.Spread*w.rnd.NormFloat64())
	effects, dedup := map[string]bool{}, map[string]bool{}
	for _, k := range w.Scenario.Kinds {
		effects[k.Name], dedup[k.Name] = k.Repeats != "replayable", k.Repeats == "uniqued"
	}
	m := &machine{w: w, place: place{name, g.Zone}, sharing: g.Discipline == "sharing", thrash: g.Thrash, ledger: map[uint64]bool{},
		Model: endpoint.Model{Name: name, Zone: g.Zone, Machine: g.Machine, Cores: g.Cores, Speed: speed, QueueLimit: g.Queue, MaxConnections: g.Conns,
			HandshakeMs: ms(g.Handshake), ReportEvery: 400 * time.Millisecond, ReportLag: 200 * time.Millisecond, ReportNoise: w.Scenario.NoisyReports,
			WarmUp: w.Scenario.Cold, WarmUpFrom: w.Scenario.ColdFrom, OverloadMultiple: w.Scenario.FallMultiple, OverloadWindow: w.Scenario.Fall, RetryAfterMs: 200,
			Effects: effects, Deduplicated: dedup}}
	m.rnd = rand.New(rand.NewPCG(uint64(w.Scenario.Seed*7919+len(w.machines)), 11))
	w.auditor.Place(name, name)
	w.machines, w.byName[name] = append(w.machines, m), m
	e := wire.Entry{Endpoint: name, Zone: g.Zone, Machine: g.Machine, Weight: float64(g.Cores) * g.Speed}
	if cold {
		e.Started = w.list.clock()
	}
	w.entries[name] = e
	m.start(cold)
	return m
}

func (w *World) listAll() {
	var all []wire.Entry
	for _, m := range w.machines {
		all = append(all, w.entries[m.Name])
	}
	w.list.put(0, all...)
}

// tell changes an endpoint's entry and has the list say so after a while.
func (w *World) tell(name string, after float64, change func(*wire.Entry)) {
	e := w.entries[name]
	change(&e)
	w.entries[name] = e
	w.list.put(after, e)
}

// standing draws a proxy's table at its start: from the list, in its zone if three are there.
func (w *World) standing(zone string) []string {
	var near, all []string
	for _, m := range w.machines {
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
		j := i + w.rnd.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}

// reach lists the pilots that a proxy may dial, its home first.
func (w *World) reach(p *plain) []*seat {
	if p.unable || len(w.seats) == 0 {
		return nil
	}
	home := p.home % len(w.seats)
	if w.Scenario.ByZone {
		if i := slices.IndexFunc(w.seats, func(s *seat) bool { return s.place.zone == p.place.zone }); i >= 0 {
			home = i
		}
	}
	return append(slices.Clone(w.seats[home:]), w.seats[:home]...)
}

// streamsOf lists a pilot's streams by proxy.
func (w *World) streamsOf(s *seat) (list []*stream) {
	for _, p := range w.proxies {
		if p.life != nil && p.life.stream != nil && s.streams[p.life.stream] {
			list = append(list, p.life.stream)
		}
	}
	return list
}

// inOrder lists tries by req.
func (w *World) inOrder(tries map[*try]bool) []*try {
	list := slices.Collect(maps.Keys(tries))
	slices.SortFunc(list, func(a, b *try) int {
		if a.req.req.Name != b.req.req.Name {
			return map[bool]int{true: -1, false: 1}[a.req.req.Name < b.req.req.Name]
		}
		return map[bool]int{true: -1, false: 1}[a.start < b.start]
	})
	return list
}

// clients ask reqs at their times, one drawn after another.
func (w *World) clients() {
	load := loadgen.FromScenario(w.Scenario)
	source := loadgen.NewSource(load)
	name := uint64(0)
	var next func()
	next = func() {
		a, more := source.Next()
		if !more {
			return
		}
		w.At(ms(a.At), func() {
			name++
			w.ask(name, a, &load.Classes[a.Class], load.Retries, ms(load.Backoff))
			next()
		})
	}
	next()
}

// ask takes a client's req through its retries.
func (w *World) ask(name uint64, a loadgen.Request, k *loadgen.RequestClass, retries int, backoff float64) {
	w.out.Reqs++
	start, until := w.now, w.now+ms(k.Timeout)
	w.note("clients", eventlog.Event{What: eventlog.Asked, Kind: k.Name, Req: name})
	c := &asking{w: w, name: name, a: a, k: k, start: start, until: until, retries: retries, backoff: backoff}
	w.patience[a.Class].add(until, c)
	c.try()
}

// asking is a client's req under way.
type asking struct {
	w            *World
	name         uint64
	a            loadgen.Request
	k            *loadgen.RequestClass
	start, until float64
	tried        int
	retries      int
	backoff      float64
	over         bool
}

func (c *asking) isOver() bool { return c.over }

// expire ends a req whose client has lost its patience.
func (c *asking) expire() { c.end("errored") }

func (c *asking) end(outcome string) {
	if c.over {
		return
	}
	c.over = true
	took := c.w.now - c.start
	if outcome == "done" {
		_ = c.w.out.Latency.RecordValue(max(1, int64(took*1000))) // within its range by the client timeout
	}
	c.w.note("clients", eventlog.Event{What: eventlog.Answered, Kind: c.k.Name, Req: c.name, Value: took, Text: outcome})
}

func (c *asking) try() {
	if c.over {
		return
	}
	req := &wire.Req{Name: c.name, Kind: c.k.Name, Key: c.a.Key, From: "client", WorkMs: c.a.WorkMs}
	c.w.proxies[c.a.Proxy].handle(req, c.until-c.w.now, c.back)
}

// back takes in a proxy's answer; nil is one that does not run, and takes nothing.
func (c *asking) back(ans *wire.Answer) {
	never := ans == nil || ans.Outcome == wire.Denied
	switch {
	case ans != nil && ans.Outcome == wire.Fine:
		c.end("done")
		return
	case c.tried >= c.retries || !never && !c.k.Replayable:
		c.end(map[bool]string{true: "denied", false: "errored"}[never])
		return
	}
	wait := c.backoff
	if ans != nil {
		wait = max(wait, ans.ComeBackMs)
	}
	c.tried++
	c.w.After(wait, c.try)
}

// pilotStopped adds up what a pilot's process counted.
func (w *World) pilotStopped(r *pilotRun) {
	c := r.core.Channel
	w.out.MostLines, w.out.Crowded = max(w.out.MostLines, c.MaxLines), max(w.out.Crowded, c.MaxMessages)
	w.out.Lines += c.Sent
}

func (w *World) outcome(tookMs float64) *Outcome {
	for _, s := range w.seats {
		if s.run != nil {
			w.pilotStopped(s.run)
		}
		w.out.Starts[s.place.name] = s.Starts
	}
	for _, m := range w.machines {
		if w.out.ZoneOf[m.Name] = m.Zone; m.run != nil {
			w.out.Load[m.Name] = m.run.busy / max(1, w.now-m.run.since) / float64(m.Cores)
		}
	}
	o := w.out
	o.Report, o.Done, o.Tries, o.PilotMs, o.TookMs, o.Digest = w.auditor.Report(), w.Events, w.Tries, w.PilotMs, tookMs, w.sum.h
	return o
}

// digest mixes what tells events apart.
type digest struct{ h uint64 }

func (d *digest) add(e *eventlog.Event) {
	h := d.h
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
	d.h = h
}
