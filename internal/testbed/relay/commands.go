package relay

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Verbs of commands, as the platform's relay API names them.
const (
	setWeight    = "SET"
	clearTable   = "DEL"
	assignTable  = "USE"
	exclude      = "OUT"
	readmit      = "IN"
	setAdmission = "LIMIT"
	requestAck   = "SYNC"
)

// command is one command of a call. Which fields are used depends on the verb.
type command struct {
	Verb     string  `json:"verb"`
	Cluster  *int    `json:"cluster"` // number of a table; nil means all tables
	Endpoint string  `json:"endpoint"`
	Weight   float64 `json:"w"`
	Node     int     `json:"node"`   // number of a proxy
	Ticket   int     `json:"ticket"` // number of an ack request
	Set      int     `json:"set"`
}

// truncatedAnswer is the body of an answer that cannot be parsed: JSON that ends too early.
const truncatedAnswer = `{"ok_cou`

// handleCall executes the commands of a call and returns the answer and the current failure mode. While the relay
// fails, it executes only the calls that were selected in Fail.
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

// execute executes commands up to the first that names an unknown proxy and returns how many it executed. The caller
// must hold mu.
func (r *Relay) execute(commands []command) (executed int) {
	messages := map[int]*message{} // by proxy
	for _, c := range commands {
		if c.Verb == assignTable && r.proxies[c.Node] == nil {
			break
		}
		r.apply(c, messages)
		executed++
	}
	for _, number := range slices.Sorted(maps.Keys(messages)) {
		r.send(messages[number])
	}
	return executed
}

// apply executes one command on the tables and exclusions, and adds the resulting changes to the messages of the
// affected proxies. The caller must hold mu.
func (r *Relay) apply(c command, messages map[int]*message) {
	switch c.Verb {
	case setWeight:
		weight := c.Weight
		r.table(*c.Cluster)[c.Endpoint] = weight
		r.addForUsers(messages, c.Cluster, change{endpoint: c.Endpoint, weight: &weight})
	case clearTable:
		clear(r.table(*c.Cluster))
		r.addForUsers(messages, c.Cluster, change{clear: true})
	case assignTable:
		r.assign(messages, r.proxies[c.Node], *c.Cluster)
	case exclude, readmit:
		excluded := c.Verb == exclude
		r.excluded[c.Endpoint] = excluded
		r.addForHolders(messages, c.Endpoint, change{endpoint: c.Endpoint, excluded: &excluded})
	case setAdmission:
		r.addForUsers(messages, c.Cluster, change{}) // takes a line in the channel; admission levels are not simulated
	case requestAck:
		for _, m := range messages {
			m.add(change{ackRequest: c.Ticket})
		}
	}
}

// table returns the weights of a table by endpoint, and creates the table if necessary. The caller must hold mu.
func (r *Relay) table(number int) map[string]float64 {
	if r.tables[number] == nil {
		r.tables[number] = map[string]float64{}
	}
	return r.tables[number]
}

// assign makes a proxy use a table. It adds all lines of the table and the exclusions of its endpoints to the message
// of the proxy. The caller must hold mu.
func (r *Relay) assign(messages map[int]*message, p *proxyState, table int) {
	p.table = &table
	r.addFor(messages, p, change{clear: true})
	lines := r.table(table)
	for _, endpoint := range slices.Sorted(maps.Keys(lines)) {
		weight := lines[endpoint]
		r.addFor(messages, p, change{endpoint: endpoint, weight: &weight})
		if r.excluded[endpoint] {
			excluded := true
			r.addFor(messages, p, change{endpoint: endpoint, excluded: &excluded})
		}
	}
}

// addForUsers adds a change to the message of each proxy that uses a table, or of all proxies if table is nil. The
// caller must hold mu.
func (r *Relay) addForUsers(messages map[int]*message, table *int, c change) {
	for _, p := range r.proxies {
		if table == nil || p.table != nil && *p.table == *table {
			r.addFor(messages, p, c)
		}
	}
}

// addForHolders adds a change to the message of each proxy whose table contains an endpoint. The caller must hold mu.
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

// addFor adds a change to the message of one proxy and creates the message if necessary. The caller must hold mu.
func (r *Relay) addFor(messages map[int]*message, p *proxyState, c change) {
	if messages[p.Number] == nil {
		messages[p.Number] = &message{proxy: p.Number, lines: r.config.OverheadLines}
	}
	messages[p.Number].add(c)
}
