package planner

// This file keeps account of the channel, as a transport's send window does of a connection: which lines may still
// wait in it. It makes no decisions; flowcontrol.go does.

import (
	"maps"
	"math"
	"slices"
)

const (
	// lineLifetimeMs is how long a request for an acknowledgement stays open, and how long an unavailable endpoint
	// may still be in a proxy's tables.
	lineLifetimeMs = 30000.0

	// ackNumberModulus bounds the numbers of requests for an acknowledgement; they start again from 0.
	ackNumberModulus = 65535

	// maxProbeDoublings bounds how often the wait between probes doubles.
	maxProbeDoublings = 4

	// unackedRateFraction is the fraction of the configured pace at which lines are assumed to leave without an
	// acknowledgement.
	unackedRateFraction = 0.25
)

// sendWindow is the account of the channel. Lines have positions in the order in which they go out. A request for an
// acknowledgement goes out behind a batch of lines; since messages leave one after another, an acknowledgement proves
// that everything before its batch has left, and that proxy's own lines of it. What is in flight is never taken to be
// less than it is: lines that may have crossed twice count twice, and acknowledgements that were lost leave the count
// too high. It comes down with any acknowledgement of a later batch, so a sender whom the count holds back has to
// probe: see nextProbeAt. The zero value is an empty channel. Times are in ms.
type sendWindow struct {
	written   float64        // position behind the last line
	delivered float64        // position up to which lines are known to have left
	queued    float64        // estimate of the lines that wait, by batches and pace, for lines that can be deferred
	sealed    float64        // position behind the last line of a batch
	batches   map[int]*batch // by the number of their request for an acknowledgement

	lastNumber int     // before it was reduced to ackNumbers
	advancedAt float64 // until when the passing of time is accounted for
	stalledMs  float64 // how long the channel took nothing, as last reported; 0: it takes commands
	ackedAt    float64 // when the last acknowledgement came; 0: none has
	busySince  float64 // since when lines have been in flight
	sealedAt   float64 // when the last batch went out
	probes     float64 // since the last acknowledgement
}

// batch is the lines that go out with one request for an acknowledgement.
type batch struct {
	orderedAt float64         // ms, when the oldest of its lines was ordered
	sealedAt  float64         // ms, when its request was
	start     float64         // position of its first line
	lines     float64         // how many
	delivered float64         // how many of them are known to have left
	linesTo   map[int]float64 // by proxy
	acked     map[int]bool    // proxies that have acknowledged it
	resent    bool            // it goes out again,
	resentAs  int             // under this number
}

// inFlight returns how many lines may wait in the channel at most.
func (w *sendWindow) inFlight() float64 { return w.written - w.delivered }

// add notes that lines are put into the channel.
func (w *sendWindow) add(lines float64) {
	w.written += lines
	w.queued += lines
}

// advance accounts for the time since the last call. It reduces the lines in flight only while there is nobody to
// acknowledge them.
func (w *sendWindow) advance(now, linesPerMs float64) {
	span := now - w.advancedAt
	if w.stalledMs > 0 {
		span = math.Min(span, 0)
	}
	assumedDelivered := span * linesPerMs * unackedRateFraction
	w.advancedAt = now
	w.queued = math.Max(0, w.queued-assumedDelivered)
	if w.inFlight() <= 0 {
		w.busySince = now
	}
	if w.ackedAt == 0 || now-math.Max(w.ackedAt, w.busySince) > lineLifetimeMs {
		w.delivered = math.Min(w.written, w.delivered+assumedDelivered)
	}
}

// seal makes a batch of all lines added since the last one and returns the number of its request for an
// acknowledgement. linesTo are those of each proxy.
func (w *sendWindow) seal(now float64, linesTo map[int]float64) (number int) {
	maps.DeleteFunc(w.batches, func(_ int, b *batch) bool { return now-b.sealedAt > lineLifetimeMs })
	number = w.register(now, &batch{orderedAt: now, start: w.sealed, lines: w.written - w.sealed, linesTo: linesTo})
	w.sealed = w.written
	return number
}

// register gives a batch a number that no other batch has.
func (w *sendWindow) register(now float64, b *batch) (number int) {
	if w.batches == nil {
		w.batches = map[int]*batch{}
	}
	w.lastNumber = max(int(now), w.lastNumber+1)
	number = w.lastNumber % ackNumberModulus
	b.sealedAt = now
	b.acked = map[int]bool{}
	w.batches[number] = b
	w.sealedAt = now
	return number
}

// acknowledge notes that a proxy has applied everything up to a batch, and returns when its lines were ordered.
func (w *sendWindow) acknowledge(now float64, number, proxy int) (orderedAt float64, known bool) {
	b := w.batches[number]
	if b == nil || b.acked[proxy] {
		return 0, false
	}
	b.acked[proxy] = true
	b.delivered += b.linesTo[proxy]
	w.ackedAt = now
	w.probes = 0
	w.delivered = math.Max(w.delivered, math.Min(w.written, b.start+b.delivered))
	w.queued = math.Min(w.queued, w.written-b.start)
	return b.orderedAt, true
}

// stall notes that the channel has taken nothing for so long, or, with 0, that it takes commands again. Lines that
// were assumed to have left meanwhile have not.
func (w *sendWindow) stall(now, durationMs float64) {
	w.stalledMs = durationMs
	w.advancedAt = now + durationMs
}

// mergeBatches makes one batch of those that go out as one call, under the newest number, as each proxy gets one message of
// all.
func (w *sendWindow) mergeBatches(numbers []int) {
	current := w.currentBatches(numbers)
	newest := -1
	for _, number := range numbers {
		if b := current[number]; b != nil && (newest < 0 || b.start > current[newest].start) {
			newest = number
		}
	}
	if newest < 0 {
		return // it goes out under an older number, whose acknowledgements are taken to be of the first time
	}
	for _, number := range slices.Sorted(maps.Keys(current)) {
		if number != newest {
			current[newest].merge(current[number])
			delete(w.batches, number)
		}
	}
}

// currentBatches returns by number the batches that a call with some numbers brings. Of what goes out again that is the last
// repetition, also if its own number comes too late for the call.
func (w *sendWindow) currentBatches(numbers []int) map[int]*batch {
	current := map[int]*batch{}
	for _, number := range numbers {
		b := w.batches[number]
		for b != nil && b.resent {
			number = b.resentAs
			b = w.batches[number]
		}
		if b != nil {
			current[number] = b
		}
	}
	return current
}

// merge takes in an older batch that goes out in the same call.
func (b *batch) merge(older *batch) {
	b.start = math.Min(b.start, older.start)
	b.orderedAt = math.Min(b.orderedAt, older.orderedAt)
	b.lines += older.lines
	b.linesTo = maps.Clone(b.linesTo)
	for proxy, lines := range older.linesTo {
		b.linesTo[proxy] += lines
	}
}

// resend notes that a call may have crossed and goes out again: its lines count once more, behind the first time and
// before all that is newer. Its new number distinguishes the two; ok is false where nothing is known of the call.
func (w *sendWindow) resend(now float64, numbers []int) (number int, ok bool) {
	w.mergeBatches(numbers)
	var original *batch
	for _, b := range w.currentBatches(numbers) {
		if original == nil || b.start > original.start {
			original = b
		}
	}
	if original == nil {
		return 0, false
	}
	start := original.start + original.lines
	w.shiftAfter(start, original)
	w.add(original.lines)
	w.sealed += original.lines
	number = w.register(now,
		&batch{orderedAt: original.orderedAt, start: start, lines: original.lines, linesTo: original.linesTo})
	original.resent = true
	original.resentAs = number
	return number, true
}

// shiftAfter moves the batches from a position on behind a repetition of another batch.
func (w *sendWindow) shiftAfter(start float64, repeated *batch) {
	for _, b := range w.batches {
		if b != repeated && b.start >= start {
			b.start += repeated.lines
		}
	}
}

// nextProbeAt returns when a sender that the count holds back should put a small batch into the channel all the same,
// as TCP's persist timer does at a shut window: its acknowledgement shows what has left. First is the wait after the
// last sign of life; it doubles with each probe that brings none.
func (w *sendWindow) nextProbeAt(firstWait float64) float64 {
	return math.Max(w.ackedAt, w.sealedAt) + firstWait*math.Exp2(w.probes)
}

// countProbe notes that a probe goes out.
func (w *sendWindow) countProbe() { w.probes = math.Min(w.probes+1, maxProbeDoublings) }
