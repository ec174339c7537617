package controller

import (
	"errors"
	"fmt"

	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// scriptedDecider returns the next list of commands on each call and records the events and times that it receives.
type scriptedDecider struct {
	commands [][]planner.Command
	events   []planner.Event
	times    []float64
}

// Handle records its arguments and returns the next list of commands.
func (s *scriptedDecider) Handle(nowMs float64, events []planner.Event) []planner.Command {
	s.events = append(s.events, events...)
	s.times = append(s.times, nowMs)
	if len(s.commands) == 0 {
		return nil
	}
	o := s.commands[0]
	s.commands = s.commands[1:]
	return o
}

// Reconfigure does nothing.
func (s *scriptedDecider) Reconfigure(map[string]any) {}

// fakeTransport is a fake Stream, EndpointSource, HealthChecker and GossipSender that records the calls of its methods.
type fakeTransport struct {
	sent   []*wire.Commands
	closed string   // the reason passed to Close
	calls  []string // calls of the other methods
	full   bool     // Send fails
}

func (f *fakeTransport) Send(m *wire.Commands) error {
	if f.full {
		return errors.New("full")
	}
	f.sent = append(f.sent, m)
	return nil
}

func (f *fakeTransport) RequestPace(m *wire.Pace) error {
	f.calls = append(f.calls, fmt.Sprint("pace ", m.PeriodMs))
	return nil
}
func (f *fakeTransport) Close(reason string)   { f.closed = reason }
func (f *fakeTransport) Watch(on bool)         { f.calls = append(f.calls, fmt.Sprint("watch ", on)) }
func (f *fakeTransport) Fetch()                { f.calls = append(f.calls, "fetch") }
func (f *fakeTransport) Probe(endpoint string) { f.calls = append(f.calls, "probe "+endpoint) }
func (f *fakeTransport) Tell(peer int, text string) {
	f.calls = append(f.calls, fmt.Sprint("tell ", peer, " ", text))
}

// newOptions returns options that use one fake for all transports.
func newOptions(d Decider, transport *fakeTransport) Options {
	return Options{
		Decider:         d,
		Settings:        map[string]any{"slices": 16.0},
		Zones:           []string{"a", "b"},
		Machines:        []string{"std"},
		Classes:         []string{"read", "book"},
		MessageOverhead: 4,
		MessageWindowMs: 10000,
		Telemetry:       telemetry.Options{PeriodMs: 1000, HalfLifeMs: 1e9, MaxAgeMs: 60000},
		MaxProxies:      3,
		EndpointSource:  transport,
		HealthChecker:   transport,
		Gossip:          transport,
		Log:             func(t string) { transport.calls = append(transport.calls, "log "+t) },
		Malformed:       func(what string, _ ...string) { transport.calls = append(transport.calls, "malformed "+what) },
	}
}

// hello returns the hello of a proxy that holds the given endpoints.
func hello(name, zone string, holds ...string) wire.Hello {
	return wire.Hello{Version: 1, Proxy: name, Zone: zone, Rate: 2, Fresh: true, Holds: holds}
}

// listed returns an endpoint list whose clock shows 5000 ms.
func listed(whole bool, entries ...wire.Entry) EndpointsListed {
	return EndpointsListed{List: &wire.List{Version: 7, Now: 5000, Whole: whole, Entries: entries}}
}

// entry returns an endpoint of zone b that started at the given time on the list's clock, in ms.
func entry(name string, started uint64) wire.Entry {
	return wire.Entry{Endpoint: name, Zone: "b", Machine: "std", Weight: 2, Started: started}
}

// oneShotDecider records the events that it receives and returns its commands on the next call only.
type oneShotDecider struct {
	events   []planner.Event
	commands []planner.Command
}

func (s *oneShotDecider) Handle(_ float64, events []planner.Event) []planner.Command {
	s.events = append(s.events, events...)
	o := s.commands
	s.commands = nil
	return o
}

// Reconfigure does nothing.
func (s *oneShotDecider) Reconfigure(map[string]any) {}

// recordingRelay is a Relay that records what it receives.
type recordingRelay struct {
	commands int // number of commands received
	left     []int
	names    map[string]bool
}

func (c *recordingRelay) Enqueue(turn []planner.Command, endpoint func(int) string) {
	c.commands += len(turn)
	for _, o := range turn {
		if l, ok := o.(planner.SetWeight); ok {
			c.names[endpoint(l.Endpoint)] = true
		}
	}
}
func (c *recordingRelay) ProxyLeft(proxy int) { c.left = append(c.left, proxy) }

// newRelayCore returns a core whose proxies are connected through the returned relay.
func newRelayCore(d Decider) (*Core, *recordingRelay) {
	relay := &recordingRelay{names: map[string]bool{}}
	return NewCore(Options{
		Decider:    d,
		Settings:   map[string]any{},
		Zones:      []string{"a", "b"},
		Machines:   []string{"m"},
		Classes:    []string{"read"},
		MaxProxies: 10,
		Relay:      relay,
		Log:        func(string) {},
		Malformed:  func(string, ...string) {},
	}), relay
}
