package brain

import (
	"maps"
	"math"
	"slices"
)

// Figures of the window.
const (
	lineLifetimeMs    = 30000.0 // a mark unanswered for longer is given up; so is what a proxy holds of one that left
	ackNumbers        = 65535   // marks are numbered below this, by their time
	maxProbeDoublings = 4       // doublings of the wait between probes
	unackedPacePart   = 0.25    // part of the told pace by which lines are taken to leave without an answer
)

// sendWindow is the account of the channel, as a transport's send window is of a connection: which lines may still wait in
// it. Lines have positions in the order in which they go out. A mark goes out behind a batch of lines; since messages
// leave one after another, an answer to a mark proves that everything before its batch has left, and that proxy's own
// lines of it. What is in flight is never taken to be less than it is: lines that may have crossed twice count twice, and
// answers that were lost leave the count too high. It comes down with any answer to a later mark, so a sender whom the
// count holds back has to probe: see probeAt. The zero value is an empty channel.
type sendWindow struct {
	written    float64        // position behind the last line
	delivered  float64        // position up to which lines are known to have left
	queued     float64        // lines that wait, by batches and by the told pace: for what can be put off
	sealed     float64        // position behind the last line that a mark follows
	batches    map[int]*batch // by mark
	lastNumber int            // before it was cut to markNames
	advancedAt float64        // until when passing time is reckoned in
	stalledMs  float64        // how long the channel took nothing, as last told; 0: it takes orders
	ackedAt    float64        // when the last answer came; 0: none has
	busySince  float64        // since when lines have been in flight
	sealedAt   float64        // when the last mark went out
	probes     float64        // since the last answer
}

// batch is what went out with a mark.
type batch struct {
	orderedAt float64         // when the oldest of its lines was ordered
	sealedAt  float64         // when its mark was
	start     float64         // position of its first line
	lines     float64         // how many
	delivered float64         // how many of them are known to have left
	linesTo   map[int]float64 // lines to each proxy
	acked     map[int]bool    // proxies that have
	resent    bool            // it goes out again,
	resentAs  int             // under this mark
}

// inFlight returns how many lines may wait in the channel at most.
func (w *sendWindow) inFlight() float64 { return w.written - w.delivered }

// add notes that lines are put into the channel.
func (w *sendWindow) add(lines float64) {
	w.written += lines
	w.queued += lines
}

// advance reckons with the time since the last call. Lines in flight come down by it only while there is nobody to answer.
func (w *sendWindow) advance(now, linesPerMs float64) {
	span := now - w.advancedAt
	if w.stalledMs > 0 {
		span = math.Min(span, 0)
	}
	gone := span * linesPerMs * unackedPacePart
	w.advancedAt = now
	w.queued = math.Max(0, w.queued-gone)
	if w.inFlight() <= 0 {
		w.busySince = now
	}
	if w.ackedAt == 0 || now-math.Max(w.ackedAt, w.busySince) > lineLifetimeMs {
		w.delivered = math.Min(w.written, w.delivered+gone)
	}
}

// seal puts a mark behind all lines spent since the last one and returns its number. Each tells which proxies they go to.
func (w *sendWindow) seal(now float64, each map[int]float64) (mark int) {
	maps.DeleteFunc(w.batches, func(_ int, m *batch) bool { return now-m.sealedAt > lineLifetimeMs })
	mark = w.register(now, &batch{orderedAt: now, start: w.sealed, lines: w.written - w.sealed, linesTo: each})
	w.sealed = w.written
	return mark
}

// register gives a batch a mark that no other batch has.
func (w *sendWindow) register(now float64, m *batch) (mark int) {
	if w.batches == nil {
		w.batches = map[int]*batch{}
	}
	w.lastNumber = max(int(now), w.lastNumber+1)
	mark = w.lastNumber % ackNumbers
	m.sealedAt, m.acked = now, map[int]bool{}
	w.batches[mark], w.sealedAt = m, now
	return mark
}

// acknowledge notes that a proxy has applied everything up to a mark, and returns when the lines before it were ordered.
func (w *sendWindow) acknowledge(now float64, mark, proxy int) (ordered float64, known bool) {
	m := w.batches[mark]
	if m == nil || m.acked[proxy] {
		return 0, false
	}
	m.acked[proxy] = true
	m.delivered += m.linesTo[proxy]
	w.ackedAt, w.probes = now, 0
	w.delivered = math.Max(w.delivered, math.Min(w.written, m.start+m.delivered))
	w.queued = math.Min(w.queued, w.written-m.start)
	return m.orderedAt, true
}

// stall notes that the channel has taken nothing for so long, or, with 0, that it takes orders again. Lines that were
// reckoned to have left meanwhile have not.
func (w *sendWindow) stall(now, forMs float64) {
	w.stalledMs, w.advancedAt = forMs, now+forMs
}

// join makes one batch of those that go out as one call, under the newest mark, as each proxy gets one message of all.
func (w *sendWindow) join(marks []int) {
	parts := w.current(marks)
	newest := -1
	for _, number := range marks {
		if m := parts[number]; m != nil && (newest < 0 || m.start > parts[newest].start) {
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

// current returns by mark what a call with some marks brings. Of what goes out again that is the last repetition, also if
// its own mark comes too late for the call.
func (w *sendWindow) current(marks []int) map[int]*batch {
	parts := map[int]*batch{}
	for _, number := range marks {
		m := w.batches[number]
		for m != nil && m.resent {
			number = m.resentAs
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
	m.start = math.Min(m.start, older.start)
	m.orderedAt = math.Min(m.orderedAt, older.orderedAt)
	m.lines += older.lines
	m.linesTo = maps.Clone(m.linesTo)
	for proxy, lines := range older.linesTo {
		m.linesTo[proxy] += lines
	}
}

// resend notes that a call may have crossed and goes out again: its lines count once more, behind the first time and
// before all that is newer. Its new mark tells the two apart; ok is false where nothing is known of the call.
func (w *sendWindow) resend(now float64, marks []int) (mark int, ok bool) {
	w.join(marks)
	var first *batch
	for _, m := range w.current(marks) {
		if first == nil || m.start > first.start {
			first = m
		}
	}
	if first == nil {
		return 0, false
	}
	at := first.start + first.lines
	for _, m := range w.batches {
		if m != first && m.start >= at {
			m.start += first.lines
		}
	}
	w.add(first.lines)
	w.sealed += first.lines
	mark = w.register(now, &batch{orderedAt: first.orderedAt, start: at, lines: first.lines, linesTo: first.linesTo})
	first.resent, first.resentAs = true, mark
	return mark, true
}

// nextProbeAt returns when a sender that the count holds back should put a small batch into the channel all the same, as
// TCP's persist timer does at a shut window: its answer shows what has left. First is the wait after the last sign of
// life; it doubles with each probe that brings no answer.
func (w *sendWindow) nextProbeAt(first float64) float64 {
	return math.Max(w.ackedAt, w.sealedAt) + first*math.Exp2(w.probes)
}

// probed notes that a probe goes out.
func (w *sendWindow) probed() { w.probes = math.Min(w.probes+1, maxProbeDoublings) }
