package audit

import (
	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
)

// WindowMs is the width of a window of service.
const WindowMs = 5000.0

// Part is the payoff earned and asked for.
type Part struct{ Earned, Asked float64 }

// Share is earned over asked, 1 where nothing was asked.
func (p Part) Share() float64 {
	if p.Asked == 0 {
		return 1
	}
	return p.Earned / p.Asked
}

// Service is the payoff answered within the response target, over the payoff asked for.
type Service struct {
	All                   Part
	Windows               []Part // by when reqs were asked
	Kinds                 []Part
	Done, Denied, Errored int
	Late                  int
}

// server reckons the service from what clients say.
type server struct {
	Service
	terms *config.Common
	kinds map[string]int
	asked map[uint64]float64 // and not answered yet
}

func newServer(t *config.Common) *server {
	s := &server{Service: Service{Kinds: make([]Part, len(t.Kinds))}, terms: t, kinds: map[string]int{}, asked: map[uint64]float64{}}
	for i, k := range t.Kinds {
		s.kinds[k.Name] = i
	}
	return s
}

func (s *server) take(e eventlog.Event) {
	switch e.What {
	case eventlog.Asked:
		s.asked[e.Req] = e.At
	case eventlog.Answered:
		s.answered(e)
	}
}

func (s *server) answered(e eventlog.Event) {
	asked := s.asked[e.Req]
	delete(s.asked, e.Req)
	k, known := s.kinds[e.Kind]
	if !known {
		return
	}
	kind, earned := s.terms.Kinds[k], 0.0
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
		s.Windows = append(s.Windows, Part{})
	}
	for _, p := range []*Part{&s.All, &s.Windows[w], &s.Service.Kinds[k]} {
		p.Earned += earned
		p.Asked += kind.Payoff
	}
}
