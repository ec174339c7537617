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

// maxAgeMs is the greatest age of a figure that the histogram of ages tells apart.
const maxAgeMs = 600_000

// ageDigits is how many significant digits the histogram of ages keeps.
const ageDigits = 2

// unknownIndex stands for a proxy or an endpoint that has no index; the intake counts what names it.
const unknownIndex = -1

// The intake holds load reports as they came on the wire.
type (
	reportIntake = telemetry.Aggregator[[]wire.Figure]
	report       = telemetry.Report[[]wire.Figure]
	reportLine   = telemetry.Line[[]wire.Figure]
	reportedMet  = telemetry.EndpointSum[[]wire.Figure]
)

// reportGate stands between the streams and the loop: reports are taken in where they are read, by any goroutine, and
// passed on to the loop once a period. What becomes of them the intake decides; the gate knows names and holds the
// lock.
type reportGate struct {
	mu sync.Mutex // guards all below but periodMs and lastFlushMs, which the loop alone uses

	intake  *reportIntake
	scratch report // of the report being accepted, so that its slices are used again

	// Indices by what reports name, and back.
	proxies   map[Stream]int
	streams   map[int]Stream
	endpoints map[string]int
	kinds     map[string]int

	// sliceDemand sums, by slice assigned to this controller and request kind, what came since the last flush.
	sliceDemand map[int]map[int]*planner.SliceStats
	// malformed counts what could not be used since the last flush.
	malformed map[malformedReason]int
	// ages holds the ages of all figures passed on since the start, in ms.
	ages *hdrhistogram.Histogram

	periodMs    float64
	lastFlushMs float64
}

// newReportGate returns a gate that no proxy has passed. kinds are the request kinds by index.
func newReportGate(t telemetry.Options, kinds []string) *reportGate {
	g := &reportGate{
		intake:      telemetry.New[[]wire.Figure](t),
		proxies:     map[Stream]int{},
		streams:     map[int]Stream{},
		endpoints:   map[string]int{},
		kinds:       map[string]int{},
		sliceDemand: map[int]map[int]*planner.SliceStats{},
		malformed:   map[malformedReason]int{},
		ages:        hdrhistogram.New(1, maxAgeMs, ageDigits),
		periodMs:    t.PeriodMs,
	}
	for kind, name := range kinds {
		g.kinds[name] = kind
	}
	return g
}

// due returns when the next flush is.
func (g *reportGate) due() float64 { return g.lastFlushMs + g.periodMs }

// restartPeriod has the period begin at a time, without a flush.
func (g *reportGate) restartPeriod(nowMs float64) { g.lastFlushMs = nowMs }

// addProxy takes reports of a session from now on. It returns false if there are too many senders.
func (g *reportGate) addProxy(nowMs float64, s *session) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.intake.Join(nowMs, s.proxy, s.zone) {
		return false
	}
	g.proxies[s.stream] = s.proxy
	g.streams[s.proxy] = s.stream
	return true
}

// removeProxy ends taking reports of a session.
func (g *reportGate) removeProxy(s *session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.intake.Leave(s.proxy)
	delete(g.proxies, s.stream)
	delete(g.streams, s.proxy)
}

// updateEndpoint takes over an entry of the list as the decider hears of it.
func (g *reportGate) updateEndpoint(nowMs float64, name string, e planner.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoints[name] = e.Endpoint
	g.intake.UpdateEndpoint(nowMs, e.Endpoint, e.Phase, e.Started)
}

// removeUnlisted takes all endpoints for gone but those whose index is listed.
func (g *reportGate) removeUnlisted(nowMs float64, listed map[int]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.endpoints {
		if !listed[i] {
			g.intake.UpdateEndpoint(nowMs, i, planner.Gone, 0)
		}
	}
}

// assignSlice begins the demand of a slice anew, or forgets it when the slice is assigned no longer.
func (g *reportGate) assignSlice(number int, assigned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sliceDemand, number)
	if assigned {
		g.sliceDemand[number] = map[int]*planner.SliceStats{}
	}
}

// accept takes in one report.
func (g *reportGate) accept(nowMs float64, from Stream, sums *wire.Sums) {
	g.mu.Lock()
	defer g.mu.Unlock()
	proxy, joined := g.proxies[from]
	if !joined {
		proxy = unknownIndex
	}
	r := &g.scratch
	r.Sender = proxy
	r.Seq = sums.Seq
	r.AtMs = sums.AtMs
	r.SpanMs = sums.SpanMs
	g.fillLines(r, sums.Met)
	g.fillKinds(r, sums.Demand)
	g.intake.Add(nowMs, r)
	if joined {
		g.addSliceDemand(sums.Slices)
	}
}

// fillLines puts what a proxy met at endpoints into a report.
func (g *reportGate) fillLines(r *report, mets []wire.Met) {
	r.Lines = r.Lines[:0]
	for i := range mets {
		m := &mets[i]
		endpoint, known := g.endpoints[m.Endpoint]
		if !known {
			g.malformed[malformedReportEndpoint]++
			endpoint = unknownIndex
		}
		r.Lines = append(r.Lines, reportLine{
			Endpoint: endpoint, Tries: m.Tries, Failed: m.Failed,
			MeanMs: m.MeanMs, Load: m.Load, HasLoad: len(m.Load) > 0,
		})
	}
}

// fillKinds puts the requests that came to a proxy, by kind, into a report.
func (g *reportGate) fillKinds(r *report, demands []wire.Demand) {
	r.Kinds = r.Kinds[:0]
	for _, d := range demands {
		kind, known := g.kinds[d.Kind]
		if !known {
			g.malformed[malformedReportKind]++
			continue
		}
		r.Kinds = append(r.Kinds, telemetry.ClassLine{Class: kind, Requests: d.Reqs, Unanswered: d.Unanswered})
	}
}

// addSliceDemand adds up demand for the slices assigned to this controller; it is bounded by these and the kinds.
func (g *reportGate) addSliceDemand(loads []wire.SliceLoad) {
	for _, load := range loads {
		kind, known := g.kinds[load.Kind]
		byKind := g.sliceDemand[load.Slice]
		if !known || byKind == nil || load.Unanswered > load.Reqs {
			g.malformed[malformedReportSlice]++
			continue
		}
		demand := byKind[kind]
		if demand == nil {
			demand = &planner.SliceStats{Slice: load.Slice, Class: kind}
			byKind[kind] = demand
		}
		demand.Requests += load.Reqs
		demand.Unanswered += load.Unanswered
	}
}

// paceRequest asks a stream's proxy to report otherwise.
type paceRequest struct {
	stream Stream
	pace   *wire.Pace
}

// flush appends, when the period is over, what the intake passes on to events. It also returns what proxies are to be
// asked for and counts of what could not be used.
func (g *reportGate) flush(events []planner.Event, nowMs float64, m *Metrics) (
	_ []planner.Event, requests []paceRequest, malformed map[malformedReason]int,
) {
	if nowMs < g.due() {
		return events, nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	spanMs := nowMs - g.lastFlushMs
	g.lastFlushMs = nowMs
	passed := g.intake.Flush(nowMs, spanMs)
	events = g.appendMets(events, passed.Mets)
	for _, demand := range passed.Demands {
		events = append(events, demand)
	}
	events = g.appendSliceDemand(events, spanMs)
	g.recordAges(passed.Ages)
	requests = g.paceRequests(nowMs)
	m.setIntake(g.intake.Counts[:], passed.Left, g.ages)
	malformed = g.malformed
	g.malformed = map[malformedReason]int{}
	return events, requests, malformed
}

// appendMets appends the statistics of endpoints.
func (g *reportGate) appendMets(events []planner.Event, mets []reportedMet) []planner.Event {
	for i := range mets {
		load, outOfRange := loadReport(mets[i].Load)
		if len(outOfRange) > 0 {
			g.malformed[malformedLoadFigure] += len(outOfRange)
		}
		events = append(events, mets[i].Stats(load))
	}
	return events
}

// appendSliceDemand appends what came for slices in a span and begins their sums anew.
func (g *reportGate) appendSliceDemand(events []planner.Event, spanMs float64) []planner.Event {
	for _, number := range slices.Sorted(maps.Keys(g.sliceDemand)) {
		byKind := g.sliceDemand[number]
		for _, kind := range slices.Sorted(maps.Keys(byKind)) {
			demand := byKind[kind]
			demand.SpanMs = spanMs
			events = append(events, *demand)
		}
		clear(byKind)
	}
	return events
}

// recordAges adds ages of figures, in ms, to the histogram.
func (g *reportGate) recordAges(ages []float64) {
	for _, age := range ages {
		_ = g.ages.RecordValue(int64(min(max(age, 0), maxAgeMs))) // no error: the value is within the range
	}
}

// paceRequests returns how proxies are to report from now on, where that changes.
func (g *reportGate) paceRequests(nowMs float64) (requests []paceRequest) {
	for _, advice := range g.intake.Rebalance(nowMs) {
		pace := &wire.Pace{PeriodMs: int(advice.PeriodMs), Lines: advice.Lines, Changes: advice.Changes}
		requests = append(requests, paceRequest{g.streams[advice.Sender], pace})
	}
	return requests
}

// stats returns how many sums wait, the most that ever did, and the report lines by what became of them.
func (g *reportGate) stats() (waiting, mostWaiting int, counts map[string]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts = map[string]uint64{}
	for i, reason := range telemetry.Reasons() {
		if g.intake.Counts[i] > 0 {
			counts[reason.String()] = g.intake.Counts[i]
		}
	}
	return g.intake.Pending(), g.intake.MostOrder, counts
}
