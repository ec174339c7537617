package pilot

import (
	"maps"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigousher/brain"
	"indigousher/intake"
	"indigousher/internal/wire"
)

// gate stands between the streams and the loop: reports are taken in where they are read, by any goroutine, and told
// to the loop once a period. What becomes of them the intake module decides; the gate knows names and holds the lock.
type reportGate struct {
	mu          sync.Mutex
	intake      *intake.Intake[[]wire.Figure]
	proxies     map[Stream]int
	streams     map[int]Stream
	endpoints   map[string]int
	kinds       map[string]int
	scratch     intake.Report[[]wire.Figure]
	periodMs    float64
	lastFlushMs float64
	slices      map[int]map[int]*brain.SliceDemand // in this pilot's charge, by slice and kind: what came since the last telling
	malformed   map[malformedReason]int            // since the last telling
	ages        *hdrhistogram.Histogram
}

// oldest is the greatest age that the histogram tells apart, in ms.
const maxAgeMs = 600_000

func newReportGate(t intake.Terms, kinds []string) *reportGate {
	g := &reportGate{intake: intake.New[[]wire.Figure](t), proxies: map[Stream]int{}, streams: map[int]Stream{},
		endpoints: map[string]int{}, kinds: map[string]int{}, periodMs: t.PeriodMs, slices: map[int]map[int]*brain.SliceDemand{}, malformed: map[malformedReason]int{},
		ages: hdrhistogram.New(1, maxAgeMs, 2)}
	for k, name := range kinds {
		g.kinds[name] = k
	}
	return g
}

func (g *reportGate) due() float64 { return g.lastFlushMs + g.periodMs }

func (g *reportGate) addProxy(nowMs float64, s *session) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.intake.Join(nowMs, s.proxy, s.zone) {
		return false
	}
	g.proxies[s.stream], g.streams[s.proxy] = s.proxy, s.stream
	return true
}

func (g *reportGate) removeProxy(s *session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.intake.Leave(s.proxy)
	delete(g.proxies, s.stream)
	delete(g.streams, s.proxy)
}

// list tells of an endpoint as the module hears of it.
func (g *reportGate) updateEndpoint(nowMs float64, name string, e brain.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoints[name] = e.Endpoint
	g.intake.List(nowMs, e.Endpoint, e.Phase, e.Started)
}

// gone tells that all endpoints but some are no longer listed.
func (g *reportGate) removeUnlisted(nowMs float64, named map[int]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.endpoints {
		if !named[i] {
			g.intake.List(nowMs, i, brain.Gone, 0)
		}
	}
}

// take takes one report in.
func (g *reportGate) accept(nowMs float64, from Stream, sums *wire.Sums) {
	g.mu.Lock()
	defer g.mu.Unlock()
	proxy, joined := g.proxies[from]
	if !joined {
		proxy = -1 // the module counts it
	}
	r := &g.scratch
	r.Sender, r.Seq, r.AtMs, r.SpanMs = proxy, sums.Seq, sums.AtMs, sums.SpanMs
	r.Lines, r.Kinds = r.Lines[:0], r.Kinds[:0]
	for i := range sums.Met {
		m := &sums.Met[i]
		e, known := g.endpoints[m.Endpoint]
		if !known {
			g.malformed[malformedReportEndpoint]++
			e = -1
		}
		r.Lines = append(r.Lines, intake.Line[[]wire.Figure]{Endpoint: e, Tries: m.Tries, Failed: m.Failed,
			MeanMs: m.MeanMs, Load: m.Load, HasLoad: len(m.Load) > 0})
	}
	for _, d := range sums.Demand {
		k, known := g.kinds[d.Kind]
		if !known {
			g.malformed[malformedReportKind]++
			continue
		}
		r.Kinds = append(r.Kinds, intake.KindLine{Kind: k, Reqs: d.Reqs, Unanswered: d.Unanswered})
	}
	g.intake.Take(nowMs, r)
	if joined {
		g.addSliceDemand(sums)
	}
}

// slice notes that a slice is in this pilot's charge or no longer.
func (g *reportGate) assignSlice(number int, given bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if delete(g.slices, number); given {
		g.slices[number] = map[int]*brain.SliceDemand{}
	}
}

// sliceLoad adds up demand for the slices in this pilot's charge; it is bounded by these and the kinds.
func (g *reportGate) addSliceDemand(sums *wire.Sums) {
	for _, x := range sums.Slices {
		k, known := g.kinds[x.Kind]
		of := g.slices[x.Slice]
		if !known || of == nil || x.Unanswered > x.Reqs {
			g.malformed[malformedReportSlice]++
			continue
		}
		if of[k] == nil {
			of[k] = &brain.SliceDemand{Slice: x.Slice, Kind: k}
		}
		of[k].Reqs, of[k].Unanswered = of[k].Reqs+x.Reqs, of[k].Unanswered+x.Unanswered
	}
}

// tellSlices passes on what came for slices.
func (g *reportGate) flushSlices(events []brain.Note, spanMs float64) []brain.Note {
	for _, number := range slices.Sorted(maps.Keys(g.slices)) {
		of := g.slices[number]
		for _, k := range slices.Sorted(maps.Keys(of)) {
			of[k].SpanMs = spanMs
			events = append(events, *of[k])
		}
		clear(of)
	}
	return events
}

// asked is what a stream is to be asked for.
type paceRequest struct {
	stream Stream
	pace   *wire.Pace
}

// tell passes on what a period may, and what streams are to be asked for.
func (g *reportGate) flush(events []brain.Note, nowMs float64, m *Meter) ([]brain.Note, []paceRequest, map[malformedReason]int) {
	if nowMs < g.due() {
		return events, nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	span := nowMs - g.lastFlushMs
	told := g.intake.Tell(nowMs, span)
	g.lastFlushMs = nowMs
	for i := range told.Mets {
		load, outOfRange := loadReport(told.Mets[i].Load)
		if len(outOfRange) > 0 {
			g.malformed[malformedLoadFigure] += len(outOfRange)
		}
		events = append(events, told.Mets[i].Note(load))
	}
	for _, d := range told.Demands {
		events = append(events, d)
	}
	events = g.flushSlices(events, span)
	for _, a := range told.Ages {
		_ = g.ages.RecordValue(int64(min(max(a, 0), maxAgeMs))) // within its range by the line itself
	}
	var asks []paceRequest
	for _, a := range g.intake.Deal(nowMs) {
		asks = append(asks, paceRequest{g.streams[a.Sender], &wire.Pace{PeriodMs: int(a.PeriodMs), Lines: a.Lines, Changes: a.Changes}})
	}
	m.setIntake(g.intake.Counts[:], told.Left, g.ages)
	malformed := g.malformed
	g.malformed = map[malformedReason]int{}
	return events, asks, malformed
}

// state returns how many sums wait, the most that ever did, and the lines by what became of them.
func (g *reportGate) stats() (waiting, most int, counts map[string]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts = map[string]uint64{}
	for i, r := range intake.Reasons() {
		if g.intake.Counts[i] > 0 {
			counts[r.String()] = g.intake.Counts[i]
		}
	}
	return g.intake.Waiting(), g.intake.MostOrder, counts
}
