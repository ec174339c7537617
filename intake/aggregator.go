package intake

import "math"

// Intake holds the sums that wait. It is used by one goroutine at a time.
type Intake[L any] struct {
	terms     Terms
	senders   map[int]*sender
	zones     map[int]*zone
	endpoints map[int]*endpoint
	mets      map[metKey]*sum[L]
	demands   map[demandKey]*sum[L]
	order     []*sum[L] // that wait, by when they began to
	landmark  float64   // weights count from here
	share     shares
	scratch   []ranked
	Counts    [reasonCount]uint64
	MostOrder int // the most sums that have waited
}

// New returns an intake that nobody has joined.
func New[L any](t Terms) *Intake[L] {
	return &Intake[L]{terms: t, senders: map[int]*sender{}, zones: map[int]*zone{}, endpoints: map[int]*endpoint{},
		mets: map[metKey]*sum[L]{}, demands: map[demandKey]*sum[L]{}, share: newShares()}
}

// rescale moves the landmark up before weights grow out of their range.
func (in *Intake[L]) rescale(nowMs float64) {
	if nowMs-in.landmark < 200*in.terms.HalfMs {
		return
	}
	f := 1 / in.weight(nowMs)
	for _, z := range in.zones {
		z.covered *= f
	}
	for _, m := range in.mets {
		m.rescale(f)
	}
	for _, d := range in.demands {
		d.rescale(f)
	}
	in.landmark = nowMs
}

// Take takes a report in. What it says is merged, sampled or refused; the counts tell which.
func (in *Intake[L]) Take(nowMs float64, r *Report[L]) {
	in.rescale(nowMs)
	lines := len(r.Lines) + len(r.Kinds)
	s := in.senders[r.Sender]
	if s == nil {
		in.Counts[Stranger] += uint64(lines)
		return
	}
	s.offered += float64(lines)
	if reason, ok := in.check(s, r); !ok {
		in.Counts[reason] += uint64(lines)
		return
	}
	stands := float64(r.Seq - s.seq) // for the reports before it that never came, too
	if s.seq == 0 {
		stands = 1
	}
	stands = math.Min(stands, mostStands)
	s.seq = r.Seq
	age := s.clock.age(nowMs, r.AtMs)
	if age > in.terms.LongestMs {
		in.Counts[Late] += uint64(lines)
		return
	}
	room := in.share.tokens(s, nowMs, in.terms)
	// unlike thresholds keep senders that report in step from being left out in step
	if room < math.Min(float64(lines), leastLines*(1+chance(r.Sender, 0, 0))) && s.skipped < mostStands-1 {
		s.skipped++
		in.Counts[OverShare] += uint64(lines)
		return
	}
	stands = math.Min(stands+float64(s.skipped), mostStands)
	s.skipped = 0
	s.taken++
	end := nowMs - age
	w := in.spread(end, r.SpanMs)
	in.zone(s.zone).covered += w * r.SpanMs * stands
	for _, k := range r.Kinds {
		in.demand(nowMs, r, k, w, stands, age)
	}
	kept := in.choose(nowMs, r, int(math.Min(room, math.MaxInt32))-len(r.Kinds))
	for _, k := range kept {
		in.met(nowMs, s, r, k, end, w, stands, age)
	}
	in.Counts[Sampled] += uint64(len(r.Lines) - len(kept))
	s.tokens -= float64(len(kept) + len(r.Kinds))
}

// met merges one line.
func (in *Intake[L]) met(nowMs float64, s *sender, r *Report[L], k ranked, end, w, stands, age float64) {
	l := &r.Lines[k.index]
	e := in.endpoints[l.Endpoint]
	if absurd(l, r.SpanMs) {
		in.Counts[Absurd]++
		return
	}
	if e == nil || !e.listed {
		in.Counts[Unlisted]++
		return
	}
	part := 1.0 // what falls into the life of the endpoint that is listed
	if e.started > end-r.SpanMs && e.started != 0 {
		part = (end - e.started) / r.SpanMs
	}
	if part <= 0 {
		in.Counts[Restarted]++
		return
	}
	m := in.sumOf(nowMs, metKey{l.Endpoint, s.zone}, k.foremost || l.Failed > 0)
	if m == nil {
		in.Counts[Evicted]++
		return
	}
	scale := w * stands * part * k.scale
	good := float64(l.Tries - l.Failed)
	m.tries += scale * float64(l.Tries)
	m.failed += scale * float64(l.Failed)
	m.good += scale * good
	m.work += scale * good * l.MeanMs
	m.weights, m.ages = m.weights+w, m.ages+w*(age+r.SpanMs/2)
	if l.HasLoad && part == 1 && (!m.hasLoad || end >= m.loadAt) && age < loadTooLate {
		m.load, m.hasLoad, m.loadAt = l.Load, true, end
	}
	m.urgent = m.urgent || in.urgent(nowMs, e, m)
	in.Counts[Merged]++
}

// urgent returns whether a sum must not wait: its endpoint begins to fail, is cold, or drains.
func (in *Intake[L]) urgent(nowMs float64, e *endpoint, m *sum[L]) bool {
	failing := m.failed > failingPart*m.tries && m.failed > 0
	return failing && !e.failing || e.drains || e.started != 0 && nowMs-e.started < in.terms.ColdMs
}

// sumOf returns the sum that a line belongs to, or nil where no more may wait.
func (in *Intake[L]) sumOf(nowMs float64, key metKey, foremost bool) *sum[L] {
	z := in.zone(key.zone)
	m := in.mets[key]
	if m == nil {
		m = &sum[L]{met: key}
		m.covered = z.covered - in.share.recent(z, in.weight(nowMs), in.terms)
		in.mets[key] = m
	}
	if !m.queued && !in.room(foremost) {
		m.covered = z.covered // what is not counted was not covered
		return nil
	}
	in.queue(nowMs, m)
	return m
}

// demand merges one line of demand.
func (in *Intake[L]) demand(nowMs float64, r *Report[L], k KindLine, w, stands, age float64) {
	if k.Reqs < 0 || k.Unanswered < 0 || k.Unanswered > k.Reqs || float64(k.Reqs) > mostPerS*math.Max(1, r.SpanMs/1000) {
		in.Counts[Absurd]++
		return
	}
	key := demandKey{r.Sender, k.Kind}
	d := in.demands[key]
	if d == nil {
		d = &sum[L]{demand: key, ofDemand: true}
		in.demands[key] = d
	}
	if !d.queued && !in.room(false) {
		in.Counts[Evicted]++
		return
	}
	in.queue(nowMs, d)
	d.tries += w * stands * float64(k.Reqs)
	d.failed += w * stands * float64(k.Unanswered)
	d.span += w * stands * r.SpanMs
	d.weights, d.ages = d.weights+w, d.ages+w*(age+r.SpanMs/2)
	in.Counts[Merged]++
}
