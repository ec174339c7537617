package emulator

// place is where something stands. A zone of "" reaches all.
type place struct{ name, zone string }

// weather is the state of the ways of one zone to all others.
type weather struct {
	cut   bool
	delay float64 // ms more
	loss  float64 // part of the messages that come 200 ms later
}

// ways is the network between places, as links is on sockets: what a cut holds back comes when it is mended.
type ways struct {
	w     *World
	zones map[string]*weather
	dumb  map[string]bool
	held  []held
	near  float64 // ms one way
}

type held struct {
	from, to place
	do       func()
}

// repeatMs is how much later TCP's repeat brings what was lost.
const repeatMs = 200

func (n *ways) zone(z string) *weather {
	if n.zones[z] == nil {
		n.zones[z] = &weather{}
	}
	return n.zones[z]
}

// open returns whether messages pass between two places.
func (n *ways) open(a, b place) bool {
	if n.dumb[a.name] || n.dumb[b.name] {
		return false
	}
	return a.zone == b.zone || a.zone == "" || b.zone == "" || !n.zone(a.zone).cut && !n.zone(b.zone).cut
}

// delay returns how long a message takes.
func (n *ways) delay(a, b place) float64 {
	ms := n.near
	if a.zone == b.zone || a.zone == "" || b.zone == "" {
		return ms
	}
	x, y := n.zone(a.zone), n.zone(b.zone)
	ms += max(x.delay, y.delay)
	if p := max(x.loss, y.loss); p > 0 && n.w.rnd.Float64() < p {
		ms += repeatMs
	}
	return ms
}

// carry brings something from one place to another.
func (n *ways) carry(a, b place, do func()) {
	if !n.open(a, b) {
		n.held = append(n.held, held{a, b, do})
		return
	}
	n.w.After(n.delay(a, b), func() {
		if !n.open(a, b) {
			n.held = append(n.held, held{a, b, do})
			return
		}
		do()
	})
}

// changed lets through what a mended way held back, in order.
func (n *ways) changed() {
	waits := n.held
	n.held = nil
	for _, h := range waits {
		n.carry(h.from, h.to, h.do)
	}
}
