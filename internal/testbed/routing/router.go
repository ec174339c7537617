// Package routing is how a proxy follows its pilot: it holds the tables, admission levels and exclusions that it was
// sent, picks an endpoint for each attempt, ejects endpoints that fail, and sums up load reports. It has no I/O, clock
// or goroutine, so that the proxy on sockets and the one in virtual time share it.
package routing

import (
	"maps"
	"math/rand/v2"
	"slices"

	"indigousher/internal/wire"
)

// randomStream is the second word of the random generator's seed. It keeps the router's draws apart from those of its
// proxy, which has the same first word.
const randomStream = 3

// Router is the routing state of one process of a proxy. It is not safe for concurrent use.
type Router struct {
	policy Policy
	random *rand.Rand

	// Tables. byClass[c] is the table that requests of class c use, unless their key falls into one of the ranges.
	tables         map[int]*table // of this stream, by number
	previousTables map[int]*table // of the stream before; a pilot may have them kept
	byClass        []*table
	assigned       []bool     // by class: whether this stream has assigned it a table
	ranges         []keyRange // by first key

	// Exclusions, by endpoint. Those of the stream before hold for classes that this stream has not assigned yet.
	excluded           map[string]bool
	previouslyExcluded map[string]bool

	admissionOfAll map[int]admission // for all tables, by mask of classes

	// Attempts and ejections, by endpoint.
	inFlight            map[string]int
	consecutiveFailures map[string]int
	ejectedUntilMs      map[string]float64
	lastEjectionEndsMs  float64 // when the latest ejection of any endpoint ends

	// What the next load report will say.
	stats        map[string]*endpointStats
	demand       map[string]*wire.RequestStats
	sliceDemand  map[sliceClass]*wire.SliceStats
	lastReportMs float64
	reportSeq    uint64 // number of the last report in this stream
}

// NewRouter returns the router of a proxy that no pilot has assigned a table yet: all classes share one static table
// with equal weights.
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

// StreamJoined begins a new stream. Classes keep their tables until they are assigned others, and endpoints stay
// excluded for them until then. The numbers of the tables and the admission for all tables end with the stream before.
// Slices keep their tables and numbers until their pilot says otherwise.
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

// Fresh returns whether no stream has ever assigned a table.
func (r *Router) Fresh() bool { return len(r.tables) == 0 && !slices.Contains(r.assigned, true) }

// Endpoints returns the names in all tables in use, sorted.
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

// HeldTables returns the tables of the last stream as a hello names them, so that the pilot may send only differences.
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
