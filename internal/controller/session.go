package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// Reasons of closing a stream that are said to the proxy; their spelling stays.
const (
	closeUnknownZone    = "unknown zone"
	closeRateOutOfRange = "rate out of range"
	closeTooManyProxies = "too many proxies"
	closeTooManySenders = "too many proxies at once"
	closeReplaced       = "the proxy has come back on another stream"
)

// session is a joined proxy: its stream and what this pilot has sent to it.
type session struct {
	hello       wire.Hello
	proxy, zone int // indices
	stream      Stream

	// assignedClasses holds, by table assigned to the proxy, the request classes that use it, as a bit mask;
	// coveredClasses are those that some table has served since the proxy joined.
	assignedClasses map[int]int
	coveredClasses  int
	// initialEndpoints are the indices of the endpoints that the proxy held when it joined.
	initialEndpoints map[int]bool
	// heldTables are the tables that the proxy said it has and that are not assigned anew: weights by endpoint name.
	heldTables map[int]map[string]float64

	// pending is the message of the turn under way, nil if there is none; see outbox.
	pending *wire.Orders
	// recentSends are when messages left to the proxy lately; they are the channel's.
	recentSends sendTimes
	// acks are the ack requests sent to the proxy that it has not answered.
	acks pendingAcks
}

// newSession returns the session of a proxy that joins.
func newSession(in ProxyJoined, proxy, zone int) *session {
	s := &session{
		hello:            in.Hello,
		proxy:            proxy,
		zone:             zone,
		stream:           in.Stream,
		assignedClasses:  map[int]int{},
		initialEndpoints: map[int]bool{},
		heldTables:       map[int]map[string]float64{},
	}
	for _, t := range in.Hello.Tables {
		weights := map[string]float64{}
		for _, l := range t.Lines {
			weights[l.Endpoint] = l.Weight
		}
		s.heldTables[t.Table] = weights
	}
	return s
}

// assign notes that some request classes use a table from now on, and no other. Tables that no class uses are let go.
func (s *session) assign(number, classes int) {
	for other, held := range s.assignedClasses {
		left := held &^ classes
		if left == 0 {
			delete(s.assignedClasses, other)
		} else {
			s.assignedClasses[other] = left
		}
	}
	s.assignedClasses[number] |= classes
	s.coveredClasses |= classes
}

// takeHeldTable returns what the proxy said it has of a table, and forgets it.
func (s *session) takeHeldTable(number int) (weights map[string]float64, held bool) {
	weights, held = s.heldTables[number]
	delete(s.heldTables, number)
	return weights, held
}

// sessionRegistry holds the sessions of joined proxies.
type sessionRegistry struct {
	byProxy  map[int]*session
	byStream map[Stream]*session
	ordered  []*session // by proxy; nil: to be made
}

// newSessionRegistry returns a registry without sessions.
func newSessionRegistry() sessionRegistry {
	return sessionRegistry{byProxy: map[int]*session{}, byStream: map[Stream]*session{}}
}

// add takes in a session.
func (r *sessionRegistry) add(s *session) {
	r.byProxy[s.proxy] = s
	r.byStream[s.stream] = s
	r.ordered = nil
}

// remove forgets a session.
func (r *sessionRegistry) remove(s *session) {
	delete(r.byProxy, s.proxy)
	delete(r.byStream, s.stream)
	r.ordered = nil
}

// len returns how many proxies are joined.
func (r *sessionRegistry) len() int { return len(r.byProxy) }

// inOrder returns the sessions by proxy. The list is made anew only after a proxy has joined or left.
func (r *sessionRegistry) inOrder() []*session {
	if r.ordered == nil {
		for _, proxy := range slices.Sorted(maps.Keys(r.byProxy)) {
			r.ordered = append(r.ordered, r.byProxy[proxy])
		}
	}
	return r.ordered
}

// joinRejection says why a proxy may not join.
type joinRejection struct {
	reason      malformedReason // counted and logged
	details     []string        // logged
	closeReason string          // said to the proxy
}

// join takes in a stream. One under the same name is closed first: the newer one is the one that lives.
func (c *Core) join(events []planner.Event, in ProxyJoined) []planner.Event {
	proxy, zone, rejection := c.identify(&in.Hello)
	if rejection != nil {
		c.reject(in, rejection)
		return events
	}
	if old := c.sessions.byProxy[proxy]; old != nil {
		events = append(events, c.removeSession(old))
		old.stream.Close(closeReplaced)
	}
	s := newSession(in, proxy, zone)
	for _, name := range in.Hello.Holds {
		if i, known := c.endpoints.find(name); known {
			s.initialEndpoints[i] = true
		}
	}
	if !c.reports.addProxy(c.nowMs, s) {
		c.reject(in, &joinRejection{malformedSenderCount, []string{in.Hello.Proxy}, closeTooManySenders})
		return events
	}
	c.sessions.add(s)
	c.options.Metrics.setProxies(c.sessions.len())
	for _, number := range c.slices.numbers() {
		c.sendSlice(s, number)
	}
	return append(events, planner.ProxyJoined{Proxy: proxy, Zone: zone, Rate: in.Hello.Rate, Fresh: in.Hello.Fresh})
}

// identify returns the indices of a proxy that would join and of its zone, or why it may not. A proxy gets its index at
// its first appearance; they are limited, so that names without end take no memory without end.
func (c *Core) identify(hello *wire.Hello) (proxy, zone int, _ *joinRejection) {
	zone, known := c.zones.Find(hello.Zone)
	if !known {
		return 0, 0, &joinRejection{malformedProxyZone, []string{hello.Proxy, hello.Zone}, closeUnknownZone}
	}
	if !planner.ValidRate(hello.Rate) {
		details := []string{hello.Proxy, fmt.Sprint(hello.Rate)}
		return 0, 0, &joinRejection{malformedProxyRate, details, closeRateOutOfRange}
	}
	proxy, known = c.proxies.Find(hello.Proxy)
	if !known && c.proxies.Len() >= c.options.MaxProxies {
		return 0, 0, &joinRejection{malformedProxyCount, []string{hello.Proxy}, closeTooManyProxies}
	}
	if !known {
		proxy = c.proxies.Intern(hello.Proxy)
	}
	return proxy, zone, nil
}

// reject turns a proxy's join down.
func (c *Core) reject(in ProxyJoined, rejection *joinRejection) {
	c.reportMalformed(rejection.reason, rejection.details...)
	in.Stream.Close(rejection.closeReason)
}

// leave appends that a proxy has left, if the stream that ended is its own.
func (c *Core) leave(events []planner.Event, in ProxyLeft) []planner.Event {
	s := c.sessions.byStream[in.Stream]
	if s == nil {
		return events
	}
	return append(events, c.removeSession(s))
}

// removeSession forgets a session and what waits for it in the channel.
func (c *Core) removeSession(s *session) planner.Event {
	c.sessions.remove(s)
	c.Channel.Drop(s)
	c.reports.removeProxy(s)
	c.options.Metrics.setProxies(c.sessions.len())
	return planner.ProxyLeft{Proxy: s.proxy}
}
