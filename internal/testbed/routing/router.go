// Package routing implements the routing of a proxy that is controlled by a pilot: it stores the tables, admission
// levels and exclusions received from the pilot, picks an endpoint for each attempt, ejects endpoints that fail, and
// aggregates load reports. It uses no I/O, clock or goroutines, so that the testbed's socket-based proxy and the
// simulated proxy in virtual time can share it.
package routing

import (
	"maps"
	"math/rand/v2"
	"slices"

	"indigousher/internal/wire"
)

// randomStream is the second word of the random generator's seed. It makes the router's random numbers independent of
// those of its proxy, which uses the same first word.
const randomStream = 3

// Router is the routing state of one process of a proxy. It is not safe for concurrent use.
type Router struct {
	policy Policy
	random *rand.Rand

	// Tables. byClass[c] is the table that requests of class c use, unless their key falls into one of the ranges.
	tables         map[int]*table // tables of the current stream, by number
	previousTables map[int]*table // tables of the previous stream, which a pilot may reuse
	byClass        []*table
	assigned       []bool     // by class: whether the current stream has assigned a table to the class
	ranges         []keyRange // sorted by first key

	// Excluded endpoints. Exclusions of the previous stream apply to classes that the current stream has not assigned a
	// table yet.
	excluded           map[string]bool
	previouslyExcluded map[string]bool

	admissionOfAll map[int]admission // settings that apply to all tables, by class mask

	// Attempts in flight, failures and ejections, by endpoint.
	inFlight            map[string]int
	consecutiveFailures map[string]int
	ejectedUntilMs      map[string]float64
	lastEjectionEndsMs  float64 // time at which the latest ejection of any endpoint ends, in ms

	// Statistics for the next load report.
	stats        map[string]*endpointStats
	demand       map[string]*wire.RequestStats
	sliceDemand  map[sliceClass]*wire.SliceStats
	lastReportMs float64
	reportSeq    uint64 // sequence number of the last report in the current stream; 0 before the first
}

// NewRouter returns a router without tables from a pilot: all classes share one static table in which every endpoint
// has the same weight.
func NewRouter(policy Policy, staticEndpoints []string, seed uint64) *Router {
	r := &Router{
		policy:              policy,
		random:              rand.New(rand.NewPCG(seed, randomStream)),
		tables:              map[int]*table{},
		byClass:             make([]*table, len(policy.Classes)),
		assigned:            make([]bool, len(policy.Classes)),
		excluded:            map[string]bool{},
		previouslyExcluded:  map[string]bool{},
		admissionOfAll:      map[int]admission{},
		inFlight:            map[string]int{},
		consecutiveFailures: map[string]int{},
		ejectedUntilMs:      map[string]float64{},
		stats:               map[string]*endpointStats{},
		demand:              map[string]*wire.RequestStats{},
		sliceDemand:         map[sliceClass]*wire.SliceStats{},
	}
	static := newTable()
	for _, endpoint := range staticEndpoints {
		static.lines[endpoint] = 1
	}
	for class := range r.byClass {
		r.byClass[class] = static
	}
	return r
}

// StreamJoined resets the state that belongs to one stream, after the proxy has joined a pilot. Each class keeps its
// table and its excluded endpoints until the new stream assigns it a table. Table numbers and the admission settings
// for all tables are dropped. Slices keep their tables and table numbers until the pilot changes them.
func (r *Router) StreamJoined() {
	defer r.invalidateCandidates()
	r.previousTables = r.tables
	r.tables = map[int]*table{}
	r.reportSeq = 0
	maps.Copy(r.previouslyExcluded, r.excluded)
	r.excluded = map[string]bool{}
	r.admissionOfAll = map[int]admission{}
	clear(r.assigned)
	for _, keys := range r.ranges {
		if t := r.previousTables[keys.table]; t != nil {
			r.tables[keys.table] = t
		}
	}
}

// Fresh reports whether the router holds no table that the current or last stream has assigned or kept.
func (r *Router) Fresh() bool { return len(r.tables) == 0 && !slices.Contains(r.assigned, true) }

// Endpoints returns the sorted names of the endpoints in all tables in use.
func (r *Router) Endpoints() []string {
	all := map[string]bool{}
	for _, t := range r.byClass {
		for endpoint := range t.lines {
			all[endpoint] = true
		}
	}
	for _, keys := range r.ranges {
		for endpoint := range r.table(keys.table).lines {
			all[endpoint] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// HeldTables returns the current tables in the form used by the hello message, so that the pilot can send only the
// differences.
func (r *Router) HeldTables() (list []wire.HeldTable) {
	for _, number := range slices.Sorted(maps.Keys(r.tables)) {
		lines := r.tables[number].lines
		held := wire.HeldTable{Table: number}
		for _, endpoint := range slices.Sorted(maps.Keys(lines)) {
			held.Lines = append(held.Lines, wire.HeldLine{Endpoint: endpoint, Weight: lines[endpoint]})
		}
		list = append(list, held)
	}
	return list
}
