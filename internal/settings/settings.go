package settings

import (
	"maps"
	"slices"
)

// Deployment holds the settings of a deployment in the planner's form, and the names for the indices in them.
type Deployment struct {
	Settings                 map[string]any
	Zones, Machines, Classes Names
}

// Parse converts the settings of a deployment to the planner's form. It assigns indices to names, replaces references
// to names by indices, renames the settings, and flattens nested settings into one map. It modifies its argument.
func Parse(settings map[string]any) *Deployment {
	d := &Deployment{Settings: map[string]any{}}
	d.Zones.internAll(settings["dcs"])
	d.Machines.internAll(settings["kinds"])
	d.readClasses(settings["profiles"])
	if zone, ok := settings["zone"].(string); ok {
		settings["zone"] = float64(d.Zones.Intern(zone))
	}
	flatten(d.Settings, renameAll(settings))
	return d
}

// internAll assigns an index to each string in list. It ignores other elements, and does nothing if list is not a list.
func (n *Names) internAll(list any) {
	for _, name := range stringList(list) {
		n.Intern(name)
	}
}

// readClasses assigns indices to the request classes in profiles. In each class it replaces the names of the hardware
// models and zones to which the class is restricted by their indices.
func (d *Deployment) readClasses(profiles any) {
	list, _ := profiles.([]any)
	for _, item := range list {
		profile, ok := item.(map[string]any)
		if !ok {
			continue
		}
		name, _ := profile["name"].(string)
		d.Classes.Intern(name)
		profile["only_machines"] = d.Machines.indices(profile["only_kinds"])
		profile["only_zones"] = d.Zones.indices(profile["only_zones"])
	}
}

// indices returns the indices of a list of names as float64, like numbers decoded from JSON.
func (n *Names) indices(list any) []any {
	var indices []any
	for _, name := range stringList(list) {
		indices = append(indices, float64(n.Intern(name)))
	}
	return indices
}

// stringList returns the strings in a setting that is a list, or nil if the setting is not a list.
func stringList(setting any) []string {
	list, _ := setting.([]any)
	var found []string
	for _, item := range list {
		if text, ok := item.(string); ok {
			found = append(found, text)
		}
	}
	return found
}

// renameAll returns a copy of settings, including nested ones, with the planner's names and times in milliseconds.
func renameAll(settings map[string]any) map[string]any {
	renamed := make(map[string]any, len(settings))
	for name, value := range settings {
		renamed[plannerName(name)] = renameValue(name, value)
	}
	return renamed
}

// renameValue converts the value of the setting called name. name is empty for elements of a list.
func renameValue(name string, value any) any {
	switch v := value.(type) {
	case map[string]any:
		return renameAll(v)
	case []any:
		list := make([]any, len(v))
		for i, item := range v {
			list[i] = renameValue("", item)
		}
		return list
	case string:
		return plannerName(v)
	case float64:
		if isDuration(name) {
			return v / NsPerMs
		}
	}
	return value
}

// flatten copies settings from one map into another, with nested settings at the top level. If a name occurs more than
// once, the outermost value is kept: prices.discovery is the price of a request to the discovery, while discovery at the
// top level is the way in which it works. Among nested settings, the value of the group that sorts first is kept.
func flatten(into, from map[string]any) {
	for name, value := range from {
		if _, nested := value.(map[string]any); !nested {
			into[name] = value
		}
	}
	for _, group := range slices.Sorted(maps.Keys(from)) {
		nested, ok := from[group].(map[string]any)
		if !ok {
			continue
		}
		inner := map[string]any{}
		flatten(inner, nested)
		addMissing(into, inner)
	}
}

// addMissing copies the settings whose names are not in the other map yet.
func addMissing(into, from map[string]any) {
	for name, value := range from {
		if _, exists := into[name]; !exists {
			into[name] = value
		}
	}
}
