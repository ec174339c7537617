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

// maxAgeMs is the upper limit of the histogram of ages, in ms. Greater ages are recorded as this value.
const maxAgeMs = 600_000

// ageDigits is the number of significant decimal digits in the histogram of ages.
const ageDigits = 2

// unknownIndex is passed to the aggregator instead of the index of an unknown proxy or endpoint. The aggregator rejects
// and counts such reports and lines.
const unknownIndex = -1

// Types of package telemetry, instantiated with load reports in their wire format.
type (
	reportAggregator = telemetry.Aggregator[[]wire.LoadMetric]
	report           = telemetry.Report[[]wire.LoadMetric]
	reportLine       = telemetry.EndpointLine[[]wire.LoadMetric]
	endpointSum      = telemetry.EndpointSum[[]wire.LoadMetric]
)

// reportGate accepts load reports from the goroutines that read the streams and passes their aggregates to the loop
// once per period. It translates names to indices and provides the locking for the aggregator, which decides what to
// merge, sample or drop.
type reportGate struct {
	mu sync.Mutex // guards the fields below, except periodMs and lastFlushMs, which only the loop uses

	aggregator *reportAggregator
	scratch    report // the report being accepted; kept to reuse its slices

	// Lookup tables for the proxies, endpoints and request classes in reports.
	proxies   map[Stream]int
	streams   map[int]Stream
	endpoints map[string]int
	classes   map[string]int

	// sliceStats sums the requests since the last flush, by slice and request class. It has an entry for each slice
	// assigned to this pilot.
	sliceStats map[int]map[int]*planner.SliceStats
	// malformed counts the malformed items in reports since the last flush, by reason.
	malformed map[malformedReason]int
	// ages is a histogram of the ages in ms of all values passed on since the start.
	ages *hdrhistogram.Histogram

	periodMs    float64 // time between two flushes, in ms
	lastFlushMs float64 // time of the last flush, in ms
}

// newReportGate returns a reportGate without proxies or endpoints. classes holds the names of the request classes by
// index.
func newReportGate(options telemetry.Options, classes []string) *reportGate {
	g := &reportGate{
		aggregator: telemetry.New[[]wire.LoadMetric](options),
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

// due returns the time of the next flush, in ms.
func (g *reportGate) due() float64 { return g.lastFlushMs + g.periodMs }

// restartPeriod starts a new period at nowMs without flushing.
func (g *reportGate) restartPeriod(nowMs float64) { g.lastFlushMs = nowMs }

// addProxy registers a session, so that its reports are accepted. It returns false if the aggregator has no capacity
// for another sender.
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

// removeProxy unregisters a session. Its later reports are rejected.
func (g *reportGate) removeProxy(s *session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aggregator.Leave(s.proxy)
	delete(g.proxies, s.stream)
	delete(g.streams, s.proxy)
}

// updateEndpoint stores the index of an endpoint and passes its phase and start time to the aggregator.
func (g *reportGate) updateEndpoint(nowMs float64, name string, e planner.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoints[name] = e.Endpoint
	g.aggregator.UpdateEndpoint(nowMs, e.Endpoint, e.Phase, e.Started)
}

// removeUnlisted marks the endpoints whose index is not in listed as gone.
func (g *reportGate) removeUnlisted(nowMs float64, listed map[int]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.endpoints {
		if !listed[i] {
			g.aggregator.UpdateEndpoint(nowMs, i, planner.Gone, 0)
		}
	}
}

// assignSlice resets the request counts of a slice, or removes them if the slice is no longer assigned.
func (g *reportGate) assignSlice(number int, assigned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sliceStats, number)
	if assigned {
		g.sliceStats[number] = map[int]*planner.SliceStats{}
	}
}

// accept adds one report to the aggregator. A report from a stream that has not joined is passed with unknownIndex, and
// its slice counts are ignored.
func (g *reportGate) accept(nowMs float64, from Stream, sums *wire.LoadReport) {
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
	g.fillLines(r, sums.EndpointStats)
	g.fillClasses(r, sums.RequestStats)
	g.aggregator.Add(nowMs, r)
	if joined {
		g.addSliceStats(sums.SliceStats)
	}
}

// fillLines converts a proxy's statistics by endpoint into the lines of a report.
func (g *reportGate) fillLines(r *report, stats []wire.EndpointStats) {
	r.EndpointLines = r.EndpointLines[:0]
	for i := range stats {
		stat := &stats[i]
		endpoint, known := g.endpoints[stat.Endpoint]
		if !known {
			g.malformed[malformedReportEndpoint]++
			endpoint = unknownIndex
		}
		r.EndpointLines = append(r.EndpointLines, reportLine{
			Endpoint: endpoint, Attempts: stat.Attempts, Failed: stat.Failed,
			MeanMs: stat.MeanMs, Load: stat.Load, HasLoad: len(stat.Load) > 0,
		})
	}
}

// fillClasses converts the numbers of requests that a proxy received, by class, and stores them in a report. Unknown
// classes are counted as malformed and skipped.
func (g *reportGate) fillClasses(r *report, demands []wire.RequestStats) {
	r.ClassLines = r.ClassLines[:0]
	for _, d := range demands {
		class, known := g.classes[d.Class]
		if !known {
			g.malformed[malformedReportClass]++
			continue
		}
		r.ClassLines = append(r.ClassLines, telemetry.ClassLine{Class: class, Requests: d.Requests, Unanswered: d.Unanswered})
	}
}

// addSliceStats adds request counts to sliceStats. Slices that are not assigned to this pilot and unknown classes are
// rejected, which bounds the memory used.
func (g *reportGate) addSliceStats(loads []wire.SliceStats) {
	for _, load := range loads {
		class, known := g.classes[load.Class]
		byClass := g.sliceStats[load.Slice]
		if !known || byClass == nil || load.Unanswered > load.Requests {
			g.malformed[malformedReportSlice]++
			continue
		}
		stats := byClass[class]
		if stats == nil {
			stats = &planner.SliceStats{Slice: load.Slice, Class: class}
			byClass[class] = stats
		}
		stats.Requests += load.Requests
		stats.Unanswered += load.Unanswered
	}
}

// paceRequest holds new reporting parameters for the proxy of a stream.
type paceRequest struct {
	stream Stream
	pace   *wire.Pace
}

// flush appends the aggregated events if the period is over. It also returns the changes to the proxies' reporting
// parameters and the numbers of malformed items since the last flush. Before the end of the period it does nothing.
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
	events = g.appendEndpointStats(events, flushed.EndpointSums)
	for _, stats := range flushed.RequestStats {
		events = append(events, stats)
	}
	events = g.appendSliceStats(events, spanMs)
	g.recordAges(flushed.AgesMs)
	requests = g.paceRequests(nowMs)
	metrics.setTelemetry(g.aggregator.Counts[:], flushed.Remaining, g.ages)
	malformed = g.malformed
	g.malformed = map[malformedReason]int{}
	return events, requests, malformed
}

// appendEndpointStats appends one event for each endpoint sum. Invalid values in load reports are counted as malformed
// and omitted.
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

// appendSliceStats appends the request counts of slices, which cover spanMs milliseconds, and resets them.
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

// recordAges adds the ages of reported values, in ms, to the histogram.
func (g *reportGate) recordAges(ages []float64) {
	for _, age := range ages {
		_ = g.ages.RecordValue(int64(min(max(age, 0), maxAgeMs))) // no error: the value is within the range
	}
}

// paceRequests returns the new reporting parameters of those proxies for which the aggregator has changed them.
func (g *reportGate) paceRequests(nowMs float64) (requests []paceRequest) {
	for _, advice := range g.aggregator.Rebalance(nowMs) {
		pace := &wire.Pace{PeriodMs: int(advice.PeriodMs), MaxLines: advice.MaxLines, ChangedOnly: advice.ChangedOnly}
		requests = append(requests, paceRequest{g.streams[advice.Sender], pace})
	}
	return requests
}

// stats returns the number of sums that wait to be passed on, its maximum so far, and the number of report lines by
// what was done with them. Reasons with a count of 0 are omitted.
func (g *reportGate) stats() (waiting, maxWaiting int, counts map[string]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts = map[string]uint64{}
	for i, reason := range telemetry.Reasons() {
		if g.aggregator.Counts[i] > 0 {
			counts[reason.String()] = g.aggregator.Counts[i]
		}
	}
	return g.aggregator.Pending(), g.aggregator.MaxPending, counts
}
