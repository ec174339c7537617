package translate

import "slices"

// Deployment is what the settings come to: the module's terms, and the names behind its indices.
type Deployment struct {
	Terms                  map[string]any
	Zones, Machines, Kinds Names
}

// Read gives the names told at the start their indices, puts indices in place of names where one refers to another,
// and lays the settings out as one plain map in the project's words. It changes the settings.
func Read(settings map[string]any) *Deployment {
	d := &Deployment{Terms: map[string]any{}}
	for key, to := range map[string]*Names{"dcs": &d.Zones, "kinds": &d.Machines} {
		names, _ := settings[key].([]any)
		for _, n := range names {
			if s, ok := n.(string); ok {
				to.In(s)
			}
		}
	}
	profiles, _ := settings["profiles"].([]any)
	for _, c := range profiles {
		if m, ok := c.(map[string]any); ok {
			name, _ := m["name"].(string)
			d.Kinds.In(name)
			m["only_machines"] = indices(&d.Machines, m["only_kinds"])
			m["only_zones"] = indices(&d.Zones, m["only_zones"])
		}
	}
	if z, ok := settings["zone"].(string); ok {
		settings["zone"] = float64(d.Zones.In(z))
	}
	renamed, _ := rename("", settings).(map[string]any)
	flatten(d.Terms, renamed)
	return d
}

// indices turns a list of names into their indices.
func indices(d *Names, names any) []any {
	var list []any
	all, _ := names.([]any)
	for _, n := range all {
		if s, ok := n.(string); ok {
			list = append(list, float64(d.In(s)))
		}
	}
	return list
}

// rename turns a setting into the project's words and times into milliseconds, at every depth.
func rename(name string, v any) any {
	switch v := v.(type) {
	case map[string]any:
		m := make(map[string]any, len(v))
		for k, x := range v {
			m[Word(k)] = rename(k, x)
		}
		return m
	case []any:
		list := make([]any, len(v))
		for i, x := range v {
			list[i] = rename("", x)
		}
		return list
	case string:
		return Word(v)
	case float64:
		if slices.Contains(durations, name) {
			return v / NsPerMs
		}
	}
	return v
}

// flatten lays nested settings out as one plain map of names to values.
func flatten(into, from map[string]any) {
	for k, v := range from {
		if m, ok := v.(map[string]any); ok {
			flatten(into, m)
			continue
		}
		into[k] = v
	}
}
