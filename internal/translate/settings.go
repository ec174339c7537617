package translate

// Deployment is what a deployment's settings come to: the planner's settings, and the names behind its indices.
type Deployment struct {
	Terms                  map[string]any
	Zones, Machines, Kinds Names
}

// Read gives the names in a deployment's settings their indices, puts indices in place of the names that refer to
// them, and lays the settings out flat under the planner's names. It changes the settings.
func Read(settings map[string]any) *Deployment {
	d := &Deployment{Terms: map[string]any{}}
	d.Zones.internAll(settings["dcs"])
	d.Machines.internAll(settings["kinds"])
	d.readClasses(settings["profiles"])
	if zone, ok := settings["zone"].(string); ok {
		settings["zone"] = float64(d.Zones.In(zone))
	}
	flatten(d.Terms, renameAll(settings))
	return d
}

// internAll gives each name of a list an index; what is no list of names has none.
func (n *Names) internAll(list any) {
	for _, name := range texts(list) {
		n.In(name)
	}
}

// readClasses gives the request classes their indices, and puts indices in place of the hardware models and zones that
// a class is limited to.
func (d *Deployment) readClasses(profiles any) {
	list, _ := profiles.([]any)
	for _, item := range list {
		profile, ok := item.(map[string]any)
		if !ok {
			continue
		}
		name, _ := profile["name"].(string)
		d.Kinds.In(name)
		profile["only_machines"] = d.Machines.indices(profile["only_kinds"])
		profile["only_zones"] = d.Zones.indices(profile["only_zones"])
	}
}

// indices returns the indices of a list of names, as numbers of a setting.
func (n *Names) indices(list any) []any {
	var indices []any
	for _, name := range texts(list) {
		indices = append(indices, float64(n.In(name)))
	}
	return indices
}

// texts returns the texts among the elements of a setting's list, or none if it is no list.
func texts(setting any) []string {
	list, _ := setting.([]any)
	var found []string
	for _, item := range list {
		if text, ok := item.(string); ok {
			found = append(found, text)
		}
	}
	return found
}

// renameAll returns settings under the planner's names, with times in milliseconds, at every depth.
func renameAll(settings map[string]any) map[string]any {
	renamed := make(map[string]any, len(settings))
	for name, value := range settings {
		renamed[Word(name)] = renameValue(name, value)
	}
	return renamed
}

// renameValue does so for the value of the setting of a name; elements of a list have none.
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
		return Word(v)
	case float64:
		if isDuration(name) {
			return v / NsPerMs
		}
	}
	return value
}

// flatten lays nested settings out side by side.
func flatten(into, from map[string]any) {
	for name, value := range from {
		if nested, ok := value.(map[string]any); ok {
			flatten(into, nested)
			continue
		}
		into[name] = value
	}
}
