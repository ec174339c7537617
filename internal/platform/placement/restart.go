package placement

import "reflect"

// RequiresRestart returns the names of the changed fields that take effect only after a restart. The addresses of
// discovery and the relay take effect at once.
func RequiresRestart(old, now *Placement) (fields []string) {
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", old.Name == now.Name},
		{"listen", old.Listen == now.Listen},
		{"limits", old.Limits == now.Limits},
		{"settings", reflect.DeepEqual(old.Settings, now.Settings)},
	} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}
