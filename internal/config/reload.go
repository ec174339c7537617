package config

import (
	"reflect"
	"slices"
)

// reloadableFields names the fields of Pilot that a reload may change. Reload reports these names to users.
var reloadableFields = []string{
	"LinesPerS", "Backlog", "MessagesMost", "MessagesOver",
	"DrainGrace", "BareFor", "Cold", "ColdFrom", "Fall", "FallMultiple",
	"LogLevel", "DrainOnStop",
}

// reloadableSettings names those of the reloadable fields that the planner reads, by the planner's keys.
var reloadableSettings = []string{
	"lines_per_s", "backlog", "messages_most", "messages_over",
	"drain_grace", "bare_for", "cold", "cold_from", "fall", "fall_multiple",
}

// Reload compares the settings in force with new ones. It returns the names of the fields that change at once and of
// those that require a restart.
func Reload(old, now *Pilot) (changed, restart []string) {
	visitDifferences(reflect.ValueOf(*old), reflect.ValueOf(*now), func(name string) {
		if slices.Contains(reloadableFields, name) {
			changed = append(changed, name)
		} else {
			restart = append(restart, name)
		}
	})
	return changed, restart
}

// visitDifferences calls visit with the name of each field that differs, those of embedded structs included.
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

// Merge returns the old settings with the reloadable fields of the new ones.
func Merge(old, now *Pilot) *Pilot {
	merged := *old
	to, from := reflect.ValueOf(&merged).Elem(), reflect.ValueOf(*now)
	for _, name := range reloadableFields {
		to.FieldByName(name).Set(from.FieldByName(name))
	}
	return &merged
}
