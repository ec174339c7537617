package pilot

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// session is a joined proxy.
type session struct {
	hello       wire.Hello
	proxy, zone int
	stream      Stream
	bound       map[int]int                // kinds by table
	covered     int                        // kinds that some table serves
	holds       map[int]bool               // endpoints of what it held when it joined
	tables      map[int]map[string]float64 // that it said it has and that are not bound anew
	pending     *wire.Orders               // message of the Handle under way
	recent      []float64                  // when messages left to it lately
	marks       []int                      // sent to it and not answered, oldest first
}

// join takes in a stream. One under the same name is ended first: the newer one is the one that lives.
func (c *Core) join(notes []brain.Note, in Join) []brain.Note {
	zone, known := c.zones.Find(in.Hello.Zone)
	if !known {
		c.odd("proxy of an unknown zone", in.Hello.Proxy, in.Hello.Zone)
		in.Stream.Close("unknown zone")
		return notes
	}
	if !brain.Sound(in.Hello.Rate) {
		c.odd("rate out of range", in.Hello.Proxy, fmt.Sprint(in.Hello.Rate))
		in.Stream.Close("rate out of range")
		return notes
	}
	proxy, known := c.proxies.Find(in.Hello.Proxy)
	if !known {
		if c.proxies.Len() >= c.plan.MostProxies {
			c.odd("too many proxies", in.Hello.Proxy)
			in.Stream.Close("too many proxies")
			return notes
		}
		proxy = c.proxies.In(in.Hello.Proxy)
	}
	if old := c.sessions[proxy]; old != nil {
		notes = append(notes, c.drop(old))
		old.stream.Close("the proxy has come back on another stream")
	}
	s := &session{hello: in.Hello, proxy: proxy, zone: zone, stream: in.Stream, bound: map[int]int{}, holds: map[int]bool{},
		tables: map[int]map[string]float64{}}
	for _, name := range in.Hello.Holds {
		if i, known := c.endpoints.Find(name); known {
			s.holds[i] = true
		}
	}
	if !c.gate.join(c.now, s) {
		c.odd("too many proxies at once", in.Hello.Proxy)
		in.Stream.Close("too many proxies at once")
		return notes
	}
	for _, t := range in.Hello.Tables {
		s.tables[t.Table] = map[string]float64{}
		for _, l := range t.Lines {
			s.tables[t.Table][l.Endpoint] = l.Weight
		}
	}
	c.sessions[proxy], c.streams[in.Stream], c.sorted = s, s, nil
	c.plan.Meter.joined(len(c.sessions))
	for _, number := range slices.Sorted(maps.Keys(c.slices)) {
		c.layRange(s, number)
	}
	return append(notes, brain.Joined{Proxy: proxy, Zone: zone, Rate: in.Hello.Rate, Fresh: in.Hello.Fresh})
}

// drop forgets a session and what waits for it in the channel.
func (c *Core) drop(s *session) brain.Note {
	delete(c.sessions, s.proxy)
	delete(c.streams, s.stream)
	c.sorted = nil
	c.Channel.Drop(s)
	c.gate.leave(s)
	c.plan.Meter.joined(len(c.sessions))
	return brain.Left{Proxy: s.proxy}
}

// inOrder returns the sessions by proxy. The list is made anew only after somebody has come or gone.
func (c *Core) inOrder() []*session {
	if c.sorted == nil {
		for _, i := range slices.Sorted(maps.Keys(c.sessions)) {
			c.sorted = append(c.sorted, c.sessions[i])
		}
	}
	return c.sorted
}
