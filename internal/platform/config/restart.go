package config

import "reflect"

// Restart names the fields of a new file that differ and count only after a restart. Addresses of discovery and the
// relay are not among them: they count at once.
func Restart(old, now *Placement) (fields []string) {
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
