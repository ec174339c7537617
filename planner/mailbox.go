package planner

// This file holds the actors' mailboxes and the closed sets of messages that each actor takes. The planner, the
// publisher, each endpoint and each region are actors: a message waits in the receiver's mailbox until it is
// delivered, so that the order of all work, and with it of the commands, follows from the events alone.

// actor is anything with a mailbox.
type actor interface {
	// deliver passes the waiting messages to the actor and returns whether there were any.
	deliver() bool
}

// mailbox keeps an actor's messages until they are delivered.
type mailbox[M any] struct {
	waiting []M
	receive func(message M)
}

// enqueue adds a message.
func (m *mailbox[M]) enqueue(message M) { m.waiting = append(m.waiting, message) }

// deliver implements actor. Messages that are enqueued meanwhile wait for the next delivery.
func (m *mailbox[M]) deliver() bool {
	messages := m.waiting
	m.waiting = nil
	for _, message := range messages {
		m.receive(message)
	}
	return len(messages) > 0
}

// deliverAll delivers messages, actor by actor in creation order, until none waits.
func (p *Planner) deliverAll() {
	for delivered := true; delivered; {
		delivered = false
		for i := 0; i < len(p.actors); i++ { // a delivery may add actors
			if p.actors[i].deliver() {
				delivered = true
			}
		}
	}
}

// plannerMessage is what the planner takes: ProxyJoined, ProxyLeft or RequestStats.
type plannerMessage interface{ toPlanner() }

func (ProxyJoined) toPlanner()  {}
func (ProxyLeft) toPlanner()    {}
func (RequestStats) toPlanner() {}

// endpointMessage is what an endpoint takes: Entry, EndpointStats, HealthCheckResult, plannedShare or
// roundStart.
type endpointMessage interface{ toEndpoint() }

func (Entry) toEndpoint()             {}
func (EndpointStats) toEndpoint()     {}
func (HealthCheckResult) toEndpoint() {}
func (plannedShare) toEndpoint()      {}
func (roundStart) toEndpoint()        {}

// regionMessage is what a region takes: EndpointStats, *candidate or roundStart.
type regionMessage interface{ toRegion() }

func (EndpointStats) toRegion() {}
func (*candidate) toRegion()    {}
func (roundStart) toRegion()    {}

// publisherMessage is what the publisher takes: ProxyJoined, ProxyLeft, Ack, ChannelStalled, wantedWeight,
// wantedAdmission or availability.
type publisherMessage interface{ toPublisher() }

func (ProxyJoined) toPublisher()     {}
func (ProxyLeft) toPublisher()       {}
func (Ack) toPublisher()             {}
func (ChannelStalled) toPublisher()  {}
func (wantedWeight) toPublisher()    {}
func (wantedAdmission) toPublisher() {}
func (availability) toPublisher()    {}

// roundStart begins a control round. Timed rounds update penalties, health and admission; the others only adapt the
// tables to a changed endpoint list.
type roundStart struct{ timed bool }

// plannedShare informs an endpoint of its planned share of a region's requests of a class group, as a multiple of the
// region's ordinary demand.
type plannedShare struct {
	plan  int // region and group, see planNumber
	share float64
}

// wantedWeight gives the publisher the weight that an endpoint should have in a table; 0: it should not be in it.
type wantedWeight struct {
	table, endpoint int
	weight          float64
}

// wantedAdmission gives the publisher the admission level that a table should have for a class.
type wantedAdmission struct{ command SetAdmission }

// availability informs the publisher that an endpoint drains or is gone, or that it is ready again.
type availability struct {
	endpoint int
	ready    bool
}
