package emulator

import (
	"math"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// stream is an emulated stream between a proxy process and a pilot process. It implements controller.Stream.
type stream struct {
	w            *World
	process      *proxyProcess
	pilot        *emulatedPilot
	pilotProcess *pilotProcess
	ended        bool
	unread       []func() // messages that a muted proxy has received but not yet applied
}

// isCurrent returns whether the stream is open and belongs to the proxy's current process.
func (s *stream) isCurrent() bool { return !s.ended && s.process.proxy.process == s.process }

// reachesPilot returns whether the pilot process that the proxy joined is still running.
func (s *stream) reachesPilot() bool {
	return s.pilotProcess != nil && s.pilot.process == s.pilotProcess
}

// sendDown calls deliver when a message sent now arrives at the proxy.
func (s *stream) sendDown(deliver func()) {
	s.w.network.transmit(s.pilot.location, s.process.proxy.location, deliver)
}

// sendUp calls deliver when a message sent now arrives at the pilot, unless the stream or the pilot's process has
// ended by then.
func (s *stream) sendUp(deliver func()) {
	s.w.network.transmit(s.process.proxy.location, s.pilot.location, func() {
		if !s.ended && s.reachesPilot() {
			deliver()
		}
	})
}

// Send sends a message with commands to the proxy. If the proxy is muted and still has unread messages after
// World.muteLimitMs, the stream ends. The error is always nil.
func (s *stream) Send(message *wire.Commands) error {
	traced := s.trace(message)
	sentAt := s.w.now
	s.sendDown(func() {
		if s.isCurrent() {
			traced.end(spanNetwork, sentAt)
			s.process.apply(s, message, traced)
		}
	})
	if s.process.proxy.muted {
		s.w.After(s.w.muteLimitMs, func() {
			if len(s.unread) > 0 {
				s.end(true)
			}
		})
	}
	return nil
}

// trace records in the trace that a message has left the channel. It returns a function that records its
// transmission and application, or nil if tracing is disabled.
func (s *stream) trace(message *wire.Commands) spanEnd {
	tracer := s.w.Trace
	if tracer == nil || s.pilotProcess == nil {
		return nil
	}
	proxy := s.process.proxy.location.name
	decidedAt := min(s.pilotProcess.startedAt+message.AtMs, s.w.now)
	decision := tracer.recordMessage(s.pilotProcess, proxy, decidedAt, message.CostLines)
	sentAt := s.w.now
	return func(name string, from float64) {
		tracer.recordChildSpan(decision, name, proxy, max(from, sentAt), s.w.now, message.CostLines)
	}
}

// RequestPace sends the pilot's request about the period and content of load reports to the proxy. The error is always nil.
func (s *stream) RequestPace(pace *wire.Pace) error {
	s.sendDown(func() {
		if !s.ended && s.process.proxy.honorsReportRequests {
			s.process.reportRequest = routing.ReportRequest{MaxEndpoints: pace.MaxLines, ChangesOnly: pace.ChangedOnly}
			s.process.reportPeriodMs = math.Max(1, float64(pace.PeriodMs))
		}
	})
	return nil
}

// Close ends the stream from the pilot's side after the current turn of the pilot's loop. The reason is ignored.
func (s *stream) Close(string) { s.w.After(0, func() { s.end(true) }) }

// end closes the stream on both sides. It notifies the pilot, and makes the proxy dial again if redial is set and
// the proxy's process is still running.
func (s *stream) end(redial bool) {
	if s.ended {
		return
	}
	s.ended = true
	delete(s.pilot.streams, s)
	if s.reachesPilot() {
		s.pilot.post(controller.ProxyLeft{Stream: s})
	}
	if s.process.stream != s {
		return
	}
	s.process.stream = nil
	proxy := s.process.proxy
	if proxy.process != s.process {
		return
	}
	proxy.logEvent(eventlog.Event{What: eventlog.Leave, Peer: s.pilot.location.name})
	if redial {
		s.process.redial(0)
	}
}

// streamsOf returns a pilot's open streams in the order of the proxies, so that runs are reproducible.
func (w *World) streamsOf(pilot *emulatedPilot) []*stream {
	var list []*stream
	for _, proxy := range w.proxies {
		if s := proxy.stream(); s != nil && pilot.streams[s] {
			list = append(list, s)
		}
	}
	return list
}
