package audit

import (
	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
)

// WindowMs is the length in ms of each time window of Service.Windows.
const WindowMs = 5000.0

// Outcomes of a request as clients log them in Event.Text. Any other text counts as an error.
const (
	outcomeDone     = "done"
	outcomeRejected = "denied"
)

// Earnings compares the priority weight that answers earned (Earned) with that of all requests (Asked).
type Earnings struct{ Earned, Asked float64 }

// Share returns Earned as a fraction of Asked, or 1 if there were no requests.
func (e Earnings) Share() float64 {
	if e.Asked == 0 {
		return 1
	}
	return e.Earned / e.Asked
}

// Service measures how well clients were served: the priority weight of the answers within the latency objective,
// compared with that of all requests. A late answer earns the reduced weight of its request class.
type Service struct {
	All     Earnings   // of the whole run
	Windows []Earnings // by time window in which the requests were sent; each is WindowMs long
	Kinds   []Earnings // by request class, in the order of the settings

	// Numbers of requests that succeeded, were rejected and failed.
	Succeeded, Rejected, Failed int
	// Late is the number of succeeded requests that missed the latency objective; Succeeded includes them.
	Late int
}

// serviceMeter computes the service from the clients' events.
type serviceMeter struct {
	Service
	settings   *config.Common
	classIndex map[string]int     // index of a request class in the settings, by name
	askedAt    map[uint64]float64 // send time in ms of each unanswered request, by request ID
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

// record processes an event. Events that do not come from clients are ignored.
func (s *serviceMeter) record(e eventlog.Event) {
	switch e.What {
	case eventlog.Asked:
		s.askedAt[e.Req] = e.At
	case eventlog.Answered:
		s.recordAnswer(e)
	}
}

// recordAnswer adds an answered request to the service. It counts in the window in which the request was sent. Requests
// of a class that is not in the settings are ignored.
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

// earned counts the outcome of a request and returns the priority weight that it earned, which is 0 if the request was
// rejected or failed.
func (s *serviceMeter) earned(e eventlog.Event, class *config.RequestClass) float64 {
	switch e.Text {
	case outcomeDone:
		s.Succeeded++
		if e.Value <= float64(class.ResponseTarget.Milliseconds()) {
			return class.Payoff
		}
		s.Late++
		return class.Payoff * class.LatePayoff
	case outcomeRejected:
		s.Rejected++
	default:
		s.Failed++
	}
	return 0
}
