package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// Reasons for closing a stream. They are sent to the proxy, so the strings must not change.
const (
	closeUnknownZone    = "unknown zone"
	closeRateOutOfRange = "rate out of range"
	closeTooManyProxies = "too many proxies"
	closeTooManySenders = "too many proxies at once"
	closeReplaced       = "the proxy has come back on another stream"
)

// session holds the state of a joined proxy: its stream, its tables and the messages for it.
type session struct {
	hello       wire.Hello
	proxy, zone int // indices
	stream      Stream

	// assignedClasses maps each table assigned to the proxy to a bit mask of the request classes that use it.
	assignedClasses map[int]int
	// coveredClasses is a bit mask of the request classes that have been assigned a table since the proxy joined.
	coveredClasses int
	// initialEndpoints holds the indices of the endpoints that the proxy had in its tables when it joined.
	initialEndpoints map[int]bool
	// heldTables holds the tables that the proxy listed in its hello, until they are assigned: by table number, the
	// weights by endpoint name.
	heldTables map[int]map[string]float64

	// pending is the proxy's message in the current turn, or nil if there is none; see outbox.
	pending *wire.Commands
	// recentSends holds the times of the latest messages to the proxy. Only the channel uses it.
	recentSends sendTimes
	// acks holds the ack requests that the proxy has not answered.
	acks pendingAcks
}

// newSession returns a session for a proxy that joins; proxy and zone are indices.
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

// assign records that the given request classes now use a table instead of any other. Tables that no class uses any
// more are removed.
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

// takeHeldTable removes a table from heldTables and returns its weights by endpoint name. held is false if the proxy
// did not list the table or it has been assigned before.
func (s *session) takeHeldTable(number int) (weights map[string]float64, held bool) {
	weights, held = s.heldTables[number]
	delete(s.heldTables, number)
	return weights, held
}

// sessionRegistry holds the sessions of joined proxies.
type sessionRegistry struct {
	byProxy  map[int]*session
	byStream map[Stream]*session
	ordered  []*session // sorted by proxy; nil if it must be rebuilt
}

// newSessionRegistry returns an empty registry.
func newSessionRegistry() sessionRegistry {
	return sessionRegistry{byProxy: map[int]*session{}, byStream: map[Stream]*session{}}
}

// add adds a session.
func (r *sessionRegistry) add(s *session) {
	r.byProxy[s.proxy] = s
	r.byStream[s.stream] = s
	r.ordered = nil
}

// remove removes a session.
func (r *sessionRegistry) remove(s *session) {
	delete(r.byProxy, s.proxy)
	delete(r.byStream, s.stream)
	r.ordered = nil
}

// len returns the number of joined proxies.
func (r *sessionRegistry) len() int { return len(r.byProxy) }

// inOrder returns the sessions sorted by proxy index. The slice is cached until a proxy joins or leaves.
func (r *sessionRegistry) inOrder() []*session {
	if r.ordered == nil {
		for _, proxy := range slices.Sorted(maps.Keys(r.byProxy)) {
			r.ordered = append(r.ordered, r.byProxy[proxy])
		}
	}
	return r.ordered
}

// joinRejection is the reason why a proxy may not join.
type joinRejection struct {
	reason      malformedReason // for the metric and the log
	details     []string        // for the log
	closeReason string          // sent to the proxy
}

// join adds a session for a new stream, or closes the stream if the proxy may not join. If the proxy already has a
// session, that is closed first: the newer stream replaces the older one.
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

// identify returns the indices of a proxy and of its zone, or the reason why the proxy may not join. A proxy gets an
// index when it first joins. The number of indices is limited so that memory stays bounded if new names keep appearing.
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

// reject logs why a proxy may not join and closes its stream.
func (c *Core) reject(in ProxyJoined, rejection *joinRejection) {
	c.reportMalformed(rejection.reason, rejection.details...)
	in.Stream.Close(rejection.closeReason)
}

// leave ends the session of a stream and appends an event that the proxy has left. Streams without a session, for
// example replaced ones, are ignored.
func (c *Core) leave(events []planner.Event, in ProxyLeft) []planner.Event {
	s := c.sessions.byStream[in.Stream]
	if s == nil {
		return events
	}
	return append(events, c.removeSession(s))
}

// removeSession removes a session and its queued messages, and returns the event that the proxy has left.
func (c *Core) removeSession(s *session) planner.Event {
	c.sessions.remove(s)
	c.Channel.Drop(s)
	c.reports.removeProxy(s)
	c.options.Metrics.setProxies(c.sessions.len())
	return planner.ProxyLeft{Proxy: s.proxy}
}
