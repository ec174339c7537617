// Package relay implements a fake of the platform's relay for tests, on a loopback address. It receives commands and
// publishes events over HTTP. For each call it creates one message per affected proxy and sends the messages in order
// at a fixed rate, so that tests can observe how full the channel gets and when each proxy stops sending to an
// endpoint. Failures can be injected. The relay supports a single group of request classes and never calls the pilot.
package relay

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Proxy is a proxy connected to the relay.
type Proxy struct {
	Number int
	Zone   string
	Rate   float64 // requests per second
}

// Config holds the settings of a relay.
type Config struct {
	Proxies        []Proxy
	StaticTable    map[string][]string // by zone: endpoints that proxies send to before they have applied a table
	LinesPerSecond float64             // rate at which the channel sends lines
	OverheadLines  int                 // lines that each message takes in the channel in addition to its changes
	Transit        time.Duration       // time from leaving the channel until a message is applied by the proxy
}

// proxyState holds the table that is assigned to a proxy and the state that the proxy has applied.
type proxyState struct {
	Proxy
	table    *int               // number of the table assigned by the last command; nil before the first
	assigned bool               // whether the proxy has applied a table and no longer uses the static table
	lines    map[string]float64 // applied weights, by endpoint
	excluded map[string]bool    // applied exclusions, by endpoint
}

// Relay is a running relay.
type Relay struct {
	config Config
	sockets

	mu       sync.Mutex                 // guards the fields below and sockets.streams
	proxies  map[int]*proxyState        // by number of the proxy
	tables   map[int]map[string]float64 // commanded weights, by number of the table and endpoint
	excluded map[string]bool            // commanded exclusions, by endpoint

	// State of the channel.
	channelFreeAt time.Time // time at which all queued messages will have been sent
	waiting       int       // lines in the channel
	maxWaiting    int       // largest value of waiting since the start

	// Injected failures.
	failure       Failure
	executes      func(call int) bool // whether a call is executed although the relay fails, see Fail
	calls         int                 // number of calls with commands since Start or the last Fail
	streamsBroken bool                // new event streams are reset immediately
}

// Start starts a relay on a free port of the loopback address. It runs until Close.
func Start(config Config) (*Relay, error) {
	r := &Relay{
		config:   config,
		proxies:  map[int]*proxyState{},
		tables:   map[int]map[string]float64{},
		excluded: map[string]bool{},
	}
	for _, p := range config.Proxies {
		r.proxies[p.Number] = &proxyState{Proxy: p, lines: map[string]float64{}, excluded: map[string]bool{}}
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// Calls returns the number of calls with commands that were received since Start or the last call of Fail.
func (r *Relay) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Waiting returns the number of lines in the channel now and its maximum since the start.
func (r *Relay) Waiting() (now, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting, r.maxWaiting
}

// AssignedCount returns the number of proxies that have applied a table.
func (r *Relay) AssignedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, p := range r.proxies {
		if p.assigned {
			count++
		}
	}
	return count
}

// Senders returns the sorted numbers of the proxies that send to an endpoint according to the state they have applied.
func (r *Relay) Senders(endpoint string) (proxies []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, number := range slices.Sorted(maps.Keys(r.proxies)) {
		p := r.proxies[number]
		sends := p.lines[endpoint] > 0
		if !p.assigned {
			sends = slices.Contains(r.config.StaticTable[p.Zone], endpoint)
		}
		if sends && !p.excluded[endpoint] {
			proxies = append(proxies, number)
		}
	}
	return proxies
}
