package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"indigousher/internal/pilot"
)

// event is one event, a line of a stream.
type event struct {
	Type   string `json:"type"`
	Object struct {
		Node     *int     `json:"node"`
		Locality string   `json:"locality"`
		Rate     float64  `json:"w"`
		Cold     bool     `json:"cold"`
		Nonce    *int     `json:"nonce"`
		Latency  *float64 `json:"latency"`
	} `json:"object"`
}

// take takes one event in.
func (n *Events) take(ctx context.Context, i int, text []byte) error {
	var e event
	if err := json.Unmarshal(text, &e); err != nil {
		return fmt.Errorf("unreadable event: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams[i].heard = time.Now()
	if e.Type == "" || e.Object.Node == nil {
		return nil // a sign of life
	}
	n.Counters.Events.Add(1)
	in := n.sort(&n.streams[i], &e)
	if in == nil {
		return nil
	}
	return n.inbox.Post(ctx, in)
}

// sort returns what an event says that is new; nil: nothing.
func (n *Events) sort(l *stream, e *event) pilot.Input {
	p := *e.Object.Node
	m := n.members[p]
	switch e.Type {
	case "joined":
		// Whoever the other stream has told since this one opened has not come back meanwhile: at a start both tell all.
		before := m != nil && !m.since.After(l.opened)
		again := before && l.standing != nil && l.gap && !l.standing[p] && (l.long || e.Object.Cold)
		if l.standing != nil {
			l.standing[p], l.stands = true, l.heard
		}
		if m != nil && m.zone == e.Object.Locality && !again {
			return nil
		}
		n.members[p] = &member{zone: e.Object.Locality, since: l.heard}
		return pilot.Relayed{Proxy: p, Zone: e.Object.Locality, Rate: e.Object.Rate, Fresh: e.Object.Cold,
			Stood: again && m.zone == e.Object.Locality && !e.Object.Cold}
	case "left":
		if l.standing != nil {
			delete(l.standing, p)
		}
		if m != nil {
			delete(n.members, p)
			return pilot.Unrelayed{Proxy: p}
		}
	case "applied":
		if m != nil && e.Object.Nonce != nil && e.Object.Latency != nil && m.answers(*e.Object.Nonce) {
			return pilot.RelayApplied{Proxy: p, Mark: *e.Object.Nonce, TookMs: *e.Object.Latency}
		}
	}
	return nil
}
