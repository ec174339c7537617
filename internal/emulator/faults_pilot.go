package emulator

import (
	"indigousher/internal/scenario"
)

func (w *World) playPilotFault(t scenario.Fault) {
	var names []string
	by := map[string]*emulatedPilot{}
	for _, s := range w.pilots {
		names, by[s.place.name] = append(names, s.place.name), s
	}
	back := func(s *emulatedPilot) func() {
		return func() {
			if s.process == nil {
				s.start()
			}
		}
	}
	struck := t.Targets(names, w.random)
	for i, n := range struck {
		s := by[n]
		switch t.What {
		case "pilot_kill":
			s.stop(true)
			w.After(milliseconds(t.For), back(s))
		case "pilot_roll":
			w.After(float64(i)*(milliseconds(t.Extra)+milliseconds(t.Every)), func() {
				s.stop(false)
				w.After(milliseconds(t.Extra), back(s))
			})
		case "handover":
			w.handOver(s, w.now+milliseconds(t.For), max(milliseconds(t.Every), 1))
		case "pilot_pause":
			s.pausedUntil = w.now + milliseconds(t.For) // nobody hears of it meanwhile either
			w.setBlackhole(n, true)
			w.After(milliseconds(t.For), func() { w.setBlackhole(n, false) })
		case "reload":
			if s.process != nil {
				s.process.reload(t.Size)
			}
		}
	}
}

// handOver has one process after another take over: the old one ends in order and the new one begins.
func (w *World) handOver(s *emulatedPilot, until, every float64) {
	if w.now >= until {
		return
	}
	s.stop(false)
	w.After(1, func() {
		if s.process == nil {
			s.start()
		}
		w.After(every, func() { w.handOver(s, until, every) })
	})
}
