package translate

import "indigousher/brain"

// Load returns a load report under the planner's names. Figures that can be none of a load report are left out.
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
