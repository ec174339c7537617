package planner

import (
	"maps"
	"math"
	"slices"
)

// Figures of the window.
const (
	lastingMs      = 30000.0 // a mark unanswered for longer is given up; so is what a proxy holds of one that left
	markNames      = 65535   // marks are numbered below this, by their time
	mostProbeWaits = 4       // doublings of the wait between probes
	clockPart      = 0.25    // part of the told pace by which lines are taken to leave without an answer
)

// window is the account of the channel, as a transport's send window is of a connection: which lines may still wait in
// it. Lines have positions in the order in which they go out. A mark goes out behind a batch of lines; since messages
// leave one after another, an answer to a mark proves that everything before its batch has left, and that proxy's own
// lines of it. What is in flight is never taken to be less than it is: lines that may have crossed twice count twice, and
// answers that were lost leave the count too high. It comes down with any answer to a later mark, so a sender whom the
// count holds back has to probe: see probeAt. The zero value is an empty channel.
type window struct {
	written   float64        // position behind the last line
	left      float64        // position up to which lines are known to have left
	estimate  float64        // lines that wait, by batches and by the told pace: for what can be put off
	sealed    float64        // position behind the last line that a mark follows
	batches   map[int]*batch // by mark
	lastMark  int            // before it was cut to markNames
	reckoned  float64        // until when passing time is reckoned in
	stalled   float64        // how long the channel took nothing, as last told; 0: it takes orders
	heardAt   float64        // when the last answer came; 0: none has
	busySince float64        // since when lines have been in flight
	sealedAt  float64        // when the last mark went out
	probes    float64        // since the last answer
}

// batch is what went out with a mark.
type batch struct {
	ordered  float64         // when the oldest of its lines was ordered
	sealed   float64         // when its mark was
	before   float64         // position of its first line
	lines    float64         // how many
	left     float64         // how many of them are known to have left
	each     map[int]float64 // lines to each proxy
	answered map[int]bool    // proxies that have
	repeated bool            // it goes out again,
	again    int             // under this mark
}

// inFlight returns how many lines may wait in the channel at most.
func (w *window) inFlight() float64 { return w.written - w.left }

// spend notes that lines are put into the channel.
func (w *window) spend(lines float64) {
	w.written += lines
	w.estimate += lines
}

// pass reckons with the time since the last call. Lines in flight come down by it only while there is nobody to answer.
func (w *window) pass(now, linesPerMs float64) {
	span := now - w.reckoned
	if w.stalled > 0 {
		span = math.Min(span, 0)
	}
	gone := span * linesPerMs * clockPart
	w.reckoned = now
	w.estimate = math.Max(0, w.estimate-gone)
	if w.inFlight() <= 0 {
		w.busySince = now
	}
	if w.heardAt == 0 || now-math.Max(w.heardAt, w.busySince) > lastingMs {
		w.left = math.Min(w.written, w.left+gone)
	}
}

// seal puts a mark behind all lines spent since the last one and returns its number. Each tells which proxies they go to.
func (w *window) seal(now float64, each map[int]float64) (mark int) {
	maps.DeleteFunc(w.batches, func(_ int, m *batch) bool { return now-m.sealed > lastingMs })
	mark = w.add(now, &batch{ordered: now, before: w.sealed, lines: w.written - w.sealed, each: each})
	w.sealed = w.written
	return mark
}

// add gives a batch a mark that no other batch has.
func (w *window) add(now float64, m *batch) (mark int) {
	if w.batches == nil {
		w.batches = map[int]*batch{}
	}
	w.lastMark = max(int(now), w.lastMark+1)
	mark = w.lastMark % markNames
	m.sealed, m.answered = now, map[int]bool{}
	w.batches[mark], w.sealedAt = m, now
	return mark
}

// answer notes that a proxy has applied everything up to a mark, and returns when the lines before it were ordered.
func (w *window) answer(now float64, mark, proxy int) (ordered float64, known bool) {
	m := w.batches[mark]
	if m == nil || m.answered[proxy] {
		return 0, false
	}
	m.answered[proxy] = true
	m.left += m.each[proxy]
	w.heardAt, w.probes = now, 0
	w.left = math.Max(w.left, math.Min(w.written, m.before+m.left))
	w.estimate = math.Min(w.estimate, w.written-m.before)
	return m.ordered, true
}

// stall notes that the channel has taken nothing for so long, or, with 0, that it takes orders again. Lines that were
// reckoned to have left meanwhile have not.
func (w *window) stall(now, forMs float64) {
	w.stalled, w.reckoned = forMs, now+forMs
}

// join makes one batch of those that go out as one call, under the newest mark, as each proxy gets one message of all.
func (w *window) join(marks []int) {
	parts := w.pending(marks)
	newest := -1
	for _, number := range marks {
		if m := parts[number]; m != nil && (newest < 0 || m.before > parts[newest].before) {
			newest = number
		}
	}
	if newest < 0 {
		return // it goes out under an older mark, whose answers are taken to be to the first time
	}
	for _, number := range slices.Sorted(maps.Keys(parts)) {
		if number != newest {
			parts[newest].absorb(parts[number])
			delete(w.batches, number)
		}
	}
}

// pending returns by mark what a call with some marks brings. Of what goes out again that is the last repetition, also if
// its own mark comes too late for the call.
func (w *window) pending(marks []int) map[int]*batch {
	parts := map[int]*batch{}
	for _, number := range marks {
		m := w.batches[number]
		for m != nil && m.repeated {
			number = m.again
			m = w.batches[number]
		}
		if m != nil {
			parts[number] = m
		}
	}
	return parts
}

// absorb takes in an older batch that goes out in the same call.
func (m *batch) absorb(older *batch) {
	m.before = math.Min(m.before, older.before)
	m.ordered = math.Min(m.ordered, older.ordered)
	m.lines += older.lines
	m.each = maps.Clone(m.each)
	for proxy, lines := range older.each {
		m.each[proxy] += lines
	}
}

// repeat notes that a call may have crossed and goes out again: its lines count once more, behind the first time and
// before all that is newer. Its new mark tells the two apart; ok is false where nothing is known of the call.
func (w *window) repeat(now float64, marks []int) (mark int, ok bool) {
	w.join(marks)
	var first *batch
	for _, m := range w.pending(marks) {
		if first == nil || m.before > first.before {
			first = m
		}
	}
	if first == nil {
		return 0, false
	}
	at := first.before + first.lines
	for _, m := range w.batches {
		if m != first && m.before >= at {
			m.before += first.lines
		}
	}
	w.spend(first.lines)
	w.sealed += first.lines
	mark = w.add(now, &batch{ordered: first.ordered, before: at, lines: first.lines, each: first.each})
	first.repeated, first.again = true, mark
	return mark, true
}

// probeAt returns when a sender that the count holds back should put a small batch into the channel all the same, as
// TCP's persist timer does at a shut window: its answer shows what has left. First is the wait after the last sign of
// life; it doubles with each probe that brings no answer.
func (w *window) probeAt(first float64) float64 {
	return math.Max(w.heardAt, w.sealedAt) + first*math.Exp2(w.probes)
}

// probed notes that a probe goes out.
func (w *window) probed() { w.probes = math.Min(w.probes+1, mostProbeWaits) }
