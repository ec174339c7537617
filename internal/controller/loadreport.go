package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// loadReport turns a load report into the decider's form: nil if it has no figures. Figures that none can be are left
// out and returned.
func loadReport(figures []wire.LoadMetric) (load planner.Load, outOfRange []wire.LoadMetric) {
	if len(figures) == 0 {
		return nil, nil
	}
	load = make(planner.Load, len(figures))
	for _, f := range figures {
		if !planner.ValidRate(f.Value) {
			outOfRange = append(outOfRange, f)
			continue
		}
		load[f.Name] = f.Value
	}
	return load, outOfRange
}
