// Package baseline holds policies to compare the module with, in rehearsals and experiments. They pace nothing and keep no
// rule on purpose; none ships in a pilot.
package baseline

import (
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// Factory makes a policy for one pilot.
type Factory func(seed int64, terms map[string]any) controller.Decider

// Names lists the policies that Named knows, in the order in which they are shown.
func Names() []string {
	return []string{"even", "subset", "aperture", "inverse", "feedback", "oracle"}
}

// Named returns a policy by name.
func Named(name string) (Factory, error) {
	of := func(plan func(*policy, int) map[int]float64, everyMs float64, own bool) Factory {
		return func(seed int64, _ map[string]any) controller.Decider {
			return &policy{seed: seed, weights: plan, everyMs: everyMs, ownTables: own, listed: map[int]planner.Entry{}, proxies: map[int]planner.ProxyJoined{},
				tables: map[int]map[int]float64{}, utilization: map[int]float64{}, feedbackWeight: map[int]float64{}}
		}
	}
	switch name {
	case "even":
		return of((*policy).even, 0, false), nil
	case "subset":
		return of((*policy).subset, 0, true), nil
	case "aperture":
		return of((*policy).aperture, 0, true), nil
	case "inverse":
		return of((*policy).inverse, 1000, false), nil
	case "feedback":
		return of((*policy).feedback, 1000, false), nil
	case "oracle":
		return func(seed int64, t map[string]any) controller.Decider {
			p := of((*policy).oracle, 100, false)(seed, t).(*policy)
			return &Oracle{policy: p}
		}, nil
	}
	return nil, fmt.Errorf("baseline %q is not known; there are %v", name, Names())
}

// policy keeps the list, who is joined and the tables as ordered, and sends what differs at once.
type policy struct {
	seed           int64
	weights        func(p *policy, proxy int) map[int]float64
	everyMs        float64 // anew so often; 0: on changes only
	ownTables      bool    // a table for each proxy, else one for all
	dueMs          float64
	listed         map[int]planner.Entry
	ready          []int // of what is ready
	proxies        map[int]planner.ProxyJoined
	tables         map[int]map[int]float64
	utilization    map[int]float64 // last told
	feedbackWeight map[int]float64 // of feedback
	trueLoad       func(endpoint int) (busy float64, runs bool)
}

// Handle follows the list and the proxies.
func (p *policy) Handle(nowMs float64, notes []planner.Event) (orders []planner.Command) {
	changed, fresh := false, []int(nil)
	for _, n := range notes {
		switch n := n.(type) {
		case planner.EndpointUpdate:
			p.updateList(n)
			changed = true
		case planner.ProxyJoined:
			p.proxies[n.Proxy] = n
			fresh = append(fresh, n.Proxy)
		case planner.ProxyLeft:
			delete(p.proxies, n.Proxy)
		case planner.EndpointStats:
			if u, told := n.Load["util"]; told {
				p.utilization[n.Endpoint] = u
			}
		}
	}
	due := p.everyMs > 0 && nowMs >= p.dueMs
	if due {
		p.dueMs = nowMs + p.everyMs
		orders = append(orders, planner.SetTimer{AtMs: p.dueMs, Name: "again"})
	}
	if changed || due || p.ownTables && len(fresh) > 0 {
		orders = append(orders, p.publish()...)
	}
	for _, x := range fresh {
		orders = append(orders, planner.AssignTable{Table: p.table(x), Proxy: x})
	}
	return orders
}

// Reconfigure does nothing: the policies read no settings.
func (p *policy) Reconfigure(map[string]any) {}

func (p *policy) table(proxy int) int {
	if p.ownTables {
		return proxy + 1
	}
	return 0
}

func (p *policy) updateList(l planner.EndpointUpdate) {
	if l.Mode == planner.Snapshot {
		clear(p.listed)
	}
	for _, e := range l.Entries {
		p.listed[e.Endpoint] = e
	}
	p.ready = p.ready[:0]
	for _, i := range slices.Sorted(maps.Keys(p.listed)) {
		if p.listed[i].Phase == planner.Ready {
			p.ready = append(p.ready, i)
		}
	}
}

// publish sends the lines that differ.
func (p *policy) publish() (orders []planner.Command) {
	who := []int{0}
	if p.ownTables {
		who = slices.Sorted(maps.Keys(p.proxies))
	}
	for _, x := range who {
		number := p.table(x)
		want, has := p.weights(p, x), p.tables[number]
		if has == nil {
			has = map[int]float64{}
			p.tables[number] = has
		}
		for _, i := range slices.Sorted(maps.Keys(has)) {
			if want[i] == 0 {
				delete(has, i)
				orders = append(orders, planner.SetWeight{Table: number, Endpoint: i})
			}
		}
		for _, i := range slices.Sorted(maps.Keys(want)) {
			if has[i] != want[i] {
				has[i] = want[i]
				orders = append(orders, planner.SetWeight{Table: number, Endpoint: i, Weight: want[i]})
			}
		}
	}
	return orders
}

// even gives each endpoint its listed weight.
func (p *policy) even(int) map[int]float64 {
	out := map[int]float64{}
	for _, i := range p.ready {
		out[i] = max(p.listed[i].Weight, 1e-9)
	}
	return out
}

// subsetSize is how many endpoints a proxy of its own table gets.
const subsetSize = 8

func (p *policy) rank(a, b int) uint32 {
	return crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d %d", p.seed, a, b))
}

// subset draws endpoints for each proxy.
func (p *policy) subset(proxy int) map[int]float64 {
	order := slices.Clone(p.ready)
	slices.SortFunc(order, func(a, b int) int { return int(p.rank(proxy, a)>>1) - int(p.rank(proxy, b)>>1) })
	out := map[int]float64{}
	for _, i := range order[:min(subsetSize, len(order))] {
		out[i] = max(p.listed[i].Weight, 1e-9)
	}
	return out
}

// aperture gives each proxy a window on a ring, windows laid out evenly.
func (p *policy) aperture(proxy int) map[int]float64 {
	n, out := len(p.ready), map[int]float64{}
	if n == 0 {
		return out
	}
	place, _ := slices.BinarySearch(slices.Sorted(maps.Keys(p.proxies)), proxy)
	from := float64(place) / float64(max(1, len(p.proxies))) * float64(n)
	for k := range min(subsetSize, n) {
		i := p.ready[(int(from)+k)%n]
		out[i] = max(p.listed[i].Weight, 1e-9)
	}
	return out
}

// inverse gives weights by the inverse of the load last told.
func (p *policy) inverse(int) map[int]float64 {
	out := map[int]float64{}
	for _, i := range p.ready {
		out[i] = roundWeight(max(p.listed[i].Weight, 1e-9) / max(0.05, p.utilization[i]))
	}
	return out
}

// feedback moves each weight by how far its load is from the mean, without any price for what it costs.
func (p *policy) feedback(int) map[int]float64 {
	sum, out := 0.0, map[int]float64{}
	for _, i := range p.ready {
		sum += p.utilization[i]
	}
	mean := sum / float64(max(1, len(p.ready)))
	for _, i := range p.ready {
		if p.feedbackWeight[i] == 0 {
			p.feedbackWeight[i] = max(p.listed[i].Weight, 1e-9)
		}
		p.feedbackWeight[i] *= math.Exp(min(0.5, max(-0.5, mean-p.utilization[i])))
		out[i] = roundWeight(p.feedbackWeight[i])
	}
	return out
}

// roundWeight keeps a weight to about two figures, so that not every line differs each time.
func roundWeight(w float64) float64 { return math.Exp(math.Round(math.Log(w)*20) / 20) }

// Oracle spreads by the true state, which no pilot can know; whoever runs it tells it the truth and the names.
type Oracle struct{ *policy }

// SetTrueLoad tells it where the truth is to be had.
func (o *Oracle) SetTrueLoad(truth func(endpoint int) (busy float64, runs bool)) { o.trueLoad = truth }

// oracle gives weight by the room that there truly is.
func (p *policy) oracle(int) map[int]float64 {
	out := map[int]float64{}
	for _, i := range p.ready {
		busy, runs := 0.0, true
		if p.trueLoad != nil {
			busy, runs = p.trueLoad(i)
		}
		if runs {
			out[i] = roundWeight(max(p.listed[i].Weight, 1e-9) / (0.2 + busy*busy))
		}
	}
	if len(out) == 0 {
		return p.even(0)
	}
	return out
}
