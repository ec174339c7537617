package baseline

import (
	"maps"
	"slices"

	"indigousher/planner"
)

// weightFunc returns the weights of a proxy's table, by endpoint; the proxy does not matter where all share one table.
type weightFunc func(p *policy, proxy int) map[int]float64

// sharedTable is the table of all proxies, where they share one.
const sharedTable = 0

// renewTimer is the name of the timer for the next renewal of the tables.
const renewTimer = "again"

// policy is a routing policy. It knows the endpoint list, the joined proxies and the tables as last sent, and sends at
// once what differs.
type policy struct {
	seed          int64
	weights       weightFunc
	everyMs       float64 // how often the tables are renewed; 0: on changes of the endpoint list only
	ownTables     bool    // each proxy has a table of its own; otherwise all share one
	nextRenewalMs float64 // next renewal

	listed  map[int]planner.Entry
	ready   []int // endpoints that are ready, in order
	proxies map[int]planner.ProxyJoined
	tables  map[int]map[int]float64 // weights as sent, by table and endpoint

	utilization    map[int]float64 // as last reported, by endpoint
	feedbackWeight map[int]float64
	trueLoad       func(endpoint int) (busy float64, runs bool)
}

func newPolicy(n policySpec, seed int64) *policy {
	return &policy{
		seed:           seed,
		weights:        n.weights,
		everyMs:        n.everyMs,
		ownTables:      n.ownTables,
		listed:         map[int]planner.Entry{},
		proxies:        map[int]planner.ProxyJoined{},
		tables:         map[int]map[int]float64{},
		utilization:    map[int]float64{},
		feedbackWeight: map[int]float64{},
	}
}

// Handle follows the endpoint list, the proxies and the load reports, and returns what changes in the tables.
func (p *policy) Handle(nowMs float64, events []planner.Event) []planner.Command {
	listChanged, joined := p.apply(events)
	var commands []planner.Command
	isDue := p.everyMs > 0 && nowMs >= p.nextRenewalMs
	if isDue {
		p.nextRenewalMs = nowMs + p.everyMs
		commands = append(commands, planner.SetTimer{AtMs: p.nextRenewalMs, Name: renewTimer})
	}
	needsTables := p.ownTables && len(joined) > 0
	if listChanged || isDue || needsTables {
		commands = append(commands, p.updateTables()...)
	}
	for _, proxy := range joined {
		commands = append(commands, planner.AssignTable{Table: p.table(proxy), Proxy: proxy})
	}
	return commands
}

// apply takes in events. It returns whether the endpoint list changed, and the proxies that joined.
func (p *policy) apply(events []planner.Event) (listChanged bool, joined []int) {
	for _, event := range events {
		switch event := event.(type) {
		case planner.EndpointUpdate:
			p.updateList(event)
			listChanged = true
		case planner.ProxyJoined:
			p.proxies[event.Proxy] = event
			joined = append(joined, event.Proxy)
		case planner.ProxyLeft:
			delete(p.proxies, event.Proxy)
		case planner.EndpointStats:
			if utilization, reported := event.Load["util"]; reported {
				p.utilization[event.Endpoint] = utilization
			}
		}
	}
	return listChanged, joined
}

// Reconfigure does nothing: the policies read no settings.
func (p *policy) Reconfigure(map[string]any) {}

// table returns the number of a proxy's table.
func (p *policy) table(proxy int) int {
	if p.ownTables {
		return proxy + 1
	}
	return sharedTable
}

func (p *policy) updateList(update planner.EndpointUpdate) {
	if update.Mode == planner.Snapshot {
		clear(p.listed)
	}
	for _, entry := range update.Entries {
		p.listed[entry.Endpoint] = entry
	}
	p.ready = p.ready[:0]
	for _, endpoint := range slices.Sorted(maps.Keys(p.listed)) {
		if p.listed[endpoint].Phase == planner.Ready {
			p.ready = append(p.ready, endpoint)
		}
	}
}

// publish returns the commands that bring all tables to the weights they should have.
func (p *policy) updateTables() []planner.Command {
	if !p.ownTables {
		return p.updateTable(sharedTable, p.weights(p, 0))
	}
	var commands []planner.Command
	for _, proxy := range slices.Sorted(maps.Keys(p.proxies)) {
		commands = append(commands, p.updateTable(p.table(proxy), p.weights(p, proxy))...)
	}
	return commands
}

// publishTable returns the commands for one table: removals first.
func (p *policy) updateTable(table int, wanted map[int]float64) []planner.Command {
	sent := p.tables[table]
	if sent == nil {
		sent = map[int]float64{}
		p.tables[table] = sent
	}
	var commands []planner.Command
	for _, endpoint := range slices.Sorted(maps.Keys(sent)) {
		if wanted[endpoint] == 0 {
			delete(sent, endpoint)
			commands = append(commands, planner.SetWeight{Table: table, Endpoint: endpoint})
		}
	}
	for _, endpoint := range slices.Sorted(maps.Keys(wanted)) {
		if sent[endpoint] != wanted[endpoint] {
			sent[endpoint] = wanted[endpoint]
			commands = append(commands, planner.SetWeight{Table: table, Endpoint: endpoint, Weight: wanted[endpoint]})
		}
	}
	return commands
}
