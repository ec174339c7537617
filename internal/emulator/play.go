// Package emulator plays days in virtual time: the shipped runtime, intake, channel and module, the followers and the
// audit of the rehearsal, around models of endpoints, ways and clients. One seed gives one order of events. Nothing here
// decides anything about routing.
package emulator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigousher/internal/audit"
	"indigousher/internal/controller"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// Play is one emulated day.
type Play struct {
	Scenario      *scenario.Scenario
	Decide        func(seed int64, terms map[string]any) controller.Decider // nil: the module
	WithoutPilots bool                                                      // no pilots: standing tables only
	Gossip        bool                                                      // pilots may tell each other
	KeepEvents    bool                                                      // all events are kept in the outcome
	Log           func(atMs float64, pilot, text string)                    // the module's lines; nil: nobody
	Trace         *Tracer                                                   // nil: none; it is for one run
	Audited       bool                                                      // false: no audit, for speed
}

// Run plays the day to its end, or until ctx ends.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	w := newWorld(p)
	took := stopwatch()
	w.startAll()
	w.scheduleClients()
	for _, t := range p.Scenario.Faults {
		w.At(milliseconds(t.At), func() {
			w.logEvent("rehearsal", eventlog.Event{What: eventlog.Note, Text: t.String()})
			w.playFault(t)
		})
	}
	end := milliseconds(p.Scenario.Length)
	longest := slices.Max(w.timeoutsMs)
	for at := 0.0; at < end+2*longest; {
		at = min(at+100, end+2*longest)
		w.Until(at)
		if w.err != nil {
			return nil, w.err
		}
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("the day was stopped: %w", err)
		}
	}
	return w.outcome(took()), nil
}

// Outcome is what a day left.
type Outcome struct {
	Report           *audit.Report
	Events           []eventlog.Event
	ClockEvents      uint64 // events of the clock
	Requests         uint64
	Attempts         uint64
	MaxQueueLines    int // in any pilot's channel
	MaxProxyMessages int // messages to one proxy within the span
	LinesSent        int // sent by all pilots
	Starts           map[string][]Start
	PilotMs          float64                 // real time of the pilots' turns
	ElapsedMs        float64                 // real time of all
	Latency          *hdrhistogram.Histogram // µs, of reqs that were done
	Load             map[string]float64      // busy part of each endpoint's cores over the day
	ZoneOf           map[string]string       // of endpoints
	Malformed        map[string]int
	Digest           uint64 // of all events: the same for the same day and program
}

func (w *World) outcome(tookMs float64) *Outcome {
	for _, s := range w.pilots {
		if s.process != nil {
			w.countStopped(s.process)
		}
		w.result.Starts[s.place.name] = s.Starts
	}
	for _, m := range w.endpoints {
		if w.result.ZoneOf[m.Name] = m.Zone; m.process != nil {
			w.result.Load[m.Name] = m.process.busyMs / max(1, w.now-m.process.startedAt) / float64(m.Cores)
		}
	}
	o := w.result
	o.Report, o.ClockEvents, o.Attempts, o.PilotMs, o.ElapsedMs, o.Digest = w.auditor.Report(), w.Events, w.Attempts, w.PilotMs, tookMs, w.digest.hash
	return o
}

// countStopped adds up what a pilot's process counted.
func (w *World) countStopped(r *pilotProcess) {
	c := r.core.Channel
	w.result.MaxQueueLines, w.result.MaxProxyMessages = max(w.result.MaxQueueLines, c.MaxLines), max(w.result.MaxProxyMessages, c.MaxMessages)
	w.result.LinesSent += c.Sent
}

// stopwatch returns how much real time has passed since, in ms.
func stopwatch() func() float64 {
	start := time.Now()
	return func() float64 { return float64(time.Since(start)) / float64(time.Millisecond) }
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
