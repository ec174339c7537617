package recovery_test

import (
	"fmt"
	"slices"
	"strings"

	"indigousher/internal/record"
	"indigousher/internal/wire"
)

// violationIn returns the first violated invariant of the state, or "" if there is none. settled means that no step
// other than a fault is possible, in which case it also checks the final state.
func (w *system) violationIn(settled bool) string {
	if w.violation != "" {
		return w.violation
	}
	if w.gossipCommanded > 1 {
		return "gossip was sent twice"
	}
	for k, p := range w.proxies {
		if p.router.EligibleCount(0) == 0 {
			return fmt.Sprintf("proxy p%d has no eligible endpoint", k)
		}
	}
	if settled {
		return w.finalViolation()
	}
	return ""
}

// finalViolation returns the first violated condition on a state without further steps, or "" if there is none: exactly
// one process runs the controller, and all proxies are connected and use the current endpoints.
func (w *system) finalViolation() string {
	running := 0
	for _, p := range w.processes {
		if p.core != nil {
			running++
		}
	}
	if running != 1 {
		return fmt.Sprintf("final state: %d processes run the controller", running)
	}
	for k, p := range w.proxies {
		usesDrained := w.listChanges > 0 && p.router.Eligible(0, "e0")
		if p.joined < 0 || usesDrained || !p.router.Eligible(0, "e1") {
			return fmt.Sprintf("final state: proxy p%d is connected to process %d and has the endpoints %v",
				k, p.joined, p.router.Endpoints())
		}
	}
	return ""
}

// signature returns a text that is equal for equivalent states, so that each is explored only once.
func (w *system) signature() string {
	var b strings.Builder
	for i, p := range w.processes {
		fmt.Fprintf(&b, "%v %+v %+v %d %v %v %v %d %v|", p.alive, p.predecessor, p.successor, p.action, p.requested,
			p.waiting, p.core != nil, p.listed, w.messages[i])
	}
	var proxies []string // sorted below, because proxies are interchangeable
	for _, p := range w.proxies {
		proxies = append(proxies, p.signature())
	}
	slices.Sort(proxies)
	fmt.Fprint(&b, proxies, w.lockHolder, w.disconnected, w.committed > 0, w.listChanges, w.crashes, w.connectionLosses, w.gossipSent,
		w.gossipCommanded, w.restarts)
	b.WriteString(replaySignature(w.turns[:w.committed]))
	b.WriteString(replaySignature(w.turns[w.committed:]))
	return b.String()
}

// signature returns the part of the state signature that describes the proxy.
func (p *proxy) signature() string {
	s := fmt.Sprintf("%d %v %v %v", p.joined, p.router.HeldTables(), p.router.Eligible(0, "e0"), p.router.Eligible(0, "e1"))
	for _, commands := range p.incoming {
		s += fmt.Sprint(commands.Ops)
	}
	return s
}

// replaySignature returns the part of the state signature that describes what a replay of turns would restore.
func replaySignature(turns []record.Turn) string {
	knowsGossip := false
	knowsDrain := false
	for _, t := range turns {
		for _, in := range t.Inputs {
			if in.Kind == record.KindGossip {
				knowsGossip = true
			}
			if l, ok := in.Message.(*wire.List); ok && l.Version > 0 {
				knowsDrain = true
			}
		}
	}
	return fmt.Sprint(len(turns) > 0, knowsGossip, knowsDrain)
}
