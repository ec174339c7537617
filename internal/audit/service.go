package audit

import (
	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
)

// WindowMs is the width of a window of Service.Windows, in ms.
const WindowMs = 5000.0

// Outcomes of a request as a client logs them in Event.Text; any other is an error.
const (
	outcomeDone     = "done"
	outcomeRejected = "denied"
)

// Earnings is the sum of priority weights earned by answers, and of those asked for.
type Earnings struct{ Earned, Asked float64 }

// Share is earned over asked, 1 where nothing was asked.
func (e Earnings) Share() float64 {
	if e.Asked == 0 {
		return 1
	}
	return e.Earned / e.Asked
}

// Service is the priority weight of the answers within the latency objective, over that of all requests. A late answer
// earns the reduced weight of its class.
type Service struct {
	All     Earnings
	Windows []Earnings // by when the requests were sent, each WindowMs wide
	Kinds   []Earnings // by request class, in the order of the settings

	// Counts of requests by outcome. Late ones are among those done.
	Done, Denied, Errored int
	Late                  int
}

// serviceMeter adds up the service from the clients' events.
type serviceMeter struct {
	Service
	settings   *config.Common
	classIndex map[string]int     // by name
	askedAt    map[uint64]float64 // ms, by request; of those not answered yet
}

func newServiceMeter(settings *config.Common) *serviceMeter {
	s := &serviceMeter{
		Service:    Service{Kinds: make([]Earnings, len(settings.Kinds))},
		settings:   settings,
		classIndex: map[string]int{},
		askedAt:    map[uint64]float64{},
	}
	for i, class := range settings.Kinds {
		s.classIndex[class.Name] = i
	}
	return s
}

// record takes in an event; all but those of clients are ignored.
func (s *serviceMeter) record(e eventlog.Event) {
	switch e.What {
	case eventlog.Asked:
		s.askedAt[e.Req] = e.At
	case eventlog.Answered:
		s.recordAnswer(e)
	}
}

// recordAnswer adds the end of a request. Its service counts in the window in which the request was sent.
func (s *serviceMeter) recordAnswer(e eventlog.Event) {
	askedAt := s.askedAt[e.Req]
	delete(s.askedAt, e.Req)
	class, known := s.classIndex[e.Kind]
	if !known {
		return
	}
	asked := s.settings.Kinds[class].Payoff
	earned := s.earned(e, &s.settings.Kinds[class])
	window := int(askedAt / WindowMs)
	for len(s.Windows) <= window {
		s.Windows = append(s.Windows, Earnings{})
	}
	for _, sum := range []*Earnings{&s.All, &s.Windows[window], &s.Kinds[class]} {
		sum.Earned += earned
		sum.Asked += asked
	}
}

// earned counts the outcome of a request and returns the priority weight that it earned.
func (s *serviceMeter) earned(e eventlog.Event, class *config.RequestClass) float64 {
	switch e.Text {
	case outcomeDone:
		s.Done++
		if e.Value <= float64(class.ResponseTarget.Milliseconds()) {
			return class.Payoff
		}
		s.Late++
		return class.Payoff * class.LatePayoff
	case outcomeRejected:
		s.Denied++
	default:
		s.Errored++
	}
	return 0
}
