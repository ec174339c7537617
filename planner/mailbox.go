package planner

// This file holds the actors' mailboxes and the types of message that each actor accepts. The planner, the publisher,
// each endpoint and each region are actors. A message stays in the receiver's mailbox until it is delivered, so the
// order of all work, and thus of the commands, depends only on the events.

// actor is implemented by everything that has a mailbox.
type actor interface {
	// deliver passes the messages in the mailbox to the actor and returns whether there were any.
	deliver() bool
}

// mailbox queues an actor's messages until they are delivered.
type mailbox[M any] struct {
	waiting []M
	receive func(message M)
}

// enqueue appends a message to the mailbox.
func (m *mailbox[M]) enqueue(message M) { m.waiting = append(m.waiting, message) }

// deliver implements actor. Messages enqueued during the call stay in the mailbox until the next call.
func (m *mailbox[M]) deliver() bool {
	messages := m.waiting
	m.waiting = nil
	for _, message := range messages {
		m.receive(message)
	}
	return len(messages) > 0
}

// deliverAll delivers the messages of all actors, in creation order, and repeats this until all mailboxes are empty.
func (p *Planner) deliverAll() {
	for delivered := true; delivered; {
		delivered = false
		for i := 0; i < len(p.actors); i++ { // not a range loop, because deliveries may add actors
			if p.actors[i].deliver() {
				delivered = true
			}
		}
	}
}

// plannerMessage is a message to the planner: ProxyJoined, ProxyLeft or RequestStats.
type plannerMessage interface{ toPlanner() }

func (ProxyJoined) toPlanner()  {}
func (ProxyLeft) toPlanner()    {}
func (RequestStats) toPlanner() {}

// endpointMessage is a message to an endpoint: Entry, EndpointStats, HealthCheckResult, plannedShare or roundStart.
type endpointMessage interface{ toEndpoint() }

func (Entry) toEndpoint()             {}
func (EndpointStats) toEndpoint()     {}
func (HealthCheckResult) toEndpoint() {}
func (plannedShare) toEndpoint()      {}
func (roundStart) toEndpoint()        {}

// regionMessage is a message to a region: EndpointStats, *candidate or roundStart.
type regionMessage interface{ toRegion() }

func (EndpointStats) toRegion() {}
func (*candidate) toRegion()    {}
func (roundStart) toRegion()    {}

// publisherMessage is a message to the publisher: ProxyJoined, ProxyLeft, Ack, ChannelStalled, wantedWeight,
// wantedAdmission, availability or indexReassigned.
type publisherMessage interface{ toPublisher() }

func (ProxyJoined) toPublisher()     {}
func (ProxyLeft) toPublisher()       {}
func (Ack) toPublisher()             {}
func (ChannelStalled) toPublisher()  {}
func (wantedWeight) toPublisher()    {}
func (wantedAdmission) toPublisher() {}
func (availability) toPublisher()    {}
func (indexReassigned) toPublisher() {}

// roundStart starts a control round. Timed rounds update penalties, health and admission; other rounds only adapt the
// tables to a changed endpoint list.
type roundStart struct{ timed bool }

// plannedShare tells an endpoint which share of a region's requests of a class group it is planned to get, as a
// multiple of the region's ordinary demand.
type plannedShare struct {
	plan  int // number of the region and group, see planNumber
	share float64
}

// wantedWeight tells the publisher the planned weight of an endpoint in a table; 0 removes the endpoint from the table.
type wantedWeight struct {
	table, endpoint int
	weight          float64
}

// wantedAdmission tells the publisher the planned admission level and retry policy of a table for a request class.
type wantedAdmission struct{ command SetAdmission }

// availability tells the publisher that an endpoint drains or is gone, or that it is ready again.
type availability struct {
	endpoint int
	ready    bool
}

// indexReassigned tells the publisher that an index now belongs to another endpoint than before.
type indexReassigned struct{ endpoint int }
