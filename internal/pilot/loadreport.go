package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

// load turns a load report into the module's. Figures that none can be are left out and said to wrong.
func loadReport(figures []wire.Figure, wrong func(f wire.Figure)) brain.Load {
	if len(figures) == 0 {
		return nil
	}
	l := make(brain.Load, len(figures))
	for _, f := range figures {
		if !brain.Sound(f.Value) {
			wrong(f)
			continue
		}
		l[f.Name] = f.Value
	}
	return l
}
