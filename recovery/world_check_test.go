package recovery_test

import (
	"fmt"
	"slices"
	"strings"

	"indigousher/internal/record"
	"indigousher/internal/wire"
)

// violationIn returns what no state may show and, where nothing more can happen by itself, what then must hold.
func (w *system) violationIn(settled bool) string {
	if w.violation != "" {
		return w.violation
	}
	if w.gossipCommanded > 1 {
		return "an effect was ordered twice"
	}
	for k, p := range w.proxies {
		if p.router.EligibleCount(0) == 0 {
			return fmt.Sprintf("p%d has no line", k)
		}
	}
	if settled {
		return w.finalViolation()
	}
	return ""
}

// violationInTheEnd returns what is wrong when nothing more happens: one process serves, and all proxies follow it.
func (w *system) finalViolation() string {
	running := 0
	for _, p := range w.processes {
		if p.core != nil {
			running++
		}
	}
	if running != 1 {
		return fmt.Sprintf("%d processes run the pilot in the end", running)
	}
	for k, p := range w.proxies {
		usesDrained := w.listChanges > 0 && p.router.Eligible(0, "e0")
		if p.joined < 0 || usesDrained || !p.router.Eligible(0, "e1") {
			return fmt.Sprintf("p%d is at %d and may pick from %v in the end", k, p.joined, p.router.Endpoints())
		}
	}
	return ""
}

// signature tells states apart.
func (w *system) signature() string {
	var b strings.Builder
	for i, p := range w.processes {
		fmt.Fprintf(&b, "%v %+v %+v %d %v %v %v %d %v|", p.alive, p.predecessor, p.successor, p.action, p.requested,
			p.waiting, p.core != nil, p.listed, w.messages[i])
	}
	var proxies []string // one is like another
	for _, p := range w.proxies {
		proxies = append(proxies, p.signature())
	}
	slices.Sort(proxies)
	fmt.Fprint(&b, proxies, w.lockHolder, w.cut, w.committed > 0, w.listChanges, w.crashes, w.losses, w.gossipSent,
		w.gossipCommanded, w.restarts)
	b.WriteString(replaySignature(w.turns[:w.committed]))
	b.WriteString(replaySignature(w.turns[w.committed:]))
	return b.String()
}

func (p *proxy) signature() string {
	s := fmt.Sprintf("%d %v %v %v", p.joined, p.router.HeldTables(), p.router.Eligible(0, "e0"), p.router.Eligible(0, "e1"))
	for _, commands := range p.incoming {
		s += fmt.Sprint(commands.Ops)
	}
	return s
}

// replaySignature returns what a replay of turns knows.
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
