// Package relay is a stand-in for the platform's relay on loopback. It takes orders and tells events over HTTP, lays one
// message out for each proxy concerned, and lets the messages leave one after another at a fixed pace, so that tests see
// how full the channel gets and when each proxy stops sending to an endpoint. It can fail for a while. It knows
// one group of request classes, decides nothing, and never calls the pilot.
package relay

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Proxy is a proxy that stands at the relay.
type Proxy struct {
	Number int
	Zone   string
	Rate   float64 // requests a second
}

// Config is what a relay is started with.
type Config struct {
	Proxies   []Proxy
	StaticTable  map[string][]string // endpoints that proxies of a zone send to before a table is bound
	LinesPerSecond float64             // pace of the channel
	OverheadLines int                 // lines that each message costs beside its own
	Transit   time.Duration       // from leaving the channel to the proxy
}

// command is one order of a call.
type command struct {
	Verb     string  `json:"verb"`
	Cluster  *int    `json:"cluster"`
	Endpoint string  `json:"endpoint"`
	Weight   float64 `json:"w"`
	Node     int     `json:"node"`
	Ticket   int     `json:"ticket"`
	Set      int     `json:"set"`
}

// change is one line of a message, or the mark at its end.
type change struct {
	clear    bool
	endpoint string
	weight   *float64 // nil: not a line of the table
	excluded      *bool    // nil: not a withdrawal
	ackRequest     int      // 0: none
}

// message is what one call brings to one proxy.
type message struct {
	proxy   int
	changes []change
	lines   int
}

// proxyState is what a proxy has applied, and which table the relay has it on.
type proxyState struct {
	Proxy
	table *int // as ordered
	assigned bool // as applied: sends by its lines, no longer by the standing ones
	lines map[string]float64
	excluded   map[string]bool
}

// Relay is a relay that runs.
type Relay struct {
	config    Config
	mu        sync.Mutex
	proxies   map[int]*proxyState
	tables    map[int]map[string]float64 // as ordered
	excluded map[string]bool            // as ordered
	channelFreeAt      time.Time                  // when the channel has sent all that waits
	waiting   int                        // lines in the channel
	mostWaiting      int                        // lines that ever were
	calls     int                        // calls that named at least one order
	failing   bool
	failure   Failure
	streamsBroken    bool                // event streams are reset at once
	executes  func(call int) bool // whether a call that gets no answer is carried out
	network
}

// Start serves on a free port of the loopback address.
func Start(config Config) (*Relay, error) {
	r := &Relay{config: config, proxies: map[int]*proxyState{}, tables: map[int]map[string]float64{},
		excluded: map[string]bool{}}
	for _, p := range config.Proxies {
		r.proxies[p.Number] = &proxyState{Proxy: p, lines: map[string]float64{}, excluded: map[string]bool{}}
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// Failure is a way in which the relay fails its calls.
type Failure int

// The failures.
const (
	None       Failure = iota
	Silent             // nothing is said, no events either
	Unreadable         // answers can't be read
	Resetting          // the connection of a call is reset once it is read
)

// Fail has the relay fail its calls until Recover. The n-th call read meanwhile, from 1, is carried out if carryOut says so.
func (r *Relay) Fail(how Failure, carryOut func(n int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure, r.executes, r.calls = how, carryOut, 0
}

// Recover has the relay answer again; connections of a silence are reset.
func (r *Relay) Recover() {
	r.mu.Lock()
	was := r.failure
	r.failure = None
	r.mu.Unlock()
	if was == Silent {
		r.resetAll()
	}
}

// BreakStreams resets the event streams and every new one, or lets them stand again. What happens meanwhile is not told.
func (r *Relay) BreakStreams(broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streamsBroken = broken
	for conn := range r.streams {
		if broken {
			reset(conn)
			delete(r.streams, conn)
		}
	}
}

// Calls returns how many calls with orders were read since the start or the last failure began.
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
	n := 0
	for _, p := range r.proxies {
		if p.assigned {
			n++
		}
	}
	return n
}

// Senders returns the proxies that still send to an endpoint.
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

// handleCall reads a call and returns what is said to it, and how it fails.
func (r *Relay) handleCall(body []byte) (answer string, failure Failure) {
	var call struct {
		Ops []command `json:"ops"`
	}
	err := json.Unmarshal(body, &call)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || call.Ops == nil {
		return `{"error":"malformed"}`, r.failure
	}
	if len(call.Ops) > 0 {
		r.calls++
	}
	if r.failure != None && !r.executes(r.calls) {
		return truncatedAnswer, r.failure
	}
	answer = fmt.Sprintf(`{"ok_count":%d}`, r.execute(call.Ops))
	if r.failure == Unreadable {
		answer = truncatedAnswer
	}
	return answer, r.failure
}

// truncatedAnswer is what a spoilt answer looks like.
const truncatedAnswer = `{"ok_cou`

func (r *Relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure == Silent
}

// execute carries orders out up to the first that names an unknown proxy, and returns how many it took.
func (r *Relay) execute(orders []command) (taken int) {
	messages := map[int]*message{}
	for _, o := range orders {
		if o.Verb == "USE" && r.proxies[o.Node] == nil {
			break
		}
		r.apply(o, messages)
		taken++
	}
	for _, number := range slices.Sorted(maps.Keys(messages)) {
		r.send(messages[number])
	}
	return taken
}

// apply changes the tables as ordered and adds to each proxy's message what the order brings it.
func (r *Relay) apply(o command, messages map[int]*message) {
	switch o.Verb {
	case "SET":
		weight := o.Weight
		r.table(*o.Cluster)[o.Endpoint] = weight
		r.addForUsers(messages, o.Cluster, change{endpoint: o.Endpoint, weight: &weight})
	case "DEL":
		clear(r.table(*o.Cluster))
		r.addForUsers(messages, o.Cluster, change{clear: true})
	case "USE":
		r.assign(messages, r.proxies[o.Node], *o.Cluster)
	case "OUT", "IN":
		out := o.Verb == "OUT"
		r.excluded[o.Endpoint] = out
		r.addForHolders(messages, o.Endpoint, change{endpoint: o.Endpoint, excluded: &out})
	case "LIMIT":
		r.addForUsers(messages, o.Cluster, change{})
	case "SYNC":
		for _, m := range messages {
			m.add(change{ackRequest: o.Ticket})
		}
	}
}

func (r *Relay) table(number int) map[string]float64 {
	if r.tables[number] == nil {
		r.tables[number] = map[string]float64{}
	}
	return r.tables[number]
}

// assign lays out a whole table and what of it is withdrawn.
func (r *Relay) assign(messages map[int]*message, p *proxyState, table int) {
	p.table = &table
	r.addFor(messages, p, change{clear: true})
	lines := r.table(table)
	for _, endpoint := range slices.Sorted(maps.Keys(lines)) {
		weight := lines[endpoint]
		r.addFor(messages, p, change{endpoint: endpoint, weight: &weight})
		if r.excluded[endpoint] {
			r.addFor(messages, p, change{endpoint: endpoint, excluded: &[]bool{true}[0]})
		}
	}
}

// addForUsers adds a change to the message of each proxy on a table, or of all proxies.
func (r *Relay) addForUsers(messages map[int]*message, table *int, c change) {
	for _, p := range r.proxies {
		if table == nil || p.table != nil && *p.table == *table {
			r.addFor(messages, p, c)
		}
	}
}

// addForHolders adds a change to the message of each proxy whose table names an endpoint.
func (r *Relay) addForHolders(messages map[int]*message, endpoint string, c change) {
	for _, p := range r.proxies {
		holds := slices.Contains(r.config.StaticTable[p.Zone], endpoint)
		if p.table != nil {
			holds = r.table(*p.table)[endpoint] > 0
		}
		if holds {
			r.addFor(messages, p, c)
		}
	}
}

func (r *Relay) addFor(messages map[int]*message, p *proxyState, c change) {
	if messages[p.Number] == nil {
		messages[p.Number] = &message{proxy: p.Number, lines: r.config.OverheadLines}
	}
	messages[p.Number].add(c)
}

func (m *message) add(c change) {
	m.changes = append(m.changes, c)
	m.lines++
}

// send puts a message into the channel: it leaves after all before it and is applied a transit later.
func (r *Relay) send(m *message) {
	r.waiting += m.lines
	r.mostWaiting = max(r.mostWaiting, r.waiting)
	now := time.Now()
	if r.channelFreeAt.Before(now) {
		r.channelFreeAt = now
	}
	r.channelFreeAt = r.channelFreeAt.Add(time.Duration(float64(m.lines) / r.config.LinesPerSecond * float64(time.Second)))
	leaves := r.channelFreeAt.Sub(now)
	time.AfterFunc(leaves, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.waiting -= m.lines
	})
	time.AfterFunc(leaves+r.config.Transit, func() { r.arrive(m) })
}

// arrive has a proxy apply a message and answer its marks.
func (r *Relay) arrive(m *message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxies[m.proxy]
	for _, c := range m.changes {
		switch {
		case c.clear:
			clear(p.lines)
			p.assigned = true
		case c.weight != nil:
			p.lines[c.endpoint] = *c.weight
		case c.excluded != nil:
			p.excluded[c.endpoint] = *c.excluded
		case c.ackRequest != 0:
			r.publish(fmt.Sprintf(`{"type":"applied","object":{"node":%d,"nonce":%d,"latency":%d}}`, m.proxy, c.ackRequest,
				r.config.Transit.Milliseconds()))
		}
	}
}
