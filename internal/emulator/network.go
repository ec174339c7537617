package emulator

// place is where something stands. A zone of "" reaches all.
type place struct{ name, zone string }

// zoneLink is the state of the ways of one zone to all others.
type zoneLink struct {
	cut          bool
	extraDelayMs float64 // ms more
	loss         float64 // part of the messages that come 200 ms later
}

// network is the network between places, as links is on sockets: what a cut holds back comes when it is mended.
type network struct {
	w          *World
	zones      map[string]*zoneLink
	blackholed map[string]bool
	held       []heldMessage
	oneWayMs   float64 // ms one way
}

type heldMessage struct {
	from, to place
	deliver  func()
}

// retransmitMs is how much later TCP's repeat brings what was lost.
const retransmitMs = 200

func (n *network) zone(z string) *zoneLink {
	if n.zones[z] == nil {
		n.zones[z] = &zoneLink{}
	}
	return n.zones[z]
}

// open returns whether messages pass between two places.
func (n *network) open(a, b place) bool {
	if n.blackholed[a.name] || n.blackholed[b.name] {
		return false
	}
	return a.zone == b.zone || a.zone == "" || b.zone == "" || !n.zone(a.zone).cut && !n.zone(b.zone).cut
}

// delay returns how long a message takes.
func (n *network) delay(a, b place) float64 {
	ms := n.oneWayMs
	if a.zone == b.zone || a.zone == "" || b.zone == "" {
		return ms
	}
	x, y := n.zone(a.zone), n.zone(b.zone)
	ms += max(x.extraDelayMs, y.extraDelayMs)
	if p := max(x.loss, y.loss); p > 0 && n.w.random.Float64() < p {
		ms += retransmitMs
	}
	return ms
}

// carry brings something from one place to another.
func (n *network) carry(a, b place, do func()) {
	if !n.open(a, b) {
		n.held = append(n.held, heldMessage{a, b, do})
		return
	}
	n.w.After(n.delay(a, b), func() {
		if !n.open(a, b) {
			n.held = append(n.held, heldMessage{a, b, do})
			return
		}
		do()
	})
}

// releaseHeld lets through what a mended way held back, in order.
func (n *network) releaseHeld() {
	waits := n.held
	n.held = nil
	for _, h := range waits {
		n.carry(h.from, h.to, h.deliver)
	}
}
