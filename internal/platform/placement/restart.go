package placement

import "reflect"

// RequiresRestart returns the names of the changed fields that take effect only after a restart. The addresses of
// discovery and the relay take effect at once.
func RequiresRestart(old, updated *Placement) (fields []string) {
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", old.Name == updated.Name},
		{"listen", old.Listen == updated.Listen},
		{"limits", old.Limits == updated.Limits},
		{"settings", reflect.DeepEqual(old.Settings, updated.Settings)},
	} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}
