package settings

import "indigousher/planner"

// ParseLoad converts a load report to the planner's form, in which metrics have other names. It drops invalid values.
// It returns nil for an empty report.
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
