package recovery_test

import (
	"maps"
	"slices"

	"indigousher/brain"
	"indigousher/intake"
	"indigousher/internal/pilot"
)

// The explorer takes two processes of one pilot, three proxies, one change of the list or one note between pilots, one
// crash and one lost connection through every order in which their steps can fall, up to states that were met before.
// The machines, the runtime, the record's turns and the proxies' tables are those that ship; only sockets, disk and lock
// are the explorer's.

// plainPlanner decides: all endpoints in one table, drains shut out, each note passed on once.
type plainPlanner struct {
	phase  map[int]brain.Phase
	joined map[int]bool // and not bound yet
}

// Reconfigure does nothing.
func (c *plainPlanner) Reconfigure(map[string]any) {}

func (c *plainPlanner) Handle(_ float64, notes []brain.Note) (out []brain.Order) {
	for _, n := range notes {
		switch n := n.(type) {
		case brain.Listing:
			for _, e := range n.Entries {
				if _, known := c.phase[e.Endpoint]; !known {
					out = append(out, brain.SetLine{Table: 1, Endpoint: e.Endpoint, Weight: 1})
				}
				if c.phase[e.Endpoint] != e.Phase && e.Phase == brain.Draining {
					out = append(out, brain.Withdraw{Endpoint: e.Endpoint, Out: true})
				}
				c.phase[e.Endpoint] = e.Phase
			}
		case brain.Joined:
			c.joined[n.Proxy] = true
		case brain.Left:
			delete(c.joined, n.Proxy)
		case brain.Gossip:
			out = append(out, brain.Tell{Peer: 0, Text: n.Text})
		}
	}
	for _, p := range slices.Sorted(maps.Keys(c.joined)) {
		if len(c.phase) > 0 {
			out = append(out, brain.Bind{Table: 1, Proxy: p})
			delete(c.joined, p)
		}
	}
	return out
}

func (w *world) plan(held bool) pilot.Plan {
	p := pilot.Plan{Decider: &plainPlanner{map[int]brain.Phase{}, map[int]bool{}}, Terms: map[string]any{}, Zones: []string{"a"}, Machines: []string{"std"}, Kinds: []string{"read"},
		Intake: intake.Terms{PeriodMs: 1e9, HalfMs: 1e9, LongestMs: 1e9}, MostProxies: 9, List: transport{}, Prober: transport{}, Peers: transport{},
		Log: func(string) {}, Odd: func(string, ...string) {}, Replayed: true}
	if !held || w.faults.replaySends {
		p.Peers = transport{w}
	}
	return p
}

// transport is the way to other pilots.
type transport struct{ w *world }

func (transport) Watch(bool) {}

func (transport) Fetch() {}

func (transport) Probe(string) {}

func (e transport) Tell(int, string) {
	if e.w != nil {
		e.w.gossipCommanded++
	}
}
