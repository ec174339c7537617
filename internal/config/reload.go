package config

import (
	"reflect"
	"slices"
)

// reloadableFields lists the fields of Pilot that a reload may change, by their Go names. Users see these names.
var reloadableFields = []string{
	"LinesPerS", "Backlog", "MessagesMost", "MessagesOver",
	"DrainGrace", "BareFor", "Cold", "ColdFrom", "Fall", "FallMultiple",
	"LogLevel", "DrainOnStop",
}

// reloadableSettings lists the reloadable fields that the planner uses, by their keys in PlannerSettings.
var reloadableSettings = []string{
	"lines_per_s", "backlog", "messages_most", "messages_over",
	"drain_grace", "bare_for", "cold", "cold_from", "fall", "fall_multiple",
}

// Diff compares the current settings with new ones. It returns the names of the fields that differ: those that a
// reload may change, and those that require a restart. It modifies neither of the settings.
func Diff(current, updated *Pilot) (changed, restart []string) {
	visitDifferences(reflect.ValueOf(*current), reflect.ValueOf(*updated), func(name string) {
		if slices.Contains(reloadableFields, name) {
			changed = append(changed, name)
		} else {
			restart = append(restart, name)
		}
	})
	return changed, restart
}

// visitDifferences calls visit with the name of each field that differs between two structs of the same type. It
// descends into embedded structs.
func visitDifferences(a, b reflect.Value, visit func(field string)) {
	for i := range a.NumField() {
		field := a.Type().Field(i)
		switch {
		case field.Anonymous:
			visitDifferences(a.Field(i), b.Field(i), visit)
		case !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()):
			visit(field.Name)
		}
	}
}

// MergeReloadable returns a copy of the current settings in which the reloadable fields have their new values.
func MergeReloadable(current, updated *Pilot) *Pilot {
	merged := *current
	to, from := reflect.ValueOf(&merged).Elem(), reflect.ValueOf(*updated)
	for _, name := range reloadableFields {
		to.FieldByName(name).Set(from.FieldByName(name))
	}
	return &merged
}
