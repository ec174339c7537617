package telemetry

import "math"

const (
	// maxRepresentedReports is the largest number of reports that one accepted report may represent: itself and the
	// reports before it that were lost or skipped. A longer gap means that the sender was silent, and no rate can be
	// derived from silence.
	maxRepresentedReports = 8
	// minQuotaLines is the quota, in lines, below which a report is skipped. The next accepted report of the same
	// sender then counts for the skipped one as well.
	minQuotaLines = 1.0
	// maxLoadAgeMs is the age in ms from which on an endpoint's own load report is ignored as outdated.
	maxLoadAgeMs = 20000
)

// Aggregator accumulates the load reports of proxies between two flushes. It is not safe for concurrent use. L is the
// type of the load report of an endpoint, which the aggregator stores and returns without interpreting it.
type Aggregator[L any] struct {
	options    Options
	decay      decay
	quotas     quotas
	slowdown   slowdown
	senders    map[int]*sender
	zones      map[int]*zone
	endpoints  map[int]*endpoint
	candidates []candidate // buffer of sample, reused for each report

	endpointSums map[zoneEndpoint]*sum[L]
	requestSums  map[proxyClass]*sum[L]
	pending      []*sum[L] // sums that have changed since their last flush, in the order in which they first changed

	Counts     [reasonCount]uint64 // number of report lines by outcome, indexed by Reason
	MaxPending int                 // largest number of sums that were pending at the same time
}

// New returns an aggregator that has no senders and no endpoints.
func New[L any](o Options) *Aggregator[L] {
	return &Aggregator[L]{
		options:      o,
		decay:        decay{halfLifeMs: o.HalfLifeMs},
		quotas:       newQuotas(o),
		slowdown:     newSlowdown(o),
		senders:      map[int]*sender{},
		zones:        map[int]*zone{},
		endpoints:    map[int]*endpoint{},
		endpointSums: map[zoneEndpoint]*sum[L]{},
		requestSums:  map[proxyClass]*sum[L]{},
	}
}

// contribution holds the factors with which the counts of one report are added to the sums.
type contribution struct {
	endMs   float64 // end of the reported period, ms on the caller's clock
	spanMs  float64 // length of the reported period
	ageMs   float64 // estimated delivery delay of the report
	weight  float64 // mean decay weight of the reported period
	reports float64 // number of reports that this one represents, see maxRepresentedReports
}

// Add adds a report to the sums. It merges, drops or rejects each line of the report and counts the outcome in Counts.
func (a *Aggregator[L]) Add(nowMs float64, report *Report[L]) {
	a.rescale(nowMs)
	lines := report.lineCount()
	s := a.senders[report.Sender]
	if s == nil {
		a.Counts[UnknownSender] += uint64(lines)
		return
	}
	s.offered += float64(lines)
	c, room, reason := a.admit(nowMs, s, report)
	if reason != Merged {
		a.Counts[reason] += uint64(lines)
		return
	}
	a.zone(s.zone).coveredMs += c.weight * report.SpanMs * c.reports
	for i := range report.ClassLines {
		a.addRequests(nowMs, report.Sender, &report.ClassLines[i], c)
	}
	kept := a.sample(nowMs, report, int(math.Min(room, math.MaxInt32))-len(report.ClassLines))
	for _, k := range kept {
		a.addLine(nowMs, s.zone, &report.EndpointLines[k.line], k, c)
	}
	a.Counts[Sampled] += uint64(len(report.EndpointLines) - len(kept))
	s.tokens -= float64(len(kept) + len(report.ClassLines))
}

// admit decides whether a report is accepted. If so, it returns the factors for the counts of the report, the number of
// lines that the sender's quota allows, and Merged. Otherwise it returns why the report is rejected or skipped.
func (a *Aggregator[L]) admit(
	nowMs float64, s *sender, report *Report[L],
) (c contribution, room float64, reason Reason) {
	if reason := report.validate(s.lastSeq, a.options.MaxAgeMs); reason != Merged {
		return c, 0, reason
	}
	reports := float64(report.Seq - s.lastSeq) // includes lost reports before this one
	if s.lastSeq == 0 {
		reports = 1
	}
	reports = math.Min(reports, maxRepresentedReports)
	s.lastSeq = report.Seq
	ageMs := s.clock.age(nowMs, report.AtMs)
	if ageMs > a.options.MaxAgeMs {
		return c, 0, Late
	}
	room = a.quotas.refill(s, nowMs, a.slowdown.factor)
	if room < minQuota(report) && s.skipped < maxRepresentedReports-1 {
		s.skipped++
		return c, 0, OverQuota
	}
	reports = math.Min(reports+float64(s.skipped), maxRepresentedReports)
	s.skipped = 0
	s.accepted++
	endMs := nowMs - ageMs
	c = contribution{
		endMs:   endMs,
		spanMs:  report.SpanMs,
		ageMs:   ageMs,
		weight:  a.decay.meanWeight(endMs, report.SpanMs),
		reports: reports,
	}
	return c, room, Merged
}

// minQuota returns the quota, in lines, below which a report is skipped. The threshold differs between senders.
// Otherwise senders that report at the same time would also be skipped at the same time, which would leave whole
// seconds without any report.
func minQuota[L any](report *Report[L]) float64 {
	return math.Min(float64(report.lineCount()), minQuotaLines*(1+uniform(report.Sender, 0, 0)))
}

// addLine adds one line of a report to the sum of its endpoint and zone, or counts why the line is rejected.
func (a *Aggregator[L]) addLine(nowMs float64, zoneID int, line *EndpointLine[L], sampled candidate, c contribution) {
	e := a.endpoints[line.Endpoint]
	if line.implausible(c.spanMs) {
		a.Counts[Implausible]++
		return
	}
	if e == nil || !e.listed {
		a.Counts[Unlisted]++
		return
	}
	current := e.currentFraction(c.endMs, c.spanMs)
	if current <= 0 {
		a.Counts[Restarted]++
		return
	}
	s := a.pendingEndpointSum(nowMs, zoneEndpoint{line.Endpoint, zoneID}, sampled.alwaysKept || line.Failed > 0)
	if s == nil {
		a.Counts[Evicted]++
		return
	}
	scale := c.weight * c.reports * current * sampled.scale
	succeeded := float64(line.Attempts - line.Failed)
	s.attempts += scale * float64(line.Attempts)
	s.failed += scale * float64(line.Failed)
	s.succeeded += scale * succeeded
	s.busyMs += scale * succeeded * line.MeanMs
	s.addAge(c)
	if current == 1 { // otherwise the load report may be from before the endpoint's restart
		s.updateLoad(line, c)
	}
	s.urgent = s.urgent || a.urgent(nowMs, e, s)
	a.Counts[Merged]++
}

// updateLoad replaces the stored load report of the sum by that of a line, unless the line has none, it is older than
// maxLoadAgeMs, or the stored one is newer.
func (s *sum[L]) updateLoad(line *EndpointLine[L], c contribution) {
	if !line.HasLoad || c.ageMs >= maxLoadAgeMs {
		return
	}
	if s.hasLoad && c.endMs < s.loadEndMs {
		return
	}
	s.load = line.Load
	s.hasLoad = true
	s.loadEndMs = c.endMs
}

// urgent reports whether a sum must be flushed before others: its endpoint has started to fail, is warming up or is
// draining.
func (a *Aggregator[L]) urgent(nowMs float64, e *endpoint, s *sum[L]) bool {
	beginsToFail := s.failing() && !e.failing
	return beginsToFail || e.draining || e.warmingUp(nowMs, a.options.WarmUpMs)
}

// pendingEndpointSum returns the sum for a key and marks it as pending. It returns nil if too many sums are pending. A
// new sum starts with the time that the zone's senders covered in the last report period, because none of their reports
// mentioned the endpoint. mustKeep allows another sum to be evicted to make room.
func (a *Aggregator[L]) pendingEndpointSum(nowMs float64, key zoneEndpoint, mustKeep bool) *sum[L] {
	z := a.zone(key.zone)
	s := a.endpointSums[key]
	if s == nil {
		s = &sum[L]{zoneEndpoint: key}
		s.zoneCoveredMs = z.coveredMs - a.recentlyCoveredMs(nowMs, z)
		a.endpointSums[key] = s
	}
	if !s.queued && !a.makeRoom(mustKeep) {
		s.zoneCoveredMs = z.coveredMs // without the attempts, the time in which they were made must not count either
		return nil
	}
	a.enqueue(nowMs, s)
	return s
}

// recentlyCoveredMs returns the time that one report of each of the zone's senders covers, weighted by age and limited
// to the time that the zone's reports have covered.
func (a *Aggregator[L]) recentlyCoveredMs(nowMs float64, z *zone) float64 {
	weight := a.decay.weight(nowMs)
	return math.Min(z.coveredMs, weight*a.options.PeriodMs*float64(a.slowdown.factor)*float64(z.senders))
}

// addRequests adds the request counts of one class to the sum of the proxy and the class.
func (a *Aggregator[L]) addRequests(nowMs float64, proxy int, line *ClassLine, c contribution) {
	if line.implausible(c.spanMs) {
		a.Counts[Implausible]++
		return
	}
	key := proxyClass{proxy, line.Class}
	s := a.requestSums[key]
	if s == nil {
		s = &sum[L]{proxyClass: key, isRequestSum: true}
		a.requestSums[key] = s
	}
	if !s.queued && !a.makeRoom(false) {
		a.Counts[Evicted]++
		return
	}
	a.enqueue(nowMs, s)
	s.attempts += c.weight * c.reports * float64(line.Requests)
	s.failed += c.weight * c.reports * float64(line.Unanswered)
	s.spanMs += c.weight * c.reports * c.spanMs
	s.addAge(c)
	a.Counts[Merged]++
}

// rescale moves the reference time of the decay and rescales all weighted sums, if the weights could otherwise soon
// overflow a float64.
func (a *Aggregator[L]) rescale(nowMs float64) {
	if !a.decay.rescaleDue(nowMs) {
		return
	}
	factor := a.decay.moveLandmark(nowMs)
	for _, z := range a.zones {
		z.coveredMs *= factor
	}
	for _, s := range a.endpointSums {
		s.rescale(factor)
	}
	for _, s := range a.requestSums {
		s.rescale(factor)
	}
}
