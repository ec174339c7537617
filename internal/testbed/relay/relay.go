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
	Standing  map[string][]string // endpoints that proxies of a zone send to before a table is bound
	LinesPerS float64             // pace of the channel
	HeadLines int                 // lines that each message costs beside its own
	Transit   time.Duration       // from leaving the channel to the proxy
}

// order is one order of a call.
type order struct {
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
	out      *bool    // nil: not a withdrawal
	mark     int      // 0: none
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
	bound bool // as applied: sends by its lines, no longer by the standing ones
	lines map[string]float64
	out   map[string]bool
}

// Relay is a relay that runs.
type Relay struct {
	config    Config
	mu        sync.Mutex
	proxies   map[int]*proxyState
	tables    map[int]map[string]float64 // as ordered
	withdrawn map[string]bool            // as ordered
	free      time.Time                  // when the channel has sent all that waits
	waiting   int                        // lines in the channel
	most      int                        // lines that ever were
	calls     int                        // calls that named at least one order
	failing   bool
	failure   Failure
	broken    bool                // event streams are reset at once
	carryOut  func(call int) bool // whether a call that gets no answer is carried out
	network
}

// Start serves on a free port of the loopback address.
func Start(config Config) (*Relay, error) {
	r := &Relay{config: config, proxies: map[int]*proxyState{}, tables: map[int]map[string]float64{},
		withdrawn: map[string]bool{}}
	for _, p := range config.Proxies {
		r.proxies[p.Number] = &proxyState{Proxy: p, lines: map[string]float64{}, out: map[string]bool{}}
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
	r.failure, r.carryOut, r.calls = how, carryOut, 0
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
	r.broken = broken
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
	return r.waiting, r.most
}

// Bound returns how many proxies have applied a table.
func (r *Relay) Bound() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.proxies {
		if p.bound {
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
		if !p.bound {
			sends = slices.Contains(r.config.Standing[p.Zone], endpoint)
		}
		if sends && !p.out[endpoint] {
			proxies = append(proxies, number)
		}
	}
	return proxies
}

// take reads a call and returns what is said to it, and how it fails.
func (r *Relay) take(body []byte) (answer string, failure Failure) {
	var call struct {
		Ops []order `json:"ops"`
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
	if r.failure != None && !r.carryOut(r.calls) {
		return unreadable, r.failure
	}
	answer = fmt.Sprintf(`{"ok_count":%d}`, r.carry(call.Ops))
	if r.failure == Unreadable {
		answer = unreadable
	}
	return answer, r.failure
}

// unreadable is what a spoilt answer looks like.
const unreadable = `{"ok_cou`

func (r *Relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure == Silent
}

// carry carries orders out up to the first that names an unknown proxy, and returns how many it took.
func (r *Relay) carry(orders []order) (taken int) {
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
func (r *Relay) apply(o order, messages map[int]*message) {
	switch o.Verb {
	case "SET":
		weight := o.Weight
		r.table(*o.Cluster)[o.Endpoint] = weight
		r.toUsers(messages, o.Cluster, change{endpoint: o.Endpoint, weight: &weight})
	case "DEL":
		clear(r.table(*o.Cluster))
		r.toUsers(messages, o.Cluster, change{clear: true})
	case "USE":
		r.bind(messages, r.proxies[o.Node], *o.Cluster)
	case "OUT", "IN":
		out := o.Verb == "OUT"
		r.withdrawn[o.Endpoint] = out
		r.toHolders(messages, o.Endpoint, change{endpoint: o.Endpoint, out: &out})
	case "LIMIT":
		r.toUsers(messages, o.Cluster, change{})
	case "SYNC":
		for _, m := range messages {
			m.add(change{mark: o.Ticket})
		}
	}
}

func (r *Relay) table(number int) map[string]float64 {
	if r.tables[number] == nil {
		r.tables[number] = map[string]float64{}
	}
	return r.tables[number]
}

// bind lays out a whole table and what of it is withdrawn.
func (r *Relay) bind(messages map[int]*message, p *proxyState, table int) {
	p.table = &table
	r.to(messages, p, change{clear: true})
	lines := r.table(table)
	for _, endpoint := range slices.Sorted(maps.Keys(lines)) {
		weight := lines[endpoint]
		r.to(messages, p, change{endpoint: endpoint, weight: &weight})
		if r.withdrawn[endpoint] {
			r.to(messages, p, change{endpoint: endpoint, out: &[]bool{true}[0]})
		}
	}
}

// toUsers adds a change to the message of each proxy on a table, or of all proxies.
func (r *Relay) toUsers(messages map[int]*message, table *int, c change) {
	for _, p := range r.proxies {
		if table == nil || p.table != nil && *p.table == *table {
			r.to(messages, p, c)
		}
	}
}

// toHolders adds a change to the message of each proxy whose table names an endpoint.
func (r *Relay) toHolders(messages map[int]*message, endpoint string, c change) {
	for _, p := range r.proxies {
		holds := slices.Contains(r.config.Standing[p.Zone], endpoint)
		if p.table != nil {
			holds = r.table(*p.table)[endpoint] > 0
		}
		if holds {
			r.to(messages, p, c)
		}
	}
}

func (r *Relay) to(messages map[int]*message, p *proxyState, c change) {
	if messages[p.Number] == nil {
		messages[p.Number] = &message{proxy: p.Number, lines: r.config.HeadLines}
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
	r.most = max(r.most, r.waiting)
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(float64(m.lines) / r.config.LinesPerS * float64(time.Second)))
	leaves := r.free.Sub(now)
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
			p.bound = true
		case c.weight != nil:
			p.lines[c.endpoint] = *c.weight
		case c.out != nil:
			p.out[c.endpoint] = *c.out
		case c.mark != 0:
			r.tell(fmt.Sprintf(`{"type":"applied","object":{"node":%d,"nonce":%d,"latency":%d}}`, m.proxy, c.mark,
				r.config.Transit.Milliseconds()))
		}
	}
}
