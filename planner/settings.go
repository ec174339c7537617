package planner

// This file turns the settings of a deployment, a map of names to values, into typed values with their
// defaults. Past ParseSettings, no code of this package looks up a setting by name.

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Defaults of settings that a deployment may leave out. Three numbers have no single default, because different
// formulas need different fallbacks: see Optional.
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

	// defaultStaticTableLines is so small that standing tables count as diverging from any plan: tables are always
	// assigned.
	defaultStaticTableLines = 1e-9

	// noMessageLimit is a number of messages to a proxy that is never reached.
	noMessageLimit = math.MaxFloat64
)

// Values of settings that are words.
const (
	discoveryOnRequest     = "on_request" // of "discovery"
	repeatsReplayable      = "replayable" // of a class's "repeats": a repetition has no further effect
	reportFieldUtilization = "util"       // in "fields"; the names of the other fields are in load.go
)

// maxClasses is the number of request classes that fit the bit masks of the commands; further ones are ignored.
const maxClasses = 31

// invalidIndex stands in an IndexList for an element that is not an index.
const invalidIndex = -1

// Settings is all that is configured of the deployment. Times are in milliseconds. A number that is missing, not
// above zero, infinite or of another type takes the default named beside it.
type Settings struct {
	// The controllers, of which this planner serves one.
	Instances float64 // how many there are; default 1
	Rank      float64 // of this one among them, from 0

	// The fleet.
	ProxyCount           Optional // proxies of all controllers together
	ZoneCount            int      // zones that are named
	OneControllerPerZone bool     // all proxies of a zone join the same controller, which so sees the zone's whole demand
	Sliced               bool     // requests go by slices of a key space; the planner leaves their stored owners alone
	StaticTableLines     float64  // lines of the table that a proxy has before any is assigned; default 1e-9
	DiscoveryOnRequest   bool     // changes of the endpoint list come only after WatchEndpoints

	// The endpoints.
	MinConnectionLimit    Optional // connection limit of the endpoint with the lowest one
	CrossZoneCost         float64  // cost of a request that leaves its zone, in the deployment's units; default 0.1
	WarmUpMs              float64  // time from an endpoint's start until it has its full capacity; default 10 s
	WarmUpInitialCapacity float64  // fraction of its capacity that an endpoint has at its start; default 0.1
	FailureLoad           float64  // load, as a multiple of capacity, at which an endpoint fails; default 1
	HealthChecks          bool     // the controller may check the health of endpoints
	ReportsUtilization    bool     // load reports contain the utilization, which rises before queues do

	// The proxies' own behavior.
	ProxiesEject     bool    // proxies avoid endpoints that have failed several times in a row
	DefaultRetryMode int     // retry policy of proxies that have received none
	FirstRetryWait   float64 // before a retry, in units of the class's response target; default 1
	Admission        AdmissionMode

	// The channel to the proxies.
	LinesPerSecond  Optional // that it carries
	BacklogLines    float64  // that may wait in it; default 1000
	HeaderLines     float64  // that a message costs beside those it brings; default 4
	MessageLimit    float64  // messages that a proxy may get within MessageWindowMs; default: no limit
	MessageWindowMs float64  // default 10 s
	MaxDeliveryMs   float64  // longest way of a message; default 500 ms
	DrainGraceMs    float64  // from the notice that an endpoint drains until its connections are cut; default 2 s

	Classes []RequestClass
}

// RequestClass is what is configured of one class of requests.
type RequestClass struct {
	PriorityWeight   float64   // relative value of an answer; default 1
	ResponseTargetMs float64   // by when an answer is due; default 1 s
	Retryable        bool      // a repetition does no harm, also after an attempt that may have run
	OwnZoneOnly      bool      // only endpoints of the requests' own zone may serve it
	OnlyMachines     IndexList // machine types that may serve it
	OnlyZones        IndexList // zones whose endpoints may serve it
}

// AdmissionMode says in which form proxies take admission levels.
type AdmissionMode string

// The modes in which load can be shed. With any other value nothing is.
const (
	AdmitByShare AdmissionMode = "share" // the part of the requests that is admitted
	AdmitByRate  AdmissionMode = "rate"  // requests a second that each proxy admits
)

// Optional is a number above zero that the settings may lack; it is 0 then.
type Optional float64

// Or returns the number, or the fallback if the settings lack it.
func (o Optional) Or(fallback float64) float64 {
	if o > 0 {
		return float64(o)
	}
	return fallback
}

// IndexList names some zones or machine types by their indices; an empty list names all.
type IndexList []int

// Has returns whether the list names an index.
func (l IndexList) Allows(index int) bool {
	return len(l) == 0 || slices.Contains(l, index)
}

// SettingError reports a setting whose value has the wrong type, so that its default stands.
type SettingError struct {
	Key  string // with the place of an element in a list, as in req_kinds[2].payoff
	Want string // the type that is needed
	Got  any
}

// Error implements the error interface.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: want %s, got %T", e.Key, e.Want, e.Got)
}

// ParseSettings reads settings out of a map of names to values. Its error joins a SettingError for each value of the
// wrong type; the settings returned with it have the defaults there. A null counts as missing.
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

// settingsReader reads typed values out of a map and collects complaints.
type settingsReader struct {
	raw    map[string]any
	prefix string // of keys in complaints
	errs   []error
}

// readFleet reads the settings of the controllers and the fleet.
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

// readProxies reads the settings of the proxies' own behavior.
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

// classes reads the request classes. What is no map of settings counts as a class without settings.
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
		classes = append(classes, class)
	}
	return classes
}

// class reads one request class.
func (r *settingsReader) class() RequestClass {
	return RequestClass{
		PriorityWeight:   r.number("payoff").Or(defaultPriorityWeight),
		ResponseTargetMs: r.number("response_target").Or(defaultResponseTargetMs),
		Retryable:        readValue[string](r, "repeats", "a string") == repeatsReplayable,
		OnlyMachines:     r.indices("only_machines"),
		OnlyZones:        r.indices("only_zones"),
	}
}

// number reads a number; it is missing where the value is not above zero, infinite or no number.
func (r *settingsReader) number(key string) Optional {
	number := readValue[float64](r, key, "a number")
	if number > 0 && !math.IsInf(number, 0) {
		return Optional(number)
	}
	return 0
}

// indices reads a list of indices. An element that is none names nothing, but the list counts as not empty.
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

// complain notes a value of the wrong type.
func (r *settingsReader) addTypeError(key, want string, got any) {
	r.errs = append(r.errs, &SettingError{Key: r.prefix + key, Want: want, Got: got})
}

// value reads a value of one type; a missing one and one of another type are the type's zero value.
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
