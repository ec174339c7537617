package placement

import "reflect"

// RequiresRestart returns the names of the changed fields that take effect only after a restart of the pilot. Changed
// addresses of discovery and the relay are not among them, because a reload applies those.
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
