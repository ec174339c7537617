package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

// loadReport turns a load report into the decider's form: nil if it has no figures. Figures that none can be are left
// out and returned.
func loadReport(figures []wire.Figure) (load brain.Load, outOfRange []wire.Figure) {
	if len(figures) == 0 {
		return nil, nil
	}
	load = make(brain.Load, len(figures))
	for _, f := range figures {
		if !brain.Sound(f.Value) {
			outOfRange = append(outOfRange, f)
			continue
		}
		load[f.Name] = f.Value
	}
	return load, outOfRange
}
