package pilot

import "indigousher/brain"

// knows returns whether a recorded note names what there is, in figures that the intake would have passed on. The module
// takes any index for one that it may use.
func (c *Core) validRecordedEvent(n brain.Note) bool {
	within := func(i, n int) bool { return i >= 0 && i < n }
	switch n := n.(type) {
	case brain.Met:
		for _, v := range n.Load {
			if !brain.Sound(v) {
				return false
			}
		}
		return within(n.Endpoint, c.endpoints.Len()) && within(n.Zone, c.zones.Len()) && n.Failed >= 0 && n.Tries >= n.Failed &&
			brain.Sound(n.MeanMs) && brain.Sound(n.SpanMs)
	case brain.Demand:
		return within(n.Proxy, c.proxies.Len()) && within(n.Kind, c.kinds.Len()) && n.Reqs >= 0 && brain.Sound(n.SpanMs)
	case brain.SliceDemand:
		return within(n.Kind, c.kinds.Len()) && n.Reqs >= 0 && brain.Sound(n.SpanMs)
	}
	return false
}
