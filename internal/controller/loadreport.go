package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// loadReport converts a load report for the decider. The load is nil if the report is empty. Values that are negative,
// NaN or above planner.MaxValue are omitted from the load and returned in outOfRange.
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
