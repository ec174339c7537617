package telemetry

import "math"

const (
	// maxReportsStoodFor is the largest number of reports that one may represent: itself and those before it that were
	// lost or skipped. A longer gap means that the sender was silent, from which no rate can be derived.
	maxRepresentedReports = 8
	// minLines is the quota, in lines, below which a report is skipped; the next one represents it too.
	minQuotaLines = 1.0
	// maxLoadAgeMs is the age at which an endpoint's own load report says nothing about its present load any more.
	maxLoadAgeMs = 20000
)

// Aggregator accumulates the proxies' reports until they are flushed. It is not safe for concurrent use; its caller
// holds a lock.
type Aggregator[L any] struct {
	options    Options
	decay      decay
	quotas     quotas
	slowdown   slowdown
	senders    map[int]*sender
	zones      map[int]*zone
	endpoints  map[int]*endpoint
	candidates []candidate // reused from report to report

	endpointSums map[zoneEndpoint]*sum[L]
	requestSums  map[proxyClass]*sum[L]
	pending      []*sum[L] // sums to flush, in the order in which they became pending

	Counts     [reasonCount]uint64 // lines, by what became of them
	MaxPending int                 // the largest number of sums that have been pending at once
}

// New returns an aggregator without senders.
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

// contribution says how the figures of one report count in the sums that they are added to.
type contribution struct {
	endMs   float64 // end of the span that the report covers, on the caller's clock
	spanMs  float64
	ageMs   float64 // how long the report was in transit
	weight  float64 // mean decay weight of the span
	reports float64 // how many reports it represents, see maxReportsStoodFor
}

// Add adds a report to the sums. Each of its lines is merged, sampled out or rejected, and counted in Counts.
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
		a.addLine(nowMs, s.zone, &report.Lines[k.line], k, c)
	}
	a.Counts[Sampled] += uint64(len(report.Lines) - len(kept))
	s.tokens -= float64(len(kept) + len(report.ClassLines))
}

// admit decides whether a report is accepted. It returns how the report counts and how many of its lines the sender's
// quota has room for; a reason other than Merged says why the report is rejected or skipped.
func (a *Aggregator[L]) admit(
	nowMs float64, s *sender, report *Report[L],
) (c contribution, room float64, reason Reason) {
	if reason := report.validate(s.lastSeq, a.options.MaxAgeMs); reason != Merged {
		return c, 0, reason
	}
	reports := float64(report.Seq - s.lastSeq) // includes those before it that were lost
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

// minRoom returns the quota, in lines, below which a report is skipped. The threshold differs from sender to sender:
// otherwise senders that report in step would be skipped in step, and whole seconds would be without reports.
func minQuota[L any](report *Report[L]) float64 {
	return math.Min(float64(report.lineCount()), minQuotaLines*(1+uniform(report.Sender, 0, 0)))
}

// addLine adds one line of a report to the sum of its endpoint and zone.
func (a *Aggregator[L]) addLine(nowMs float64, zoneID int, line *Line[L], sampled candidate, c contribution) {
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
	if current == 1 { // otherwise the load report may be of the previous incarnation
		s.updateLoad(line, c)
	}
	s.urgent = s.urgent || a.urgent(nowMs, e, s)
	a.Counts[Merged]++
}

// updateLoad keeps a line's load report, unless there is none, it is too old, or a newer one is kept already.
func (s *sum[L]) updateLoad(line *Line[L], c contribution) {
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

// urgent reports whether a sum is to be flushed before others: its endpoint begins to fail, warms up, or drains.
func (a *Aggregator[L]) urgent(nowMs float64, e *endpoint, s *sum[L]) bool {
	beginsToFail := s.failing() && !e.failing
	return beginsToFail || e.draining || e.warmingUp(nowMs, a.options.WarmUpMs)
}

// pendingEndpointSum returns the sum that a line belongs to, which becomes pending, or nil if too many are. A new sum
// counts as covered what the zone's senders reported in one period: none of those reports mentioned the endpoint.
func (a *Aggregator[L]) pendingEndpointSum(nowMs float64, key zoneEndpoint, mustKeep bool) *sum[L] {
	z := a.zone(key.zone)
	s := a.endpointSums[key]
	if s == nil {
		s = &sum[L]{zoneEndpoint: key}
		s.zoneCoveredMs = z.coveredMs - a.recentlyCoveredMs(nowMs, z)
		a.endpointSums[key] = s
	}
	if !s.queued && !a.makeRoom(mustKeep) {
		s.zoneCoveredMs = z.coveredMs // attempts that are not counted must not count as covered time either
		return nil
	}
	a.enqueue(nowMs, s)
	return s
}

// recentlyCovered returns the weighted time that the reports of one period cover, of all the zone's senders.
func (a *Aggregator[L]) recentlyCoveredMs(nowMs float64, z *zone) float64 {
	weight := a.decay.weight(nowMs)
	return math.Min(z.coveredMs, weight*a.options.PeriodMs*float64(a.slowdown.factor)*float64(z.senders))
}

// addDemand adds one line of requests to the sum of its proxy and class.
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

// rescale moves the decay's landmark and multiplies all weighted sums before they leave a float's range.
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
