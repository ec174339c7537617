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
	// maxSkippedReports is how many reports in a row may leave out an endpoint that has not failed, where only
	// changes are asked for.
	maxSkippedReports = 4
	// failureRank puts endpoints that failed before all others. It is above any number of skipped reports that
	// occurs in practice.
	failureRank = 1000
)

// ReportRequest is which endpoints a pilot wants in load reports.
type ReportRequest struct {
	MaxEndpoints int  // 0: all
	ChangesOnly  bool // endpoints that failed, and the others now and then
}

// endpointStats is what attempts at one endpoint showed since a report last named it.
type endpointStats struct {
	counts         wire.EndpointStats
	latencySumMs   float64 // of those that succeeded
	succeeded      int
	skippedReports int // that left it out
}

// add counts one attempt.
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

// rank is higher for an endpoint that a report should name sooner.
func (s *endpointStats) rank() int {
	if s.counts.Failed > 0 {
		return s.skippedReports + failureRank
	}
	return s.skippedReports
}

// sliceClass is a request class within the key range of one table.
type sliceClass struct {
	table int
	class string
}

func compareSliceClass(a, b sliceClass) int {
	return cmp.Or(a.table-b.table, strings.Compare(a.class, b.class))
}

// RequestArrived counts a request that a client sent.
func (r *Router) RequestArrived(class int, key string) {
	r.demandOfClass(class).Requests++
	if slice := r.sliceTable(key); slice != noSlice {
		r.demandOfSlice(slice, class).Requests++
	}
}

// RequestUnanswered counts a request that was admitted and got no answer. It may have arrived before the last report
// or before its key's range was assigned; as a slice may not report more unanswered requests than requests, its
// requests are raised to them.
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

// Report returns the load report since the last call. Endpoints that it leaves out by the pilot's request add up for a
// later one.
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

// reportEndpoints takes the stats of the endpoints that a report names: those that failed first, then those that were
// left out longest.
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
