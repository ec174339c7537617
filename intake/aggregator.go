package intake

import "math"

// Intake holds the sums that wait. It is used by one goroutine at a time.
type Intake[L any] struct {
	terms        Terms
	senders      map[int]*sender
	zones        map[int]*zone
	endpoints    map[int]*endpoint
	endpointSums map[zoneEndpoint]*sum[L]
	demandSums   map[proxyClass]*sum[L]
	pending      []*sum[L] // that wait, by when they began to
	landmark     float64   // weights count from here
	quotas       quotas
	candidates   []candidate
	Counts       [reasonCount]uint64
	MostOrder    int // the most sums that have waited
}

// New returns an intake that nobody has joined.
func New[L any](t Terms) *Intake[L] {
	return &Intake[L]{terms: t, senders: map[int]*sender{}, zones: map[int]*zone{}, endpoints: map[int]*endpoint{},
		endpointSums: map[zoneEndpoint]*sum[L]{}, demandSums: map[proxyClass]*sum[L]{}, quotas: newQuotas()}
}

// rescale moves the landmark up before weights grow out of their range.
func (a *Intake[L]) rescale(nowMs float64) {
	if nowMs-a.landmark < 200*a.terms.HalfMs {
		return
	}
	f := 1 / a.weight(nowMs)
	for _, z := range a.zones {
		z.covered *= f
	}
	for _, m := range a.endpointSums {
		m.rescale(f)
	}
	for _, d := range a.demandSums {
		d.rescale(f)
	}
	a.landmark = nowMs
}

// Take takes a report in. What it says is merged, sampled or refused; the counts tell which.
func (a *Intake[L]) Take(nowMs float64, r *Report[L]) {
	a.rescale(nowMs)
	lines := len(r.Lines) + len(r.Kinds)
	s := a.senders[r.Sender]
	if s == nil {
		a.Counts[Stranger] += uint64(lines)
		return
	}
	s.offered += float64(lines)
	if reason, ok := a.check(s, r); !ok {
		a.Counts[reason] += uint64(lines)
		return
	}
	stands := float64(r.Seq - s.lastSeq) // for the reports before it that never came, too
	if s.lastSeq == 0 {
		stands = 1
	}
	stands = math.Min(stands, maxReportsStoodFor)
	s.lastSeq = r.Seq
	age := s.clock.age(nowMs, r.AtMs)
	if age > a.terms.LongestMs {
		a.Counts[Late] += uint64(lines)
		return
	}
	room := a.quotas.refill(s, nowMs, a.terms)
	// unlike thresholds keep senders that report in step from being left out in step
	if room < math.Min(float64(lines), minLines*(1+uniform(r.Sender, 0, 0))) && s.skipped < maxReportsStoodFor-1 {
		s.skipped++
		a.Counts[OverShare] += uint64(lines)
		return
	}
	stands = math.Min(stands+float64(s.skipped), maxReportsStoodFor)
	s.skipped = 0
	s.accepted++
	end := nowMs - age
	w := a.meanWeight(end, r.SpanMs)
	a.zone(s.zone).covered += w * r.SpanMs * stands
	for _, k := range r.Kinds {
		a.addDemand(nowMs, r, k, w, stands, age)
	}
	kept := a.sample(nowMs, r, int(math.Min(room, math.MaxInt32))-len(r.Kinds))
	for _, k := range kept {
		a.addLine(nowMs, s, r, k, end, w, stands, age)
	}
	a.Counts[Sampled] += uint64(len(r.Lines) - len(kept))
	s.tokens -= float64(len(kept) + len(r.Kinds))
}

// addLine merges one line.
func (a *Intake[L]) addLine(nowMs float64, s *sender, r *Report[L], k candidate, end, w, stands, age float64) {
	l := &r.Lines[k.line]
	e := a.endpoints[l.Endpoint]
	if absurd(l, r.SpanMs) {
		a.Counts[Absurd]++
		return
	}
	if e == nil || !e.listed {
		a.Counts[Unlisted]++
		return
	}
	part := 1.0 // what falls into the life of the endpoint that is listed
	if e.startedMs > end-r.SpanMs && e.startedMs != 0 {
		part = (end - e.startedMs) / r.SpanMs
	}
	if part <= 0 {
		a.Counts[Restarted]++
		return
	}
	m := a.pendingEndpointSum(nowMs, zoneEndpoint{l.Endpoint, s.zone}, k.foremost || l.Failed > 0)
	if m == nil {
		a.Counts[Evicted]++
		return
	}
	scale := w * stands * part * k.scale
	good := float64(l.Tries - l.Failed)
	m.attempts += scale * float64(l.Tries)
	m.failed += scale * float64(l.Failed)
	m.succeeded += scale * good
	m.busyMs += scale * good * l.MeanMs
	m.weight, m.ageMs = m.weight+w, m.ageMs+w*(age+r.SpanMs/2)
	if l.HasLoad && part == 1 && (!m.hasLoad || end >= m.loadEndMs) && age < maxLoadAgeMs {
		m.load, m.hasLoad, m.loadEndMs = l.Load, true, end
	}
	m.urgent = m.urgent || a.urgent(nowMs, e, m)
	a.Counts[Merged]++
}

// urgent returns whether a sum must not wait: its endpoint begins to fail, is cold, or drains.
func (a *Intake[L]) urgent(nowMs float64, e *endpoint, m *sum[L]) bool {
	failing := m.failed > failingFraction*m.attempts && m.failed > 0
	return failing && !e.failing || e.draining || e.startedMs != 0 && nowMs-e.startedMs < a.terms.ColdMs
}

// pendingEndpointSum returns the sum that a line belongs to, or nil where no more may wait.
func (a *Intake[L]) pendingEndpointSum(nowMs float64, key zoneEndpoint, foremost bool) *sum[L] {
	z := a.zone(key.zone)
	m := a.endpointSums[key]
	if m == nil {
		m = &sum[L]{zoneEndpoint: key}
		m.zoneCovered = z.covered - a.quotas.recentlyCovered(z, a.weight(nowMs), a.terms)
		a.endpointSums[key] = m
	}
	if !m.queued && !a.makeRoom(foremost) {
		m.zoneCovered = z.covered // what is not counted was not covered
		return nil
	}
	a.enqueue(nowMs, m)
	return m
}

// addDemand merges one line of demand.
func (a *Intake[L]) addDemand(nowMs float64, r *Report[L], k KindLine, w, stands, age float64) {
	if k.Reqs < 0 || k.Unanswered < 0 || k.Unanswered > k.Reqs || float64(k.Reqs) > maxAttemptsPerS*math.Max(1, r.SpanMs/1000) {
		a.Counts[Absurd]++
		return
	}
	key := proxyClass{r.Sender, k.Kind}
	d := a.demandSums[key]
	if d == nil {
		d = &sum[L]{proxyClass: key, isDemand: true}
		a.demandSums[key] = d
	}
	if !d.queued && !a.makeRoom(false) {
		a.Counts[Evicted]++
		return
	}
	a.enqueue(nowMs, d)
	d.attempts += w * stands * float64(k.Reqs)
	d.failed += w * stands * float64(k.Unanswered)
	d.spanMs += w * stands * r.SpanMs
	d.weight, d.ageMs = d.weight+w, d.ageMs+w*(age+r.SpanMs/2)
	a.Counts[Merged]++
}
