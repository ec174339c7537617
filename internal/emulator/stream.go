package emulator

import (
	"math"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// stream is a proxy's to a pilot. It implements pilot.Stream.
type stream struct {
	w            *World
	process      *proxyProcess
	pilot        *emulatedPilot
	pilotProcess *pilotProcess
	ended        bool
	unread       []func() // messages that a proxy which does not read will apply
}

// Send brings orders down. A proxy that does not read has its stream cut once it has not read for the time it may.
func (s *stream) Send(o *wire.Orders) error {
	traced := func(string, float64) {}
	if t := s.w.Trace; t != nil && s.pilotProcess != nil {
		d, left := t.recordMessage(s.pilotProcess, s.process.proxy.place.name, min(s.pilotProcess.startedAt+o.AtMs, s.w.now), o.Lines), s.w.now
		traced = func(what string, from float64) {
			t.recordPart(d, what, s.process.proxy.place.name, max(from, left), s.w.now, o.Lines)
		}
	}
	left := s.w.now
	s.w.network.carry(s.pilot.place, s.process.proxy.place, func() {
		if !s.ended && s.process.proxy.process == s.process {
			traced("way", left)
			s.process.apply(s, o, traced)
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

// Ask brings a wish for reports down.
func (s *stream) Ask(m *wire.Pace) error {
	s.w.network.carry(s.pilot.place, s.process.proxy.place, func() {
		if !s.ended && s.process.proxy.heedsPace {
			s.process.reportRequest = routing.ReportRequest{Lines: m.Lines, Changes: m.Changes}
			s.process.reportPeriodMs = math.Max(1, float64(m.PeriodMs))
		}
	})
	return nil
}

// Close ends it from the pilot's side.
func (s *stream) Close(string) { s.w.After(0, func() { s.end(true) }) }

// sendUp brings something to the pilot.
func (s *stream) sendUp(do func()) {
	s.w.network.carry(s.process.proxy.place, s.pilot.place, func() {
		if !s.ended && s.pilot.process == s.pilotProcess && s.pilotProcess != nil {
			do()
		}
	})
}

// end ends it on both sides; the pilot hears of it, and the proxy dials again.
func (s *stream) end(redial bool) {
	if s.ended {
		return
	}
	s.ended = true
	delete(s.pilot.streams, s)
	if s.pilot.process == s.pilotProcess && s.pilotProcess != nil {
		s.pilot.post(controller.ProxyLeft{Stream: s})
	}
	if s.process.stream != s {
		return
	}
	s.process.stream = nil
	if s.process.proxy.process == s.process {
		s.w.logEvent(s.process.proxy.place.name, eventlog.Event{What: eventlog.Leave, Peer: s.pilot.place.name})
		if redial {
			s.process.redial(0)
		}
	}
}

// streamsOf lists a pilot's streams by proxy.
func (w *World) streamsOf(s *emulatedPilot) (list []*stream) {
	for _, p := range w.proxies {
		if p.process != nil && p.process.stream != nil && s.streams[p.process.stream] {
			list = append(list, p.process.stream)
		}
	}
	return list
}
