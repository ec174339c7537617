package controller

import (
	"maps"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// gate stands between the streams and the loop: reports are taken in where they are read, by any goroutine, and told
// to the loop once a period. What becomes of them the intake module decides; the gate knows names and holds the lock.
type gate struct {
	mu        sync.Mutex
	in        *telemetry.Aggregator[[]wire.Figure]
	proxies   map[Stream]int
	streams   map[int]Stream
	endpoints map[string]int
	kinds     map[string]int
	report    telemetry.Report[[]wire.Figure]
	periodMs  float64
	lastMs    float64
	slices    map[int]map[int]*planner.SliceStats // in this pilot's charge, by slice and kind: what came since the last telling
	unknown   map[string]int                      // what was named that nobody knows, since the last telling
	ages      *hdrhistogram.Histogram
}

// oldest is the greatest age that the histogram tells apart, in ms.
const oldest = 600_000

func newGate(t telemetry.Options, kinds []string) *gate {
	g := &gate{in: telemetry.New[[]wire.Figure](t), proxies: map[Stream]int{}, streams: map[int]Stream{},
		endpoints: map[string]int{}, kinds: map[string]int{}, periodMs: t.PeriodMs, slices: map[int]map[int]*planner.SliceStats{}, unknown: map[string]int{},
		ages: hdrhistogram.New(1, oldest, 2)}
	for k, name := range kinds {
		g.kinds[name] = k
	}
	return g
}

func (g *gate) due() float64 { return g.lastMs + g.periodMs }

func (g *gate) join(nowMs float64, s *session) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.in.Join(nowMs, s.proxy, s.zone) {
		return false
	}
	g.proxies[s.stream], g.streams[s.proxy] = s.proxy, s.stream
	return true
}

func (g *gate) leave(s *session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.in.Leave(s.proxy)
	delete(g.proxies, s.stream)
	delete(g.streams, s.proxy)
}

// list tells of an endpoint as the module hears of it.
func (g *gate) list(nowMs float64, name string, e planner.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoints[name] = e.Endpoint
	g.in.UpdateEndpoint(nowMs, e.Endpoint, e.Phase, e.Started)
}

// gone tells that all endpoints but some are no longer listed.
func (g *gate) gone(nowMs float64, named map[int]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.endpoints {
		if !named[i] {
			g.in.UpdateEndpoint(nowMs, i, planner.Gone, 0)
		}
	}
}

// take takes one report in.
func (g *gate) take(nowMs float64, from Stream, sums *wire.Sums) {
	g.mu.Lock()
	defer g.mu.Unlock()
	proxy, joined := g.proxies[from]
	if !joined {
		proxy = -1 // the module counts it
	}
	r := &g.report
	r.Sender, r.Seq, r.AtMs, r.SpanMs = proxy, sums.Seq, sums.AtMs, sums.SpanMs
	r.Lines, r.Kinds = r.Lines[:0], r.Kinds[:0]
	for i := range sums.Met {
		m := &sums.Met[i]
		e, known := g.endpoints[m.Endpoint]
		if !known {
			g.unknown["sums of an unknown endpoint"]++
			e = -1
		}
		r.Lines = append(r.Lines, telemetry.Line[[]wire.Figure]{Endpoint: e, Tries: m.Tries, Failed: m.Failed,
			MeanMs: m.MeanMs, Load: m.Load, HasLoad: len(m.Load) > 0})
	}
	for _, d := range sums.Demand {
		k, known := g.kinds[d.Kind]
		if !known {
			g.unknown["demand of an unknown req kind"]++
			continue
		}
		r.Kinds = append(r.Kinds, telemetry.ClassLine{Class: k, Requests: d.Reqs, Unanswered: d.Unanswered})
	}
	g.in.Add(nowMs, r)
	if joined {
		g.sliceLoad(sums)
	}
}

// slice notes that a slice is in this pilot's charge or no longer.
func (g *gate) slice(number int, given bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if delete(g.slices, number); given {
		g.slices[number] = map[int]*planner.SliceStats{}
	}
}

// sliceLoad adds up demand for the slices in this pilot's charge; it is bounded by these and the kinds.
func (g *gate) sliceLoad(sums *wire.Sums) {
	for _, x := range sums.Slices {
		k, known := g.kinds[x.Kind]
		of := g.slices[x.Slice]
		if !known || of == nil || x.Unanswered > x.Reqs {
			g.unknown["load of an unknown slice or req kind"]++
			continue
		}
		if of[k] == nil {
			of[k] = &planner.SliceStats{Slice: x.Slice, Class: k}
		}
		of[k].Requests, of[k].Unanswered = of[k].Requests+x.Reqs, of[k].Unanswered+x.Unanswered
	}
}

// tellSlices passes on what came for slices.
func (g *gate) tellSlices(notes []planner.Event, spanMs float64) []planner.Event {
	for _, number := range slices.Sorted(maps.Keys(g.slices)) {
		of := g.slices[number]
		for _, k := range slices.Sorted(maps.Keys(of)) {
			of[k].SpanMs = spanMs
			notes = append(notes, *of[k])
		}
		clear(of)
	}
	return notes
}

// asked is what a stream is to be asked for.
type asked struct {
	stream Stream
	pace   *wire.Pace
}

// tell passes on what a period may, and what streams are to be asked for.
func (g *gate) tell(notes []planner.Event, nowMs float64, m *Metrics) ([]planner.Event, []asked, map[string]int) {
	if nowMs < g.due() {
		return notes, nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	span := nowMs - g.lastMs
	told := g.in.Flush(nowMs, span)
	g.lastMs = nowMs
	for i := range told.Mets {
		notes = append(notes, told.Mets[i].Stats(load(told.Mets[i].Load, func(wire.Figure) { g.unknown[oddFigure]++ })))
	}
	for _, d := range told.Demands {
		notes = append(notes, d)
	}
	notes = g.tellSlices(notes, span)
	for _, a := range told.Ages {
		_ = g.ages.RecordValue(int64(min(max(a, 0), oldest))) // within its range by the line itself
	}
	var asks []asked
	for _, a := range g.in.Rebalance(nowMs) {
		asks = append(asks, asked{g.streams[a.Sender], &wire.Pace{PeriodMs: int(a.PeriodMs), Lines: a.Lines, Changes: a.Changes}})
	}
	m.intake(g.in.Counts[:], told.Left, g.ages)
	unknown := g.unknown
	g.unknown = map[string]int{}
	return notes, asks, unknown
}

// state returns how many sums wait, the most that ever did, and the lines by what became of them.
func (g *gate) state() (waiting, most int, counts map[string]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts = map[string]uint64{}
	for i, r := range telemetry.Reasons() {
		if g.in.Counts[i] > 0 {
			counts[r.String()] = g.in.Counts[i]
		}
	}
	return g.in.Pending(), g.in.MostOrder, counts
}
