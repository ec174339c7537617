package settings

import "indigousher/planner"

// ParseLoad renames the figures of a load report to the planner's names. Invalid figures are left out.
func ParseLoad(figures map[string]float64) planner.Load {
	if len(figures) == 0 {
		return nil
	}
	load := make(planner.Load, len(figures))
	for name, value := range figures {
		if planner.ValidRate(value) {
			load[plannerName(name)] = value
		}
	}
	return load
}
