package translate

import "indigousher/brain"

// Load renames the figures of a load report to the planner's names. Invalid figures are left out.
func Load(figures map[string]float64) brain.Load {
	if len(figures) == 0 {
		return nil
	}
	load := make(brain.Load, len(figures))
	for name, value := range figures {
		if brain.Sound(value) {
			load[Word(name)] = value
		}
	}
	return load
}
