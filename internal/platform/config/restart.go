package config

import "reflect"

// Restart names the parts of a new file that count only after a restart.
func Restart(old, now *Placement) (fields []string) {
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", old.Name == now.Name}, {"listen", old.Listen == now.Listen}, {"limits", old.Limits == now.Limits},
		{"settings", reflect.DeepEqual(old.Settings, now.Settings)},
	} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}
