package emulator

// place is where something stands. The zone "" reaches all others, as the registry does.
type location struct{ name, zone string }

// zoneLink is the state of the links between one zone and all others.
type zoneLink struct {
	cut          bool
	extraDelayMs float64
	loss         float64 // part of the messages that come only with TCP's retransmission
}

// retransmitMs is how much later TCP's retransmission brings what was lost.
const retransmitMs = 200

// network carries messages between places. What a cut holds back comes once it is mended, as with TCP.
type network struct {
	w          *World
	zones      map[string]*zoneLink
	blackholed map[string]bool // by name: nothing passes to or from it
	held       []heldMessage   // in the order in which they were held back
	oneWayMs   float64         // within a zone
}

type heldMessage struct {
	from, to location
	deliver  func()
}

func newNetwork(w *World, oneWayMs float64) *network {
	return &network{w: w, zones: map[string]*zoneLink{}, blackholed: map[string]bool{}, oneWayMs: oneWayMs}
}

// zone returns the links of a zone.
func (n *network) zone(name string) *zoneLink {
	if n.zones[name] == nil {
		n.zones[name] = &zoneLink{}
	}
	return n.zones[name]
}

// crossesZones returns whether the links between zones matter between two places.
func crossesZones(from, to location) bool {
	return from.zone != to.zone && from.zone != "" && to.zone != ""
}

// open returns whether messages pass between two places.
func (n *network) reachable(from, to location) bool {
	if n.blackholed[from.name] || n.blackholed[to.name] {
		return false
	}
	if !crossesZones(from, to) {
		return true
	}
	return !n.zone(from.zone).cut && !n.zone(to.zone).cut
}

// delay returns how long a message takes, in ms. It may draw whether the message is lost at first.
func (n *network) delay(from, to location) float64 {
	delayMs := n.oneWayMs
	if !crossesZones(from, to) {
		return delayMs
	}
	source := n.zone(from.zone)
	target := n.zone(to.zone)
	delayMs += max(source.extraDelayMs, target.extraDelayMs)
	loss := max(source.loss, target.loss)
	if loss > 0 && n.w.random.Float64() < loss {
		delayMs += retransmitMs
	}
	return delayMs
}

// carry delivers a message to another place after its delay. A cut holds it back, at its sending or its arrival.
func (n *network) transmit(from, to location, deliver func()) {
	if !n.reachable(from, to) {
		n.held = append(n.held, heldMessage{from: from, to: to, deliver: deliver})
		return
	}
	n.w.After(n.delay(from, to), func() {
		if !n.reachable(from, to) {
			n.held = append(n.held, heldMessage{from: from, to: to, deliver: deliver})
			return
		}
		deliver()
	})
}

// releaseHeld sends again, in order, what was held back; what still can't pass is held again.
func (n *network) releaseHeld() {
	waiting := n.held
	n.held = nil
	for _, message := range waiting {
		n.transmit(message.from, message.to, message.deliver)
	}
}
