package config

import (
	"slices"
	"time"
)

// PlannerSettings returns the settings of the planner, keyed by the planner's names for them. Numbers are float64,
// because records store the settings as JSON. Durations are in milliseconds. The zones and machine types of request
// classes are indices into the lists of all zones and machine types.
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

// plannerClass returns the planner's settings for one request class.
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

// discovery returns how the planner obtains the endpoint list: "on_request" if it polls the list, otherwise "pushed".
func (c *Common) discovery() string {
	if c.AskForList {
		return "on_request"
	}
	return "pushed"
}

// ReloadableSettings returns the part of PlannerSettings that a reload may change.
func (c *Common) ReloadableSettings() map[string]any {
	const anyRank = 0 // arbitrary: the rank is not among the reloadable settings
	all := c.PlannerSettings(anyRank)
	part := map[string]any{}
	for _, name := range reloadableSettings {
		part[name] = all[name]
	}
	return part
}

// milliseconds converts a duration to milliseconds without rounding to whole ones.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// toAny converts each element of a list. It returns nil for an empty list.
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

// indices returns the index of each name in a list of known names; -1 for a name that is not in the list.
func indices(names, known []string) []any {
	return toAny(names, func(name string) any { return float64(slices.Index(known, name)) })
}
