package emulator

import (
	"math"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// stream is a proxy's stream to a pilot. It implements controller.Stream.
type stream struct {
	w            *World
	process      *proxyProcess
	pilot        *emulatedPilot
	pilotProcess *pilotProcess
	ended        bool
	unread       []func() // messages that a muted proxy has yet to apply
}

// isCurrent returns whether the stream goes to the proxy's present process.
func (s *stream) isCurrent() bool { return !s.ended && s.process.proxy.process == s.process }

// reachesPilot returns whether the pilot's process is still the one that the proxy joined.
func (s *stream) reachesPilot() bool {
	return s.pilotProcess != nil && s.pilot.process == s.pilotProcess
}

// sendDown brings something to the proxy.
func (s *stream) sendDown(deliver func()) {
	s.w.network.transmit(s.pilot.location, s.process.proxy.location, deliver)
}

// sendUp brings something to the pilot.
func (s *stream) sendUp(deliver func()) {
	s.w.network.transmit(s.process.proxy.location, s.pilot.location, func() {
		if !s.ended && s.reachesPilot() {
			deliver()
		}
	})
}

// Send brings a message with commands to the proxy. A muted proxy has its stream ended once it has read nothing for as
// long as it may.
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

// trace notes that a message leaves the channel, and returns what notes the further parts of its way; nil without a
// tracer.
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

// Ask brings the pilot's wishes for load reports to the proxy.
func (s *stream) Ask(pace *wire.Pace) error {
	s.sendDown(func() {
		if !s.ended && s.process.proxy.honorsReportRequests {
			s.process.reportRequest = routing.ReportRequest{MaxEndpoints: pace.MaxLines, ChangesOnly: pace.ChangedOnly}
			s.process.reportPeriodMs = math.Max(1, float64(pace.PeriodMs))
		}
	})
	return nil
}

// Close ends the stream from the pilot's side, once the present turn is over.
func (s *stream) Close(string) { s.w.After(0, func() { s.end(true) }) }

// end ends the stream on both sides: the pilot is notified, and the proxy dials again if it is to.
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

// streamsOf lists a pilot's streams, in the order of the proxies.
func (w *World) streamsOf(pilot *emulatedPilot) []*stream {
	var list []*stream
	for _, proxy := range w.proxies {
		if s := proxy.stream(); s != nil && pilot.streams[s] {
			list = append(list, s)
		}
	}
	return list
}
