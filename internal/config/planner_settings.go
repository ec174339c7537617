package config

import (
	"slices"
	"time"
)

// PlannerSettings returns the settings for the planner, by the planner's keys. Records keep them as JSON, so all
// numbers are float64. Durations are in milliseconds; zones and machine types of classes are indices into their lists.
func (c *Common) PlannerSettings(rank int) map[string]any {
	return map[string]any{
		"zones":         stringValues(c.Zones),
		"machines":      stringValues(c.Machines),
		"req_kinds":     toAny(c.Kinds, c.plannerClass),
		"kind_own_zone": toAny(c.Kinds, func(class RequestClass) any { return class.OwnZone }),
		"kind_writes":   toAny(c.Kinds, func(class RequestClass) any { return class.Writes }),

		"rank":        float64(rank),
		"instances":   float64(c.Instances),
		"proxy_count": float64(c.Proxies),
		"slices":      float64(c.Slices),
		"by_zone":     c.ByZone,
		"discovery":   c.discovery(),

		"lines_per_s":   c.LinesPerS,
		"backlog":       c.Backlog,
		"head_lines":    float64(c.HeadLines),
		"messages_most": float64(c.MessagesMost),
		"messages_over": milliseconds(c.MessagesOver),

		"drain_grace":   milliseconds(c.DrainGrace),
		"bare_for":      milliseconds(c.BareFor),
		"cold":          milliseconds(c.Cold),
		"cold_from":     c.ColdFrom,
		"fall":          milliseconds(c.Fall),
		"fall_multiple": c.FallMultiple,

		"admission":     c.Admission,
		"pick":          c.Pick,
		"ejects_after":  float64(c.EjectsAfter),
		"retry_default": float64(c.RetryHow),
		"first_wait":    c.FirstWait,
		"cross_zone":    c.CrossZone,

		"fields":       stringValues(c.Fields),
		"report_every": milliseconds(c.Period),
		"probing":      c.Probing,
	}
}

// plannerClass returns the planner's settings of one request class.
func (c *Common) plannerClass(class RequestClass) any {
	return map[string]any{
		"name":            class.Name,
		"response_target": milliseconds(class.ResponseTarget),
		"client_timeout":  milliseconds(class.ClientTimeout),
		"payoff":          class.Payoff,
		"late_payoff":     class.LatePayoff,
		"repeats":         class.Repeats,
		"group":           class.Group,
		"window":          milliseconds(class.Window),
		"only_machines":   indices(class.OnlyMachines, c.Machines),
		"only_zones":      indices(class.OnlyZones, c.Zones),
	}
}

// discovery returns how the planner gets the endpoint list.
func (c *Common) discovery() string {
	if c.AskForList {
		return "on_request"
	}
	return "pushed"
}

// ReloadableSettings returns the part of PlannerSettings that a reload may change.
func (c *Common) ReloadableSettings() map[string]any {
	const anyRank = 0 // the rank is not reloadable, so its value doesn't matter here
	all := c.PlannerSettings(anyRank)
	part := map[string]any{}
	for _, name := range reloadableSettings {
		part[name] = all[name]
	}
	return part
}

// milliseconds returns a duration with its fraction of a millisecond.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// toAny converts the elements of a list, nil if there are none.
func toAny[T any](from []T, convert func(T) any) []any {
	var values []any
	for _, element := range from {
		values = append(values, convert(element))
	}
	return values
}

func stringValues(from []string) []any {
	return toAny(from, func(s string) any { return s })
}

// indices returns the places of names in a list of known names.
func indices(names, known []string) []any {
	return toAny(names, func(name string) any { return float64(slices.Index(known, name)) })
}
