package translate

import "indigousher/brain"

// Load renames the values of a load report; what can be no figure of one is left out.
func Load(values map[string]float64) brain.Load {
	if len(values) == 0 {
		return nil
	}
	l := make(brain.Load, len(values))
	for k, v := range values {
		if brain.Sound(v) {
			l[Word(k)] = v
		}
	}
	return l
}
