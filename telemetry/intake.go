// Package telemetry decides what becomes of the reports that proxies send: what is kept, merged, sampled, aged or
// refused, and what is passed on to the module each period. It is handed plain values with their times and returns
// plain values; it has no I/O, clock, goroutine or log, and the same calls give the same results. The runtime calls it
// as reports arrive, before its loop. docs/intake.md has the reasons.
//
// Sums are merged by endpoint and zone, and by proxy and req kind, so what is held is bounded by what is listed and
// joined, never by what arrives. Beside each sum stands the time that the zone's reports covered meanwhile: their
// quotient is the rate, whatever was lost, sampled out or late. Both are weighed by age.
package telemetry

import (
	"hash/crc32"
	"math"
	"slices"

	"indigousher/planner"
)

// Options are what the settings allow, received at start.
type Options struct {
	LinesPerS   float64 // report lines taken in a second, all senders together; 0: no limit
	ToldPerS    float64 // lines passed on a second; 0: no limit
	Standing    int     // sums that may wait to be passed on; 0: no limit
	PeriodMs    float64 // of reports, ordinarily
	HalfMs      float64 // age at which a figure weighs half
	LongestMs   float64 // span beyond which a report is absurd
	Slowest     int     // times the period that senders may be asked to wait
	ColdMs      float64 // for which a started endpoint counts as cold
	MostSenders int
}

// Reason tells why lines were refused or left out.
type Reason int

// The reasons. Sampled and Merged lines still count in what is passed on; the others don't.
const (
	Merged Reason = iota
	Sampled
	OverShare // a whole report beyond its sender's part; the next one stands for it
	Repeated
	Late
	Absurd
	NoSpan
	Unlisted
	Restarted
	Stranger
	Evicted
	reasonCount
)

// String names a reason, for metrics.
func (r Reason) String() string {
	return [...]string{"merged", "sampled out", "over its share", "repeated", "too late", "absurd", "no span",
		"endpoint not listed", "endpoint restarted", "sender not joined", "no room to wait"}[r]
}

// Reasons returns all reasons.
func Reasons() (all []Reason) {
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}

// Line is what a proxy met at one endpoint. L is what a load report is held as.
type Line[L any] struct {
	Endpoint      int
	Tries, Failed int
	MeanMs        float64
	Load          L
	HasLoad       bool
}

// ClassLine is what came to a proxy of one kind of req.
type ClassLine struct{ Class, Requests, Unanswered int }

// Report is one report. Seq counts a sender's reports from 1, AtMs is the sender's own clock when it was sent.
type Report[L any] struct {
	Sender int
	Seq    uint64
	AtMs   float64
	SpanMs float64
	Lines  []Line[L]
	Kinds  []ClassLine
}

// EndpointSum is a sum that is passed on: brain.Met but for the load report, with its age.
type EndpointSum[L any] struct {
	Endpoint, Zone int
	Tries, Failed  float64
	MeanMs, SpanMs float64
	Load           L
	HasLoad        bool
}

// Advice asks a sender to report otherwise: how often, how many lines at most (0: all), and only what has changed.
type Advice struct {
	Sender   int
	PeriodMs float64
	Lines    int
	Changes  bool
}

// Aggregator holds the sums that wait. It is used by one goroutine at a time.
type Aggregator[L any] struct {
	terms     Options
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

type metKey struct{ endpoint, zone int }
type demandKey struct{ proxy, kind int }

// sum is one line that waits, weighed.
type sum[L any] struct {
	met            metKey
	demand         demandKey
	ofDemand       bool
	queued, urgent bool
	sinceMs        float64 // when it began to wait
	tries, failed  float64
	good, work     float64
	weights, ages  float64 // of the contributions, for their mean age
	span           float64 // of demand: covered
	covered        float64 // of a zone when this was last told
	carry          float64 // what rounding left of the tries last told
	load           L
	hasLoad        bool
	loadAt         float64 // when the load report was sent, as far as known
}

// sender is a joined proxy.
type sender struct {
	zone    int
	seq     uint64
	clock   offset
	tokens  float64
	at      float64 // of the tokens
	offered float64 // lines in this second
	skipped int     // reports left out since the last that was taken
	taken   int     // reports, all in all
}

type zone struct {
	senders int
	covered float64 // weighed span of all its senders' reports
}

type endpoint struct {
	started float64
	listed  bool
	drains  bool
	failing bool // seen to fail when last told
}

// New returns an intake that nobody has joined.
func New[L any](t Options) *Aggregator[L] {
	return &Aggregator[L]{terms: t, senders: map[int]*sender{}, zones: map[int]*zone{}, endpoints: map[int]*endpoint{},
		mets: map[metKey]*sum[L]{}, demands: map[demandKey]*sum[L]{}, share: newShares()}
}

// Join takes a sender in. Its clock and numbers begin anew.
func (in *Aggregator[L]) Join(nowMs float64, id, zoneOf int) bool {
	in.Leave(id)
	if in.terms.MostSenders > 0 && len(in.senders) >= in.terms.MostSenders {
		return false
	}
	in.senders[id] = &sender{zone: zoneOf, at: nowMs, tokens: in.share.start(in.terms)}
	in.zone(zoneOf).senders++
	return true
}

// Leave forgets a sender and what waits of its demand.
func (in *Aggregator[L]) Leave(id int) {
	s := in.senders[id]
	if s == nil {
		return
	}
	in.zone(s.zone).senders--
	delete(in.senders, id)
	for key, d := range in.demands {
		if key.proxy == id {
			in.forget(d)
			delete(in.demands, key)
		}
	}
}

// forget takes a sum out of those that wait.
func (in *Aggregator[L]) forget(d *sum[L]) {
	if d.queued {
		in.order = slices.DeleteFunc(in.order, func(x *sum[L]) bool { return x == d })
	}
}

func (in *Aggregator[L]) zone(i int) *zone {
	if in.zones[i] == nil {
		in.zones[i] = &zone{}
	}
	return in.zones[i]
}

// UpdateEndpoint tells of an endpoint. One that is gone or has started anew loses what waits of it: it was another's.
func (in *Aggregator[L]) UpdateEndpoint(nowMs float64, id int, phase planner.Phase, startedMs float64) {
	e := in.endpoints[id]
	if e == nil {
		e = &endpoint{}
		in.endpoints[id] = e
	}
	if phase == planner.Gone || e.listed && startedMs != e.started {
		for key, m := range in.mets {
			if key.endpoint == id {
				in.forget(m)
				delete(in.mets, key)
			}
		}
		*e = endpoint{}
	}
	e.listed, e.started, e.drains = phase != planner.Gone, startedMs, phase == planner.Draining
	if phase == planner.Gone {
		delete(in.endpoints, id)
	}
}

// weight is what a moment's figures count, growing with time: later ones count more, and dividing by the weight of
// now gives what is left of each (forward decay).
func (in *Aggregator[L]) weight(ms float64) float64 {
	return math.Exp2((ms - in.landmark) / in.terms.HalfMs)
}

// spread is the mean weight of a span that ended at a moment.
func (in *Aggregator[L]) spread(endMs, spanMs float64) float64 {
	x := spanMs / in.terms.HalfMs * math.Ln2
	if x < 1e-6 {
		return in.weight(endMs)
	}
	return in.weight(endMs) * -math.Expm1(-x) / x
}

// rescale moves the landmark up before weights grow out of their range.
func (in *Aggregator[L]) rescale(nowMs float64) {
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

// rescale multiplies all that is weighed.
func (s *sum[L]) rescale(f float64) {
	s.tries, s.failed, s.good, s.work = s.tries*f, s.failed*f, s.good*f, s.work*f
	s.weights, s.ages, s.span, s.covered = s.weights*f, s.ages*f, s.span*f, s.covered*f
}

// Add takes a report in. What it says is merged, sampled or refused; the counts tell which.
func (in *Aggregator[L]) Add(nowMs float64, r *Report[L]) {
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

// Limits of what is believed.
const (
	mostStands  = 8     // reports that one may stand for
	leastLines  = 1.0   // below so many lines of room a report is left to the next one
	mostPerS    = 1e6   // tries a second at one endpoint from one proxy
	mostMeanMs  = 1e7   // mean time of a try
	loadTooLate = 20000 // ms after which a load report says nothing
)

// check refuses what can't be true, and what has been heard.
func (in *Aggregator[L]) check(s *sender, r *Report[L]) (Reason, bool) {
	switch {
	case r.Seq <= s.seq:
		return Repeated, false // or overtaken by a later one that stands for it
	case !(r.SpanMs >= 0) || r.SpanMs > in.terms.LongestMs || math.IsInf(r.AtMs, 0) || math.IsNaN(r.AtMs):
		return Absurd, false
	case r.SpanMs == 0 && len(r.Lines)+len(r.Kinds) > 0:
		return NoSpan, false
	}
	return Merged, true
}

func absurd[L any](l *Line[L], spanMs float64) bool {
	return l.Tries < 0 || l.Failed < 0 || l.Failed > l.Tries || !(l.MeanMs >= 0) || l.MeanMs > mostMeanMs ||
		float64(l.Tries) > mostPerS*math.Max(1, spanMs/1000)
}

// met merges one line.
func (in *Aggregator[L]) met(nowMs float64, s *sender, r *Report[L], k ranked, end, w, stands, age float64) {
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
func (in *Aggregator[L]) urgent(nowMs float64, e *endpoint, m *sum[L]) bool {
	failing := m.failed > failingPart*m.tries && m.failed > 0
	return failing && !e.failing || e.drains || e.started != 0 && nowMs-e.started < in.terms.ColdMs
}

// failingPart is the part of failed tries from which an endpoint counts as failing.
const failingPart = 0.2

// sumOf returns the sum that a line belongs to, or nil where no more may wait.
func (in *Aggregator[L]) sumOf(nowMs float64, key metKey, foremost bool) *sum[L] {
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

// room returns whether one more sum may wait; for one that is urgent a demand makes way.
func (in *Aggregator[L]) room(urgent bool) bool {
	if in.terms.Standing <= 0 || len(in.order) < in.terms.Standing {
		return true
	}
	if !urgent {
		return false
	}
	i := slices.IndexFunc(in.order, func(s *sum[L]) bool { return s.ofDemand })
	if i < 0 {
		i = slices.IndexFunc(in.order, func(s *sum[L]) bool { return !s.urgent })
	}
	if i < 0 {
		return false
	}
	in.Counts[Evicted]++
	in.reset(in.order[i])
	in.order = slices.Delete(in.order, i, i+1)
	return true
}

// reset begins a sum anew: nothing waits of it, and what its zone has covered so far is not its own.
func (in *Aggregator[L]) reset(s *sum[L]) {
	if s.ofDemand {
		*s = sum[L]{demand: s.demand, ofDemand: true}
		return
	}
	*s = sum[L]{met: s.met, covered: in.zone(s.met.zone).covered, carry: s.carry}
}

func (in *Aggregator[L]) queue(nowMs float64, m *sum[L]) {
	if !m.queued {
		m.queued, m.sinceMs = true, nowMs
		in.order = append(in.order, m)
		in.MostOrder = max(in.MostOrder, len(in.order))
	}
}

// demand merges one line of demand.
func (in *Aggregator[L]) demand(nowMs float64, r *Report[L], k ClassLine, w, stands, age float64) {
	if k.Requests < 0 || k.Unanswered < 0 || k.Unanswered > k.Requests || float64(k.Requests) > mostPerS*math.Max(1, r.SpanMs/1000) {
		in.Counts[Absurd]++
		return
	}
	key := demandKey{r.Sender, k.Class}
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
	d.tries += w * stands * float64(k.Requests)
	d.failed += w * stands * float64(k.Unanswered)
	d.span += w * stands * r.SpanMs
	d.weights, d.ages = d.weights+w, d.ages+w*(age+r.SpanMs/2)
	in.Counts[Merged]++
}

// ranked is a line that may be kept, with what its figures are to be multiplied by.
type ranked struct {
	index    int
	rank     float64
	scale    float64
	foremost bool
}

// choose returns the lines to keep: all that fit; else those of endpoints that fail, are cold or drain, and of the
// others a priority sample by tries, whose scaled figures are true on average.
func (in *Aggregator[L]) choose(nowMs float64, r *Report[L], room int) []ranked {
	in.scratch = in.scratch[:0]
	room = max(room, 1)
	if len(r.Lines) <= room {
		for i := range r.Lines {
			in.scratch = append(in.scratch, ranked{index: i, scale: 1})
		}
		return in.scratch
	}
	foremost := 0
	for i := range r.Lines {
		l := &r.Lines[i]
		k := ranked{index: i, scale: 1}
		if e := in.endpoints[l.Endpoint]; e != nil {
			k.foremost = e.drains || l.Failed > 0 && float64(l.Failed) > failingPart*float64(l.Tries) ||
				e.started != 0 && nowMs-e.started < in.terms.ColdMs
		}
		if k.foremost = k.foremost && foremost < room-1; k.foremost {
			foremost++
			k.rank = math.Inf(1)
		} else {
			k.rank = math.Max(float64(l.Tries), 0.5) / chance(r.Sender, r.Seq, l.Endpoint)
		}
		in.scratch = append(in.scratch, k)
	}
	slices.SortFunc(in.scratch, func(a, b ranked) int {
		switch {
		case a.rank > b.rank:
			return -1
		case a.rank < b.rank:
			return 1
		}
		return a.index - b.index
	})
	threshold := in.scratch[room].rank
	for i := range in.scratch[:room] {
		k := &in.scratch[i]
		if tries := float64(r.Lines[k.index].Tries); !k.foremost && tries > 0 {
			k.scale = math.Max(tries, threshold) / tries
		}
	}
	return in.scratch[:room]
}

// chance is a number in (0, 1] that the same line always gets. A checksum is linear: lines that differ in the same bits
// would differ by the same pattern in every report, so its bits are stirred.
func chance(sender int, seq uint64, endpoint int) float64 {
	var b [20]byte
	for i := range 8 {
		b[i], b[8+i] = byte(sender>>(8*i)), byte(seq>>(8*i))
	}
	for i := range 4 {
		b[16+i] = byte(endpoint >> (8 * i))
	}
	x := crc32.ChecksumIEEE(b[:])
	x = (x ^ x>>16) * 0x7feb352d
	x = (x ^ x>>15) * 0x846ca68b
	return (float64(x^x>>16) + 1) / (1 << 32)
}

// Pending returns how many sums wait to be passed on.
func (in *Aggregator[L]) Pending() int { return len(in.order) }
