package record

import (
	"fmt"

	"indigousher/internal/controller"
)

// Options of a replayed core that the planner's settings do not hold. Telemetry is not asked in a replay, since what it
// passed on is in the record; its figures only have to be valid.
const (
	replayMaxProxies      = 65535
	replayPeriodMs        = 1000
	replayHalfLifeMs      = 5000
	replayLongestPeriodMs = 120_000
)

// optionsFromSettings returns a replayed core's options, but for the planner, from the planner's settings.
func optionsFromSettings(settings map[string]any) (controller.Options, error) {
	options := controller.Options{
		Zones:           nameList(settings, "zones"),
		Machines:        nameList(settings, "machines"),
		Classes:         nameList(settings, "req_kinds"),
		LinesPerS:       number(settings, "lines_per_s"),
		Backlog:         number(settings, "backlog"),
		MessageOverhead: int(number(settings, "head_lines")),
		MaxMessages:     int(number(settings, "messages_most")),
		MessageWindowMs: number(settings, "messages_over"),
		MaxProxies:      replayMaxProxies,
		EndpointSource:  disabledTransports{},
		HealthChecker:   disabledTransports{},
		Gossip:          disabledTransports{},
		Log:             func(string) {},
		Malformed:       func(string, ...string) {},
		Replayed:        true,
	}
	options.Telemetry.PeriodMs = replayPeriodMs
	options.Telemetry.HalfLifeMs = replayHalfLifeMs
	options.Telemetry.MaxAgeMs = replayLongestPeriodMs
	if len(options.Zones) == 0 || len(options.Classes) == 0 {
		return options, fmt.Errorf("terms without zones or req kinds: %w", ErrCorrupt)
	}
	return options, nil
}

// nameList returns a setting that lists names, or objects with a name; nil if there is none.
func nameList(settings map[string]any, key string) []string {
	items, _ := settings[key].([]any)
	var names []string
	for _, item := range items {
		switch item := item.(type) {
		case string:
			names = append(names, item)
		case map[string]any:
			name, _ := item["name"].(string)
			names = append(names, name)
		}
	}
	return names
}

// number returns a setting that is a number, 0 if there is none.
func number(settings map[string]any, key string) float64 {
	v, _ := settings[key].(float64)
	return v
}

// disabledTransports stand for the transports that a replayed core has not.
type disabledTransports struct{}

// Watch does nothing.
func (disabledTransports) Watch(bool) {}

// Fetch does nothing.
func (disabledTransports) Fetch() {}

// Probe does nothing.
func (disabledTransports) Probe(string) {}

// Tell does nothing.
func (disabledTransports) Tell(int, string) {}
