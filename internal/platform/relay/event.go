package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"indigousher/internal/controller"
)

// event is one line of the event stream. An event without a type or a proxy number is a keepalive.
type event struct {
	Type   string `json:"type"` // "joined", "left" or "applied"; empty for a keepalive
	Object struct {
		Node     *int     `json:"node"`     // proxy number; nil for a keepalive
		Locality string   `json:"locality"` // zone
		Rate     float64  `json:"w"`        // requests per second that the proxy usually receives
		Cold     bool     `json:"cold"`     // the proxy has just started
		Nonce    *int     `json:"nonce"`    // number of the ack request that the proxy has answered
		Latency  *float64 `json:"latency"`  // time from the ack request to the ack, in ms
	} `json:"object"`
}

// handleLine parses a line of subscription i. It posts an input to the controller if the event is not a duplicate.
func (s *EventStream) handleLine(ctx context.Context, i int, text []byte) error {
	var e event
	if err := json.Unmarshal(text, &e); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscriptions[i].lastReceived = time.Now()
	s.cancelAtOldAddress()
	if e.Type == "" || e.Object.Node == nil {
		return nil // a keepalive
	}
	s.Counters.Events.Add(1)
	in := s.apply(&s.subscriptions[i], &e)
	if in == nil {
		return nil
	}
	return s.inbox.Post(ctx, in)
}

// apply updates the set of connected proxies with an event. It returns the input for the controller, or nil if the
// event is a duplicate or of an unknown type. The caller holds mu.
func (s *EventStream) apply(sub *subscription, e *event) controller.Input {
	switch e.Type {
	case "joined":
		return s.applyJoined(sub, e)
	case "left":
		return s.applyLeft(sub, *e.Object.Node)
	case "applied":
		return s.applyAck(e)
	}
	return nil
}

// applyJoined handles a "joined" event: a proxy has connected to the relay. During a snapshot the proxy may have
// connected earlier. It returns nil if the proxy is already known in the same zone and has not reconnected.
func (s *EventStream) applyJoined(sub *subscription, e *event) controller.Input {
	proxy := *e.Object.Node
	zone := e.Object.Locality
	cold := e.Object.Cold
	current := s.proxies[proxy]
	reconnected := current != nil && sub.mayHaveReconnected(proxy, current, cold)
	if sub.state == receivingSnapshot {
		sub.announced[proxy] = true
		sub.lastAnnounced = sub.lastReceived
	}
	sameZone := current != nil && current.zone == zone
	if sameZone && !reconnected {
		return nil
	}
	s.proxies[proxy] = &connectedProxy{zone: zone, announcedAt: sub.lastReceived}
	return controller.RelayProxyJoined{
		Proxy:   proxy,
		Zone:    zone,
		Rate:    e.Object.Rate,
		Fresh:   cold,
		Resumed: reconnected && sameZone && !cold,
	}
}

// mayHaveReconnected reports whether a proxy that is known as connected, and is announced on the subscription, may have
// opened a new stream without a "left" event. It is not so if the other subscription announced the proxy after this one
// opened, as happens at startup, when both subscriptions announce all proxies.
//
// After the snapshot, an announcement always means a new stream: if the proxy had been in the snapshot, this subscription
// would have reported that it left. Within the snapshot, the announcement may repeat a stream that is known. It may be a
// new one only if there was a gap before the snapshot that was longer than maxShortGap, or if the event says that the
// proxy has just started, and if this snapshot has not announced the proxy before.
func (sub *subscription) mayHaveReconnected(proxy int, current *connectedProxy, cold bool) bool {
	if current.announcedAt.After(sub.openedAt) {
		return false
	}
	if sub.state == live {
		return true
	}
	if sub.state != receivingSnapshot || !sub.afterGap || sub.announced[proxy] {
		return false
	}
	return sub.afterLongGap || cold
}

// applyLeft handles a "left" event. It returns nil if the proxy is unknown, for example because the other subscription
// has delivered the event already.
func (s *EventStream) applyLeft(sub *subscription, proxy int) controller.Input {
	delete(sub.announced, proxy)
	if s.proxies[proxy] == nil {
		return nil
	}
	delete(s.proxies, proxy)
	return controller.RelayProxyLeft{Proxy: proxy}
}

// applyAck handles an "applied" event: a proxy has applied all commands up to an ack request. It returns nil if the
// proxy is unknown, a field is missing, or the event is a duplicate.
func (s *EventStream) applyAck(e *event) controller.Input {
	current := s.proxies[*e.Object.Node]
	if current == nil || e.Object.Nonce == nil || e.Object.Latency == nil || !current.recordAck(*e.Object.Nonce) {
		return nil
	}
	return controller.RelayAck{Proxy: *e.Object.Node, Mark: *e.Object.Nonce, TookMs: *e.Object.Latency}
}
