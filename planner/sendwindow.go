package planner

// This file tracks which lines may still be in the channel, as the send window of a transport protocol does for a
// connection. Decisions based on it are made in flowcontrol.go.

import (
	"maps"
	"math"
	"slices"
)

const (
	// lineLifetimeMs is how long a batch can be acknowledged after it was sent, and for how long an endpoint that
	// became unavailable may still be in a proxy's tables.
	lineLifetimeMs = 30000.0

	// ackNumberModulus is the value at which the numbers of requests for an acknowledgement wrap around to 0.
	ackNumberModulus = 65535

	// maxProbeDoublings limits how often the wait between probes doubles.
	maxProbeDoublings = 4

	// unackedRateFraction is the fraction of the channel's configured rate at which lines are assumed to leave it while
	// no acknowledgement arrives.
	unackedRateFraction = 0.25
)

// sendWindow tracks the lines in the channel. Lines have positions in the order in which they are sent. Each batch of
// lines ends with a request for an acknowledgement. Since the channel delivers messages in order, an acknowledgement
// proves that all lines before its batch have left the channel, and also the acknowledging proxy's lines of the batch.
// The number of lines in flight is never underestimated: lines that may have been sent twice count twice, and lost
// acknowledgements leave the number too high until a later batch is acknowledged. A sender that waits for room
// therefore has to send probes, see nextProbeAt. The zero value represents an empty channel. Times are in ms.
type sendWindow struct {
	written   float64        // position after the last line sent
	delivered float64        // position up to which all lines are known to have left the channel
	queued    float64        // estimated lines in the channel, by its rate; used to limit deferrable lines
	sealed    float64        // position after the last line of the latest batch
	batches   map[int]*batch // by the number of their request for an acknowledgement

	lastNumber int     // number of the latest batch, before the modulo operation
	advancedAt float64 // time up to which advance has updated the window
	stalledMs  float64 // how long the channel has accepted no commands, as last reported; 0 if it accepts them
	ackedAt    float64 // when the latest acknowledgement arrived; 0 if none has
	busySince  float64 // time since which lines have been in flight
	sealedAt   float64 // when the latest batch was sent
	probes     float64 // probes sent since the latest acknowledgement, up to maxProbeDoublings
}

// batch is a sequence of lines that ends with one request for an acknowledgement.
type batch struct {
	commandedAt float64         // ms, when the oldest of its lines was commanded
	sealedAt    float64         // ms, when its request for an acknowledgement was sent
	start       float64         // position of its first line
	lines       float64         // number of lines
	delivered   float64         // number of lines known to have left the channel
	linesTo     map[int]float64 // number of lines by proxy
	acked       map[int]bool    // proxies that have acknowledged it
	resent      bool            // it has been sent again, as batch resentAs
	resentAs    int             // number of the batch that repeats it, if resent
}

// inFlight returns the maximum number of lines that may still be in the channel.
func (w *sendWindow) inFlight() float64 { return w.written - w.delivered }

// add records that lines are sent to the channel.
func (w *sendWindow) add(lines float64) {
	w.written += lines
	w.queued += lines
}

// advance reduces the estimate of queued lines by those that may have left since the last call, assuming a fraction
// (unackedRateFraction) of the channel's rate. It reduces the lines in flight in the same way, but only if no
// acknowledgement has ever arrived, or none for lineLifetimeMs.
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

// seal ends a batch with all lines added since the previous batch and returns the number of its request for an
// acknowledgement. linesTo is the number of lines by proxy. Batches older than lineLifetimeMs are dropped.
func (w *sendWindow) seal(now float64, linesTo map[int]float64) (number int) {
	maps.DeleteFunc(w.batches, func(_ int, b *batch) bool { return now-b.sealedAt > lineLifetimeMs })
	number = w.register(now, &batch{commandedAt: now, start: w.sealed, lines: w.written - w.sealed, linesTo: linesTo})
	w.sealed = w.written
	return number
}

// register assigns a batch a new number, which increases with the time in ms so that no other batch has it.
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

// acknowledge records that a proxy has applied all its lines up to and including a batch. It returns when the oldest
// line of the batch was commanded. known is false if there is no such batch or the proxy has acknowledged it before.
func (w *sendWindow) acknowledge(now float64, number, proxy int) (commandedAt float64, known bool) {
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
	return b.commandedAt, true
}

// stall records that the channel has accepted no commands for durationMs or, if that is 0, that it accepts them again.
// The next call of advance takes back the lines that were assumed to have left during the stall.
func (w *sendWindow) stall(now, durationMs float64) {
	w.stalledMs = durationMs
	w.advancedAt = now + durationMs
}

// mergeBatches merges the batches that are sent in one call into the one with the newest number, because each proxy
// receives a single message for all of them.
func (w *sendWindow) mergeBatches(numbers []int) {
	current := w.currentBatches(numbers)
	newest := -1
	for _, number := range numbers {
		if b := current[number]; b != nil && (newest < 0 || b.start > current[newest].start) {
			newest = number
		}
	}
	if newest < 0 {
		return // all numbers are outdated by a resend; acknowledgements count for the first sending
	}
	for _, number := range slices.Sorted(maps.Keys(current)) {
		if number != newest {
			current[newest].merge(current[number])
			delete(w.batches, number)
		}
	}
}

// currentBatches returns the batches, by number, that a call with the given numbers contains. A batch that was resent
// is replaced by its latest repetition, even if the number of that repetition was assigned too late for the call.
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

// merge adds the lines of an older batch that is sent in the same call.
func (b *batch) merge(older *batch) {
	b.start = math.Min(b.start, older.start)
	b.commandedAt = math.Min(b.commandedAt, older.commandedAt)
	b.lines += older.lines
	b.linesTo = maps.Clone(b.linesTo)
	for proxy, lines := range older.linesTo {
		b.linesTo[proxy] += lines
	}
}

// resend records that a call is sent again although it may have been delivered. Its lines count a second time, at
// positions after those of the first sending and before all newer lines. The returned number identifies the second
// sending. ok is false if no batch of the call is known.
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
		&batch{commandedAt: original.commandedAt, start: start, lines: original.lines, linesTo: original.linesTo})
	original.resent = true
	original.resentAs = number
	return number, true
}

// shiftAfter increases the positions of all batches from start on by the length of a repeated batch, to insert its
// second sending there.
func (w *sendWindow) shiftAfter(start float64, repeated *batch) {
	for _, b := range w.batches {
		if b != repeated && b.start >= start {
			b.start += repeated.lines
		}
	}
}

// nextProbeAt returns when a sender that waits for room should send a small batch regardless, as TCP's persist timer
// does for a zero window: its acknowledgement shows which lines have left the channel. firstWait is the time in ms from
// the latest acknowledgement or batch to the first probe; the wait doubles with each unacknowledged probe.
func (w *sendWindow) nextProbeAt(firstWait float64) float64 {
	return math.Max(w.ackedAt, w.sealedAt) + firstWait*math.Exp2(w.probes)
}

// countProbe records that a probe is sent. The count is limited to maxProbeDoublings.
func (w *sendWindow) countProbe() { w.probes = math.Min(w.probes+1, maxProbeDoublings) }
