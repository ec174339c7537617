package baseline

import (
	"maps"
	"slices"

	"indigousher/planner"
)

// weightFunc returns the weights of a proxy's table, by endpoint. Policies with one shared table ignore the proxy.
type weightFunc func(p *policy, proxy int) map[int]float64

// sharedTable is the number of the table that all proxies share.
const sharedTable = 0

// renewTimer is the name of the timer that triggers the next renewal of the tables.
const renewTimer = "again"

// policy is a routing policy. It keeps the endpoint list, the connected proxies and the tables as last sent, and
// sends all changes of the tables at once.
type policy struct {
	seed          int64
	weights       weightFunc
	everyMs       float64 // interval in ms between renewals; 0: only on changes of the endpoint list
	ownTables     bool    // each proxy has its own table; false: all proxies share one
	nextRenewalMs float64 // time of the next renewal

	listed  map[int]planner.Entry       // the endpoint list, by endpoint
	ready   []int                       // ready endpoints, in ascending order
	proxies map[int]planner.ProxyJoined // connected proxies
	tables  map[int]map[int]float64     // weights as last sent, by table and endpoint

	utilization    map[int]float64                              // busy fraction last reported, by endpoint
	feedbackWeight map[int]float64                              // unrounded weights of the feedback policy
	trueLoad       func(endpoint int) (busy float64, runs bool) // for the oracle; nil: all endpoints idle
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

// Handle updates the state of the policy with events of the endpoint list, the proxies and the load reports, and
// returns the commands that change the tables.
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

// apply updates the state of the policy with events. It returns whether the endpoint list changed, and the proxies
// that joined.
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

// Reconfigure does nothing, because the policies have no settings.
func (p *policy) Reconfigure(map[string]any) {}

// table returns the number of a proxy's table.
func (p *policy) table(proxy int) int {
	if p.ownTables {
		return proxy + 1
	}
	return sharedTable
}

// updateList applies an update of the endpoint list.
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

// updateTables returns the commands that change all tables to the current weights of the policy.
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

// updateTable returns the commands that change one table to the wanted weights. Removals come first. A weight of 0
// removes an endpoint.
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
