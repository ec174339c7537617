package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"indigousher/internal/wire"
)

const (
	// maxSkippedReports is how many consecutive reports may omit an endpoint without failures when the pilot has
	// requested only changes.
	maxSkippedReports = 4
	// failureRank is added to the rank of endpoints with failures, so that they are reported before all others. It
	// is larger than any number of skipped reports that occurs in practice.
	failureRank = 1000
)

// ReportRequest describes which endpoints a pilot wants in load reports. The zero value requests all of them.
type ReportRequest struct {
	MaxEndpoints int  // maximum number of endpoints in a report; 0 means no limit
	ChangesOnly  bool // omit endpoints without failures, for up to maxSkippedReports reports in a row
}

// endpointStats holds the results of attempts at one endpoint since a report last included it.
type endpointStats struct {
	counts         wire.EndpointStats
	latencySumMs   float64 // total latency of the successful attempts, in ms
	succeeded      int     // number of successful attempts
	skippedReports int     // number of reports that omitted the endpoint
}

// add records one finished attempt. A nil load keeps the load reported last.
func (s *endpointStats) add(succeeded bool, tookMs float64, load []wire.LoadMetric) {
	s.counts.Attempts++
	if len(load) > 0 {
		s.counts.Load = load
	}
	if succeeded {
		s.latencySumMs += tookMs
		s.succeeded++
	} else {
		s.counts.Failed++
	}
}

// rank returns the reporting priority of the endpoint: higher values are reported first.
func (s *endpointStats) rank() int {
	if s.counts.Failed > 0 {
		return s.skippedReports + failureRank
	}
	return s.skippedReports
}

// sliceClass identifies a request class within one slice; the slice is identified by the number of its table.
type sliceClass struct {
	table int
	class string
}

func compareSliceClass(a, b sliceClass) int {
	return cmp.Or(a.table-b.table, strings.Compare(a.class, b.class))
}

// RequestArrived counts a request from a client, for its class and for the slice of its key.
func (r *Router) RequestArrived(class int, key string) {
	r.demandOfClass(class).Requests++
	if slice := r.sliceTable(key); slice != noSlice {
		r.demandOfSlice(slice, class).Requests++
	}
}

// RequestUnanswered counts a request that was admitted but not answered. Its arrival may have been counted in an
// earlier report, or not at all if the key range was assigned later. A report must not contain more unanswered requests
// than requests for a slice, so the request count of the slice is raised if necessary.
func (r *Router) RequestUnanswered(class int, key string) {
	r.demandOfClass(class).Unanswered++
	if slice := r.sliceTable(key); slice != noSlice {
		demand := r.demandOfSlice(slice, class)
		demand.Unanswered++
		demand.Requests = max(demand.Requests, demand.Unanswered)
	}
}

func (r *Router) statsOf(endpoint string) *endpointStats {
	if r.stats[endpoint] == nil {
		r.stats[endpoint] = &endpointStats{counts: wire.EndpointStats{Endpoint: endpoint}}
	}
	return r.stats[endpoint]
}

func (r *Router) demandOfClass(class int) *wire.RequestStats {
	name := r.policy.Classes[class]
	if r.demand[name] == nil {
		r.demand[name] = &wire.RequestStats{Class: name}
	}
	return r.demand[name]
}

func (r *Router) demandOfSlice(table, class int) *wire.SliceStats {
	key := sliceClass{table, r.policy.Classes[class]}
	if r.sliceDemand[key] == nil {
		r.sliceDemand[key] = &wire.SliceStats{Slice: table, Class: key.class}
	}
	return r.sliceDemand[key]
}

// Report returns a load report for the time since the previous call. Statistics of endpoints that it omits because of
// the pilot's request accumulate for a later report.
func (r *Router) Report(nowMs float64, request ReportRequest) *wire.LoadReport {
	r.reportSeq++
	report := &wire.LoadReport{Seq: r.reportSeq, AtMs: nowMs, SpanMs: math.Max(0, nowMs-r.lastReportMs)}
	report.EndpointStats = r.reportEndpoints(request)
	for _, class := range slices.Sorted(maps.Keys(r.demand)) {
		report.RequestStats = append(report.RequestStats, *r.demand[class])
	}
	for _, key := range slices.SortedFunc(maps.Keys(r.sliceDemand), compareSliceClass) {
		report.SliceStats = append(report.SliceStats, *r.sliceDemand[key])
	}
	clear(r.demand)
	clear(r.sliceDemand)
	r.lastReportMs = nowMs
	return report
}

// reportEndpoints selects the endpoints for a report, returns their statistics and resets them. Endpoints with failures
// come first, then those that most reports have omitted.
func (r *Router) reportEndpoints(request ReportRequest) (reported []wire.EndpointStats) {
	endpoints := slices.Sorted(maps.Keys(r.stats))
	if request.MaxEndpoints > 0 || request.ChangesOnly {
		slices.SortStableFunc(endpoints, func(a, b string) int { return r.stats[b].rank() - r.stats[a].rank() })
	}
	for i, endpoint := range endpoints {
		stats := r.stats[endpoint]
		beyondMax := request.MaxEndpoints > 0 && i >= request.MaxEndpoints
		unchanged := request.ChangesOnly && stats.counts.Failed == 0 && stats.skippedReports < maxSkippedReports
		if beyondMax || unchanged {
			stats.skippedReports++
			continue
		}
		stats.counts.MeanMs = stats.latencySumMs / math.Max(1, float64(stats.succeeded))
		reported = append(reported, stats.counts)
		delete(r.stats, endpoint)
	}
	return reported
}
