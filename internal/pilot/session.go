package pilot

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// Reasons of closing a stream that the proxy is told; their spelling stays.
const (
	closeUnknownZone    = "unknown zone"
	closeRateOutOfRange = "rate out of range"
	closeTooManyProxies = "too many proxies"
	closeTooManySenders = "too many proxies at once"
	closeReplaced       = "the proxy has come back on another stream"
)

// session is a joined proxy.
type session struct {
	hello            wire.Hello
	proxy, zone      int
	stream           Stream
	boundKinds       map[int]int                // kinds by table
	coveredKinds     int                        // kinds that some table serves
	initialEndpoints map[int]bool               // endpoints of what it held when it joined
	heldTables       map[int]map[string]float64 // that it said it has and that are not bound anew
	pending          *wire.Orders               // message of the Handle under way
	recentSends      sendTimes                  // when messages left to it lately
	acks             pendingAcks
}

// join takes in a stream. One under the same name is ended first: the newer one is the one that lives.
func (c *Core) join(events []brain.Note, in Join) []brain.Note {
	zone, known := c.zones.Find(in.Hello.Zone)
	if !known {
		c.reportMalformed(malformedProxyZone, in.Hello.Proxy, in.Hello.Zone)
		in.Stream.Close(closeUnknownZone)
		return events
	}
	if !brain.Sound(in.Hello.Rate) {
		c.reportMalformed(malformedProxyRate, in.Hello.Proxy, fmt.Sprint(in.Hello.Rate))
		in.Stream.Close(closeRateOutOfRange)
		return events
	}
	proxy, known := c.proxies.Find(in.Hello.Proxy)
	if !known {
		if c.proxies.Len() >= c.plan.MostProxies {
			c.reportMalformed(malformedProxyCount, in.Hello.Proxy)
			in.Stream.Close(closeTooManyProxies)
			return events
		}
		proxy = c.proxies.In(in.Hello.Proxy)
	}
	if old := c.sessions[proxy]; old != nil {
		events = append(events, c.drop(old))
		old.stream.Close(closeReplaced)
	}
	s := &session{hello: in.Hello, proxy: proxy, zone: zone, stream: in.Stream, boundKinds: map[int]int{}, initialEndpoints: map[int]bool{},
		heldTables: map[int]map[string]float64{}}
	for _, name := range in.Hello.Holds {
		if i, known := c.endpoints.find(name); known {
			s.initialEndpoints[i] = true
		}
	}
	if !c.reports.addProxy(c.now, s) {
		c.reportMalformed(malformedSenderCount, in.Hello.Proxy)
		in.Stream.Close(closeTooManySenders)
		return events
	}
	for _, t := range in.Hello.Tables {
		s.heldTables[t.Table] = map[string]float64{}
		for _, l := range t.Lines {
			s.heldTables[t.Table][l.Endpoint] = l.Weight
		}
	}
	c.sessions[proxy], c.streams[in.Stream], c.ordered = s, s, nil
	c.plan.Meter.setProxies(len(c.sessions))
	for _, number := range slices.Sorted(maps.Keys(c.sliceRanges)) {
		c.sendSlice(s, number)
	}
	return append(events, brain.Joined{Proxy: proxy, Zone: zone, Rate: in.Hello.Rate, Fresh: in.Hello.Fresh})
}

// leave appends that a proxy has left, if the stream that ended is its own.
func (c *Core) leave(events []brain.Note, in Leave) []brain.Note {
	s := c.streams[in.Stream]
	if s == nil {
		return events
	}
	return append(events, c.drop(s))
}

// drop forgets a session and what waits for it in the channel.
func (c *Core) drop(s *session) brain.Note {
	delete(c.sessions, s.proxy)
	delete(c.streams, s.stream)
	c.ordered = nil
	c.Channel.Drop(s)
	c.reports.removeProxy(s)
	c.plan.Meter.setProxies(len(c.sessions))
	return brain.Left{Proxy: s.proxy}
}

// inOrder returns the sessions by proxy. The list is made anew only after somebody has come or gone.
func (c *Core) sortedSessions() []*session {
	if c.ordered == nil {
		for _, i := range slices.Sorted(maps.Keys(c.sessions)) {
			c.ordered = append(c.ordered, c.sessions[i])
		}
	}
	return c.ordered
}
