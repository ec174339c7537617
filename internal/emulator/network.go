package emulator

// location is the name and the zone of an endpoint, proxy, pilot or the registry. A location with the zone "", such
// as the registry, is not affected by faults between zones.
type location struct{ name, zone string }

// zoneLink is the state of the links between one zone and all others.
type zoneLink struct {
	cut          bool    // no message passes between the zone and the others
	extraDelayMs float64 // added to the one-way delay
	loss         float64 // fraction of the messages that arrive only after a TCP retransmission
}

// retransmitMs is the additional delay in ms of a lost message, which arrives by TCP retransmission.
const retransmitMs = 200

// network delivers messages between locations after a delay. As with TCP, messages that a cut holds back are
// delivered after the end of the cut.
type network struct {
	w          *World
	zones      map[string]*zoneLink
	blackholed map[string]bool // isolated endpoints, proxies and pilots, by name
	held       []heldMessage   // messages that a cut holds back, in order of sending
	oneWayMs   float64         // one-way delay without faults
}

// heldMessage is a message that a cut holds back.
type heldMessage struct {
	from, to location
	deliver  func()
}

func newNetwork(w *World, oneWayMs float64) *network {
	return &network{w: w, zones: map[string]*zoneLink{}, blackholed: map[string]bool{}, oneWayMs: oneWayMs}
}

// zone returns the link state of a zone, which is created on first use.
func (n *network) zone(name string) *zoneLink {
	if n.zones[name] == nil {
		n.zones[name] = &zoneLink{}
	}
	return n.zones[name]
}

// crossesZones returns whether a message between two locations uses a link between zones.
func crossesZones(from, to location) bool {
	return from.zone != to.zone && from.zone != "" && to.zone != ""
}

// reachable returns whether messages can pass between two locations now.
func (n *network) reachable(from, to location) bool {
	if n.blackholed[from.name] || n.blackholed[to.name] {
		return false
	}
	if !crossesZones(from, to) {
		return true
	}
	return !n.zone(from.zone).cut && !n.zone(to.zone).cut
}

// delay returns the delay of a message in ms. If a link has loss, it draws at random whether the message needs a
// retransmission.
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

// transmit calls deliver after the network delay between two locations. If a cut separates them when the message is
// sent or when it would arrive, the message is held until the cut ends.
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

// releaseHeld sends all held messages again, in order. Messages that another cut still blocks are held again.
func (n *network) releaseHeld() {
	messages := n.held
	n.held = nil
	for _, message := range messages {
		n.transmit(message.from, message.to, message.deliver)
	}
}
