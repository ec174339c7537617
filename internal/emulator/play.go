// Package emulator runs scenarios in virtual time. It combines production code (runtime, telemetry, channel,
// planner, the proxies' routing) and the audit of the rehearsal with models of endpoints, network and clients. Runs
// are deterministic: the same scenario and seed give the same order of events. The package itself makes no routing
// decisions.
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

// Play holds the options of one run of a scenario.
type Play struct {
	Scenario *scenario.Scenario
	// Decide creates the decider of a pilot; nil means the planner.
	Decide func(seed int64, settings map[string]any) controller.Decider
	// WithoutPilots starts no pilots, so that the proxies use their static tables throughout.
	WithoutPilots bool
	// Gossip delivers gossip messages between pilots; false drops them.
	Gossip bool
	// KeepEvents stores all events in Outcome.Events.
	KeepEvents bool
	// Audited checks the five rules of the audit during the run. Runs without the audit are faster.
	Audited bool
	// Log receives the planner's log lines, with the time of the run in ms; nil drops them.
	Log func(atMs float64, pilot, text string)
	// Trace receives the spans of the run; nil disables tracing. A tracer serves one run only.
	Trace *Tracer
}

// Outcome is the result of a run.
type Outcome struct {
	Report *audit.Report
	Events []eventlog.Event // only with Play.KeepEvents
	// Digest is a hash of all events. It is the same for each run of the same program with the same scenario.
	Digest uint64

	ClockEvents      uint64         // number of timers that fired
	Requests         uint64         // number of requests sent by clients
	Attempts         uint64         // number of attempts sent by proxies
	MaxQueueLines    int            // maximum queue length of any pilot's channel
	MaxProxyMessages int            // maximum number of messages to one proxy within the span of the message limit
	LinesSent        int            // number of lines sent by all pilots
	Malformed        map[string]int // number of malformed inputs to pilots, by reason

	Starts  map[string][]PilotStart // starts of the pilot processes, by name of the pilot
	Latency *hdrhistogram.Histogram // latency of successful requests, in µs
	Load    map[string]float64      // busy fraction of the cores since the endpoint's last start, by endpoint
	ZoneOf  map[string]string       // zone, by endpoint

	PilotMs   float64 // real time spent in the pilots' turns
	ElapsedMs float64 // real time of the whole run
}

// Latencies are recorded in µs, from 1 µs to ten minutes, with three significant digits.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 600_000_000
	latencySignificant = 3
)

// stepMs is the virtual time in ms between two checks for a cancelled context or a failed run.
const stepMs = 100

func newOutcome() *Outcome {
	return &Outcome{
		Latency:   hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificant),
		Load:      map[string]float64{},
		ZoneOf:    map[string]string{},
		Malformed: map[string]int{},
		Starts:    map[string][]PilotStart{},
	}
}

// Run runs the scenario to its end, or until ctx is cancelled. After the end of the scenario it continues for twice
// the longest client timeout, so that every request has an outcome.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	w := newWorld(p)
	elapsed := stopwatch()
	w.startAll()
	w.scheduleClients()
	w.scheduleFaults()
	end := milliseconds(p.Scenario.Length) + 2*slices.Max(w.timeoutsMs)
	for at := 0.0; at < end; {
		at = min(at+stepMs, end)
		w.AdvanceTo(at)
		if w.err != nil {
			return nil, w.err
		}
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("run of scenario %q cancelled: %w", p.Scenario.Name, err)
		}
	}
	return w.outcome(elapsed()), nil
}

// outcome completes the result at the end of a run.
func (w *World) outcome(elapsedMs float64) *Outcome {
	for _, pilot := range w.pilots {
		if pilot.process != nil {
			w.addPilotCounters(pilot.process)
		}
		w.result.Starts[pilot.location.name] = pilot.Starts
	}
	for _, endpoint := range w.endpoints {
		w.result.ZoneOf[endpoint.Name] = endpoint.Zone
		if process := endpoint.process; process != nil {
			w.result.Load[endpoint.Name] = process.busyMs / max(1, w.now-process.startedAt) / float64(endpoint.Cores)
		}
	}
	w.result.Report = w.auditor.Report()
	w.result.Digest = w.digest.hash
	w.result.ClockEvents = w.Events
	w.result.Attempts = w.Attempts
	w.result.PilotMs = w.PilotMs
	w.result.ElapsedMs = elapsedMs
	return w.result
}

// addPilotCounters adds the channel counters of a pilot process to the result. It is called when the process or the
// run ends.
func (w *World) addPilotCounters(process *pilotProcess) {
	channel := process.core.Channel
	w.result.MaxQueueLines = max(w.result.MaxQueueLines, channel.MaxLines)
	w.result.MaxProxyMessages = max(w.result.MaxProxyMessages, channel.MaxMessages)
	w.result.LinesSent += channel.LinesSent
}

// stopwatch returns a function that returns the real time in ms since the call of stopwatch.
func stopwatch() func() float64 {
	start := time.Now()
	return func() float64 { return milliseconds(time.Since(start)) }
}

// milliseconds converts a duration to ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
