package relay

import (
	"context"
	"encoding/json"
	"fmt"

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
	s.subscriptions[i].lastReceived = s.now()
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
	reconnected := current != nil && sub.mayHaveReconnected(proxy, current)
	stale := current == nil && s.isStale(sub, proxy)
	sub.announce(proxy)
	if stale {
		return nil
	}
	sameZone := current != nil && current.zone == zone
	if sameZone && !reconnected {
		return nil
	}
	delete(s.leftAt, proxy)
	s.proxies[proxy] = &connectedProxy{zone: zone, announcedAt: sub.lastReceived}
	return controller.RelayProxyJoined{
		Proxy:   proxy,
		Zone:    zone,
		Rate:    e.Object.Rate,
		Fresh:   cold,
		Resumed: reconnected && sameZone && !cold,
	}
}

// isStale reports whether a subscription announces a proxy that has left since the subscription opened, by the other one's
// events, for the first time: the other one was faster, so this stream has ended already or will be announced by the
// other one too. If it ends before that, the two differ (differsFrom).
func (s *EventStream) isStale(sub *subscription, proxy int) bool {
	_, announcedBefore := sub.announced[proxy]
	return !announcedBefore && s.leftAt[proxy].After(sub.openedAt)
}

// announce records that the subscription has announced a proxy.
func (sub *subscription) announce(proxy int) {
	if sub.state == disconnected {
		return
	}
	sub.announced[proxy] = true
	if sub.state == receivingSnapshot {
		sub.lastAnnounced = sub.lastReceived
	}
}

// mayHaveReconnected reports whether a proxy that is known as connected, and is announced on the subscription, may have
// opened a new stream without a "left" event. It is not so if the other subscription announced the proxy after this one
// opened, as happens at startup, when both subscriptions announce all proxies.
//
// After the snapshot, an announcement always means a new stream: if the proxy had been in the snapshot, this subscription
// would have reported that it left. Within the snapshot, the announcement repeats a stream that is known, unless there
// was a gap before: then the stream may have broken in the gap, however short, and the proxy may have reconnected in the
// gap or since, because the end of the snapshot is not marked and later events may be taken for a part of it.
func (sub *subscription) mayHaveReconnected(proxy int, current *connectedProxy) bool {
	if current.announcedAt.After(sub.openedAt) {
		return false
	}
	switch sub.state {
	case live:
		return true
	case receivingSnapshot:
		return sub.afterGap && !sub.announced[proxy]
	}
	return false
}

// applyLeft handles a "left" event. It returns nil if the proxy is unknown, for example because the other subscription
// has delivered the event already.
func (s *EventStream) applyLeft(sub *subscription, proxy int) controller.Input {
	if sub.state != disconnected {
		sub.announced[proxy] = false
	}
	if s.proxies[proxy] == nil {
		return nil
	}
	delete(s.proxies, proxy)
	s.leftAt[proxy] = sub.lastReceived
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
