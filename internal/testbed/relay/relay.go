// Package relay is the platform's relay on loopback for tests. It takes commands and publishes events over HTTP, makes
// one message for each proxy concerned, and sends the messages one after another at a fixed pace, so that tests see how
// full the channel gets and when each proxy stops sending to an endpoint. It can fail for a while. It knows one group
// of request classes, decides nothing, and never calls the pilot.
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
	Rate   float64 // requests a second
}

// Config is what a relay is started with.
type Config struct {
	Proxies        []Proxy
	StaticTable    map[string][]string // by zone: endpoints that its proxies send to before a table is assigned
	LinesPerSecond float64             // pace of the channel
	OverheadLines  int                 // lines that each message costs beside its own
	Transit        time.Duration       // from leaving the channel to the proxy
}

// proxyState is what a proxy has applied, and which table the relay has it on.
type proxyState struct {
	Proxy
	table    *int               // as commanded; nil before the first
	assigned bool               // as applied: sends by its lines, no longer by the static table
	lines    map[string]float64 // as applied: weights by endpoint
	excluded map[string]bool    // as applied
}

// Relay is a running relay.
type Relay struct {
	config Config
	sockets

	mu       sync.Mutex // guards what follows, and the event streams
	proxies  map[int]*proxyState
	tables   map[int]map[string]float64 // as commanded
	excluded map[string]bool            // as commanded

	// The channel, in lines.
	channelFreeAt time.Time // when everything in it has left
	waiting       int
	mostWaiting   int

	// Faults.
	failure       Failure
	executes      func(call int) bool // whether a call that fails is executed nevertheless
	calls         int                 // with commands, since the start or since the last failure began
	streamsBroken bool                // event streams are reset at once
}

// Start serves on a free port of the loopback address until Close.
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

// Calls returns how many calls with commands were read since the start or since the last failure began.
func (r *Relay) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Waiting returns the lines that wait in the channel now, and the most that ever did.
func (r *Relay) Waiting() (now, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting, r.mostWaiting
}

// AssignedCount returns how many proxies have applied a table.
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

// Senders returns the numbers of the proxies that still send to an endpoint, sorted.
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
