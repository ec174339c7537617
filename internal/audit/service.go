package audit

import (
	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
)

// WindowMs is the width of a window of service.
const WindowMs = 5000.0

// Earnings is the payoff earned and asked for.
type Earnings struct{ Earned, Asked float64 }

// Share is earned over asked, 1 where nothing was asked.
func (p Earnings) Share() float64 {
	if p.Asked == 0 {
		return 1
	}
	return p.Earned / p.Asked
}

// Service is the payoff answered within the response target, over the payoff asked for.
type Service struct {
	All                   Earnings
	Windows               []Earnings // by when reqs were asked
	Kinds                 []Earnings
	Done, Denied, Errored int
	Late                  int
}

// serviceMeter reckons the service from what clients say.
type serviceMeter struct {
	Service
	settings   *config.Common
	classIndex map[string]int
	askedAt    map[uint64]float64 // and not answered yet
}

func newServiceMeter(t *config.Common) *serviceMeter {
	s := &serviceMeter{Service: Service{Kinds: make([]Earnings, len(t.Kinds))}, settings: t, classIndex: map[string]int{}, askedAt: map[uint64]float64{}}
	for i, k := range t.Kinds {
		s.classIndex[k.Name] = i
	}
	return s
}

func (s *serviceMeter) record(e eventlog.Event) {
	switch e.What {
	case eventlog.Asked:
		s.askedAt[e.Req] = e.At
	case eventlog.Answered:
		s.recordAnswer(e)
	}
}

func (s *serviceMeter) recordAnswer(e eventlog.Event) {
	asked := s.askedAt[e.Req]
	delete(s.askedAt, e.Req)
	k, known := s.classIndex[e.Kind]
	if !known {
		return
	}
	kind, earned := s.settings.Kinds[k], 0.0
	switch e.Text {
	case "done":
		s.Done++
		earned = kind.Payoff
		if e.Value > float64(kind.ResponseTarget.Milliseconds()) {
			s.Late++
			earned *= kind.LatePayoff
		}
	case "denied":
		s.Denied++
	default:
		s.Errored++
	}
	w := int(asked / WindowMs)
	for len(s.Windows) <= w {
		s.Windows = append(s.Windows, Earnings{})
	}
	for _, p := range []*Earnings{&s.All, &s.Windows[w], &s.Service.Kinds[k]} {
		p.Earned += earned
		p.Asked += kind.Payoff
	}
}
