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

// unknownIndex stands for a proxy or an endpoint that has no index; the aggregator counts what names it.
const unknownIndex = -1

// The aggregator holds load reports as they came on the wire.
type (
	reportAggregator = telemetry.Aggregator[[]wire.Figure]
	report           = telemetry.Report[[]wire.Figure]
	reportLine       = telemetry.Line[[]wire.Figure]
	endpointSum      = telemetry.EndpointSum[[]wire.Figure]
)

// reportGate stands between the streams and the loop: reports are taken in where they are read, by any goroutine, and
// passed on to the loop once a period. What becomes of them the aggregator decides; the gate knows names and holds the
// lock.
type reportGate struct {
	mu sync.Mutex // guards all below but periodMs and lastFlushMs, which the loop alone uses

	aggregator *reportAggregator
	scratch    report // of the report being accepted, so that its slices are used again

	// Indices by what reports name, and back.
	proxies   map[Stream]int
	streams   map[int]Stream
	endpoints map[string]int
	classes   map[string]int

	// sliceStats sums, by slice assigned to this pilot and request class, what came since the last flush.
	sliceStats map[int]map[int]*planner.SliceStats
	// malformed counts what could not be used since the last flush.
	malformed map[malformedReason]int
	// ages holds the ages of all figures passed on since the start, in ms.
	ages *hdrhistogram.Histogram

	periodMs    float64
	lastFlushMs float64
}

// newReportGate returns a gate that no proxy has passed. classes are the request classes by index.
func newReportGate(options telemetry.Options, classes []string) *reportGate {
	g := &reportGate{
		aggregator: telemetry.New[[]wire.Figure](options),
		proxies:    map[Stream]int{},
		streams:    map[int]Stream{},
		endpoints:  map[string]int{},
		classes:    map[string]int{},
		sliceStats: map[int]map[int]*planner.SliceStats{},
		malformed:  map[malformedReason]int{},
		ages:       hdrhistogram.New(1, maxAgeMs, ageDigits),
		periodMs:   options.PeriodMs,
	}
	for class, name := range classes {
		g.classes[name] = class
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
	if !g.aggregator.Join(nowMs, s.proxy, s.zone) {
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
	g.aggregator.Leave(s.proxy)
	delete(g.proxies, s.stream)
	delete(g.streams, s.proxy)
}

// updateEndpoint takes over an entry of the list as the decider hears of it.
func (g *reportGate) updateEndpoint(nowMs float64, name string, e planner.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoints[name] = e.Endpoint
	g.aggregator.UpdateEndpoint(nowMs, e.Endpoint, e.Phase, e.Started)
}

// removeUnlisted takes all endpoints for gone but those whose index is listed.
func (g *reportGate) removeUnlisted(nowMs float64, listed map[int]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.endpoints {
		if !listed[i] {
			g.aggregator.UpdateEndpoint(nowMs, i, planner.Gone, 0)
		}
	}
}

// assignSlice begins the demand of a slice anew, or forgets it when the slice is assigned no longer.
func (g *reportGate) assignSlice(number int, assigned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sliceStats, number)
	if assigned {
		g.sliceStats[number] = map[int]*planner.SliceStats{}
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
	g.fillClasses(r, sums.Demand)
	g.aggregator.Add(nowMs, r)
	if joined {
		g.addSliceStats(sums.Slices)
	}
}

// fillLines puts what a proxy met at endpoints into a report.
func (g *reportGate) fillLines(r *report, stats []wire.Met) {
	r.Lines = r.Lines[:0]
	for i := range stats {
		stat := &stats[i]
		endpoint, known := g.endpoints[stat.Endpoint]
		if !known {
			g.malformed[malformedReportEndpoint]++
			endpoint = unknownIndex
		}
		r.Lines = append(r.Lines, reportLine{
			Endpoint: endpoint, Tries: stat.Tries, Failed: stat.Failed,
			MeanMs: stat.MeanMs, Load: stat.Load, HasLoad: len(stat.Load) > 0,
		})
	}
}

// fillClasses puts the requests that came to a proxy, by class, into a report.
func (g *reportGate) fillClasses(r *report, demands []wire.Demand) {
	r.Kinds = r.Kinds[:0]
	for _, d := range demands {
		class, known := g.classes[d.Kind]
		if !known {
			g.malformed[malformedReportClass]++
			continue
		}
		r.Kinds = append(r.Kinds, telemetry.ClassLine{Class: class, Requests: d.Reqs, Unanswered: d.Unanswered})
	}
}

// addSliceStats adds up demand for the slices assigned to this pilot; it is bounded by these and the classes.
func (g *reportGate) addSliceStats(loads []wire.SliceLoad) {
	for _, load := range loads {
		class, known := g.classes[load.Kind]
		byClass := g.sliceStats[load.Slice]
		if !known || byClass == nil || load.Unanswered > load.Reqs {
			g.malformed[malformedReportSlice]++
			continue
		}
		stats := byClass[class]
		if stats == nil {
			stats = &planner.SliceStats{Slice: load.Slice, Class: class}
			byClass[class] = stats
		}
		stats.Requests += load.Reqs
		stats.Unanswered += load.Unanswered
	}
}

// paceRequest asks a stream's proxy to report otherwise.
type paceRequest struct {
	stream Stream
	pace   *wire.Pace
}

// flush appends, when the period is over, what the aggregator passes on to events. It also returns what proxies are to
// be asked for and counts of what could not be used.
func (g *reportGate) flush(events []planner.Event, nowMs float64, metrics *Metrics) (
	_ []planner.Event, requests []paceRequest, malformed map[malformedReason]int,
) {
	if nowMs < g.due() {
		return events, nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	spanMs := nowMs - g.lastFlushMs
	g.lastFlushMs = nowMs
	flushed := g.aggregator.Flush(nowMs, spanMs)
	events = g.appendEndpointStats(events, flushed.Mets)
	for _, stats := range flushed.Demands {
		events = append(events, stats)
	}
	events = g.appendSliceStats(events, spanMs)
	g.recordAges(flushed.Ages)
	requests = g.paceRequests(nowMs)
	metrics.setTelemetry(g.aggregator.Counts[:], flushed.Left, g.ages)
	malformed = g.malformed
	g.malformed = map[malformedReason]int{}
	return events, requests, malformed
}

// appendEndpointStats appends the statistics of endpoints.
func (g *reportGate) appendEndpointStats(events []planner.Event, stats []endpointSum) []planner.Event {
	for i := range stats {
		load, outOfRange := loadReport(stats[i].Load)
		if len(outOfRange) > 0 {
			g.malformed[malformedLoadFigure] += len(outOfRange)
		}
		events = append(events, stats[i].Stats(load))
	}
	return events
}

// appendSliceStats appends what came for slices in a span and begins their sums anew.
func (g *reportGate) appendSliceStats(events []planner.Event, spanMs float64) []planner.Event {
	for _, number := range slices.Sorted(maps.Keys(g.sliceStats)) {
		byClass := g.sliceStats[number]
		for _, class := range slices.Sorted(maps.Keys(byClass)) {
			stats := byClass[class]
			stats.SpanMs = spanMs
			events = append(events, *stats)
		}
		clear(byClass)
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
	for _, advice := range g.aggregator.Rebalance(nowMs) {
		pace := &wire.Pace{PeriodMs: int(advice.PeriodMs), Lines: advice.Lines, Changes: advice.Changes}
		requests = append(requests, paceRequest{g.streams[advice.Sender], pace})
	}
	return requests
}

// stats returns how many sums wait, the most that ever did, and the report lines by what became of them.
func (g *reportGate) stats() (waiting, maxWaiting int, counts map[string]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts = map[string]uint64{}
	for i, reason := range telemetry.Reasons() {
		if g.aggregator.Counts[i] > 0 {
			counts[reason.String()] = g.aggregator.Counts[i]
		}
	}
	return g.aggregator.Pending(), g.aggregator.MostOrder, counts
}
