package planner

// This file parses the settings of a deployment, a map of names to values, into a struct with defaults. No other code
// of this package looks up a setting by name.

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Defaults of optional settings. Times are in milliseconds. Settings of the type Optional have no default here, because
// different formulas need different fallbacks.
const (
	defaultInstances             = 1.0
	defaultCrossZoneCost         = 0.1
	defaultWarmUpMs              = 10000.0
	defaultWarmUpInitialCapacity = 0.1
	defaultFailureLoad           = 1.0
	defaultFirstRetryWait        = 1.0
	defaultHeaderLines           = 4.0
	defaultBacklogLines          = 1000.0
	defaultMessageWindowMs       = 10000.0
	defaultDrainGraceMs          = 2000.0
	defaultMaxDeliveryMs         = 500.0
	defaultPriorityWeight        = 1.0
	defaultResponseTargetMs      = 1000.0

	// defaultStaticTableLines is so small that static tables count as diverging from any plan, so that proxies are
	// always assigned tables.
	defaultStaticTableLines = 1e-9

	// noMessageLimit is a number of messages to a proxy that is never reached. It stands for a missing limit.
	noMessageLimit = math.MaxFloat64
)

// Values of string settings, and of strings in list settings.
const (
	discoveryOnRequest     = "on_request" // value of "discovery": the endpoint list is watched only after a request
	repeatsReplayable      = "replayable" // value of "repeats" of a class: executing a request twice does no harm
	repeatsUniqued         = "uniqued"    // value of "repeats" of a class: some endpoints discard repeated requests
	groupAll               = "all"        // value of "group" of a class: all endpoints discard repeats of each other's requests
	groupZone              = "zone"       // value of "group" of a class: those of a zone do
	reportFieldUtilization = "util"       // element of "fields": load reports contain the utilization
)

// maxClasses is the number of request classes that fit into the bit masks of commands. Further classes are ignored.
const maxClasses = 31

// invalidIndex replaces an element of an IndexList that is not a valid index. It matches no zone or machine type.
const invalidIndex = -1

// Settings is the configuration of the deployment. Times are in milliseconds. A number that is missing, not above zero,
// infinite or of the wrong type is replaced by the default given in the field's comment.
type Settings struct {
	// Settings of the controllers. This planner belongs to one of them.
	Instances float64 // number of controllers; default 1
	Rank      float64 // index of this controller, starting at 0

	// Settings of the fleet.
	ProxyCount           Optional // number of proxies of all controllers together
	ZoneCount            int      // number of configured zones
	OneControllerPerZone bool     // all proxies of a zone join the same controller, which sees all of its demand
	Sliced               bool     // requests are routed by slices of the key space; the planner keeps the stored owners
	StaticTableLines     float64  // lines of the static table that a proxy starts with; default 1e-9
	DiscoveryOnRequest   bool     // changes of the endpoint list are sent only after a WatchEndpoints command

	// Settings of the endpoints.
	MinConnectionLimit    Optional // lowest connection limit of any endpoint
	CrossZoneCost         float64  // cost of routing a request to another zone, in the deployment's units; default 0.1
	WarmUpMs              float64  // time from an endpoint's start until its full capacity is available; default 10000
	WarmUpInitialCapacity float64  // fraction of an endpoint's capacity that is available at its start; default 0.1
	FailureLoad           float64  // load, as a multiple of capacity, at which an endpoint fails; default 1
	HealthChecks          bool     // the planner may command health checks of endpoints
	ReportsUtilization    bool     // load reports contain the utilization, which rises before the queue grows

	// Settings of the proxies' behavior.
	ProxiesEject     bool          // proxies avoid endpoints after several consecutive failures
	DefaultRetryMode int           // retry mode of proxies that have not received any
	FirstRetryWait   float64       // wait before the first retry, as a multiple of the response target; default 1
	Admission        AdmissionMode // form of admission levels; empty: no load shedding

	// Settings of the channel that carries messages to the proxies.
	LinesPerSecond  Optional // throughput of the channel in table lines
	BacklogLines    float64  // number of lines that may be queued in the channel; default 1000
	HeaderLines     float64  // cost of a message in lines, in addition to the lines it contains; default 4
	MessageLimit    float64  // number of messages that a proxy may receive within MessageWindowMs; default: no limit
	MessageWindowMs float64  // time to which MessageLimit applies; default 10000
	MaxDeliveryMs   float64  // longest delivery time of a message; default 500
	DrainGraceMs    float64  // time from the notice that an endpoint drains until its connections close; default 2000

	Classes []RequestClass // request classes, at most maxClasses
}

// RequestClass is the configuration of one class of requests.
type RequestClass struct {
	PriorityWeight   float64   // value of an answer relative to those of other classes; default 1
	ResponseTargetMs float64   // ms, time within which an answer is due; default 1000
	Retryable        bool      // executing a request twice does no harm
	Deduplicated     bool      // any endpoint that a proxy may try discards repeats, for as long as a request lasts
	OwnZoneOnly      bool      // only endpoints in the zone of the proxy that receives a request may serve it
	OnlyMachines     IndexList // machine types that may serve the class
	OnlyZones        IndexList // zones whose endpoints may serve the class
}

// AdmissionMode determines in which form proxies expect admission levels.
type AdmissionMode string

// The modes that allow load shedding. With any other value, no load is shed.
const (
	AdmitByShare AdmissionMode = "share" // levels are fractions of the requests, from 0 to 1
	AdmitByRate  AdmissionMode = "rate"  // levels are requests per second and proxy
)

// Optional is a number above zero, or 0 if the settings do not contain it.
type Optional float64

// Or returns the number, or the fallback if the settings do not contain it.
func (o Optional) Or(fallback float64) float64 {
	if o > 0 {
		return float64(o)
	}
	return fallback
}

// IndexList is a restriction to some zones or machine types, given by their indices. An empty list is no restriction.
type IndexList []int

// Allows returns whether the list contains an index or is empty.
func (l IndexList) Allows(index int) bool {
	return len(l) == 0 || slices.Contains(l, index)
}

// SettingError reports a setting whose value has the wrong type. The setting has its default instead.
type SettingError struct {
	Key  string // name, with the index of a list element, as in req_kinds[2].payoff
	Want string // expected type
	Got  any    // the value
}

// Error implements the error interface.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: want %s, got %T", e.Key, e.Want, e.Got)
}

// ParseSettings parses a map of setting names to values. The error joins a SettingError for each value of the wrong
// type; the returned settings are valid even so, with defaults in place of these values. A nil value counts as missing.
func ParseSettings(raw map[string]any) (Settings, error) {
	r := &settingsReader{raw: raw}
	s := Settings{}
	r.readFleet(&s)
	r.readEndpoints(&s)
	r.readProxies(&s)
	r.readChannel(&s)
	s.Classes = r.classes()
	return s, errors.Join(r.errs...)
}

// settingsReader reads typed values from a map and collects type errors.
type settingsReader struct {
	raw    map[string]any
	prefix string  // prepended to the keys in errors
	errs   []error // a SettingError for each value of the wrong type
}

// readFleet reads the settings of the controllers and of the fleet.
func (r *settingsReader) readFleet(s *Settings) {
	s.Instances = r.number("instances").Or(defaultInstances)
	s.Rank = r.number("rank").Or(0)
	s.ProxyCount = r.number("proxy_count")
	s.ZoneCount = len(readValue[[]any](r, "zones", "a list"))
	s.OneControllerPerZone = readValue[bool](r, "by_zone", "true or false")
	s.Sliced = r.number("slices") > 0
	s.StaticTableLines = r.number("standing").Or(defaultStaticTableLines)
	s.DiscoveryOnRequest = readValue[string](r, "discovery", "a string") == discoveryOnRequest
}

// readEndpoints reads the settings of the endpoints.
func (r *settingsReader) readEndpoints(s *Settings) {
	s.MinConnectionLimit = r.number("conns_least")
	s.CrossZoneCost = r.number("cross_zone").Or(defaultCrossZoneCost)
	s.WarmUpMs = r.number("cold").Or(defaultWarmUpMs)
	s.WarmUpInitialCapacity = r.number("cold_from").Or(defaultWarmUpInitialCapacity)
	s.FailureLoad = r.number("fall_multiple").Or(defaultFailureLoad)
	s.HealthChecks = readValue[bool](r, "probing", "true or false")
	for i, element := range readValue[[]any](r, "fields", "a list") {
		if element == reportFieldUtilization {
			s.ReportsUtilization = true
		} else if _, ok := element.(string); !ok {
			r.addTypeError(fmt.Sprintf("fields[%d]", i), "a string", element)
		}
	}
}

// readProxies reads the settings of the proxies' behavior.
func (r *settingsReader) readProxies(s *Settings) {
	s.ProxiesEject = r.number("ejects_after") > 0
	s.DefaultRetryMode = int(r.number("retry_default"))
	s.FirstRetryWait = r.number("first_wait").Or(defaultFirstRetryWait)
	s.Admission = AdmissionMode(readValue[string](r, "admission", "a string"))
}

// readChannel reads the settings of the channel to the proxies.
func (r *settingsReader) readChannel(s *Settings) {
	s.LinesPerSecond = r.number("lines_per_s")
	s.BacklogLines = r.number("backlog").Or(defaultBacklogLines)
	s.HeaderLines = r.number("head_lines").Or(defaultHeaderLines)
	s.MessageLimit = r.number("messages_most").Or(noMessageLimit)
	s.MessageWindowMs = r.number("messages_over").Or(defaultMessageWindowMs)
	s.MaxDeliveryMs = r.number("late_most").Or(defaultMaxDeliveryMs)
	s.DrainGraceMs = r.number("drain_grace").Or(defaultDrainGraceMs)
}

// classes reads the request classes. An element that is not a map is an error and yields a class with all defaults.
func (r *settingsReader) classes() []RequestClass {
	list := readValue[[]any](r, "req_kinds", "a list")
	ownZone := readValue[[]any](r, "kind_own_zone", "a list")
	var classes []RequestClass
	for i, element := range list[:min(len(list), maxClasses)] {
		key := fmt.Sprintf("req_kinds[%d]", i)
		raw, ok := element.(map[string]any)
		if !ok {
			r.addTypeError(key, "a map", element)
		}
		classReader := &settingsReader{raw: raw, prefix: r.prefix + key + "."}
		class := classReader.class()
		r.errs = append(r.errs, classReader.errs...)
		if i < len(ownZone) {
			class.OwnZoneOnly = ownZone[i] == true
		}
		class.Deduplicated = classReader.deduplicated(class.OwnZoneOnly)
		classes = append(classes, class)
	}
	return classes
}

// class reads the settings of one request class, except OwnZoneOnly and Deduplicated.
func (r *settingsReader) class() RequestClass {
	return RequestClass{
		PriorityWeight:   r.number("payoff").Or(defaultPriorityWeight),
		ResponseTargetMs: r.number("response_target").Or(defaultResponseTargetMs),
		Retryable:        readValue[string](r, "repeats", "a string") == repeatsReplayable,
		OnlyMachines:     r.indices("only_machines"),
		OnlyZones:        r.indices("only_zones"),
	}
}

// deduplicated reads whether a repeat of a request of the class is discarded wherever and whenever a proxy may send it. A
// proxy may try any endpoint that serves the class, in its own zone only if ownZoneOnly is true, until the client's
// timeout. It is not known for a class without these settings.
func (r *settingsReader) deduplicated(ownZoneOnly bool) bool {
	if readValue[string](r, "repeats", "a string") != repeatsUniqued {
		return false
	}
	group := readValue[string](r, "group", "a string")
	timeout := r.number("client_timeout")
	inTime := timeout > 0 && r.number("window") >= timeout
	return inTime && (group == groupAll || group == groupZone && ownZoneOnly)
}

// number reads a number. It returns 0 if the value is missing, not above zero, infinite or not a number.
func (r *settingsReader) number(key string) Optional {
	number := readValue[float64](r, key, "a number")
	if number > 0 && !math.IsInf(number, 0) {
		return Optional(number)
	}
	return 0
}

// indices reads a list of indices. An element that is not an index becomes invalidIndex, so that the list does not
// become empty, which would allow everything.
func (r *settingsReader) indices(key string) IndexList {
	var list IndexList
	for i, element := range readValue[[]any](r, key, "a list") {
		number, ok := element.(float64)
		index := int(number)
		if !ok || float64(index) != number || index < 0 {
			r.addTypeError(fmt.Sprintf("%s[%d]", key, i), "an index", element)
			index = invalidIndex
		}
		list = append(list, index)
	}
	return list
}

// addTypeError records that the value of a setting has the wrong type.
func (r *settingsReader) addTypeError(key, want string, got any) {
	r.errs = append(r.errs, &SettingError{Key: r.prefix + key, Want: want, Got: got})
}

// readValue reads a value of type T. It returns the zero value if the setting is missing. If the setting has another
// type, it also records an error, in which want describes the expected type.
func readValue[T any](r *settingsReader, key, want string) T {
	var zero T
	raw, present := r.raw[key]
	if !present || raw == nil {
		return zero
	}
	typed, ok := raw.(T)
	if !ok {
		r.addTypeError(key, want, raw)
	}
	return typed
}
