package settings

import "indigousher/planner"

// Load renames the figures of a load report to the planner's names. Invalid figures are left out.
func Load(figures map[string]float64) planner.Load {
	if len(figures) == 0 {
		return nil
	}
	load := make(planner.Load, len(figures))
	for name, value := range figures {
		if planner.Sound(value) {
			load[Word(name)] = value
		}
	}
	return load
}
