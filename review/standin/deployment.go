package main

import "time"

// class is a request class of a deployment.
type class struct {
	name        string
	share       float64       // part of the requests
	work        time.Duration // mean work at an endpoint
	aim         time.Duration
	deadline    time.Duration
	worth       float64
	idempotency string // as in the settings
	onlyKinds   []string
	ownZone     bool
	writes      bool
}

// deployment describes the pilots, endpoints and proxies of a scenario and the figures of their settings.
type deployment struct {
	zones      []string
	kinds      []string
	classes    []class
	pilotZones []string // zone of each pilot
	proxies    []string // zone of each proxy
	endpoints  []member // at the start
	rate       float64  // requests per second of a proxy
	byZone     bool     // proxies join a pilot of their zone

	linesPerS    float64
	backlog      float64
	head         int
	late         time.Duration // mean time from the channel to the proxy
	lateMost     time.Duration
	messagesMost int
	standing     int
	ejects       int
	keepAway     time.Duration
	emptyFor     time.Duration
	drainGrace   time.Duration
	cold         time.Duration
	coldFrom     float64
	fall         time.Duration
	fallMultiple float64
	connsLeast   float64
	period       time.Duration // of the collectors' sums
	intakePerS   int
	reportLate   time.Duration
	redial       [2]time.Duration
	fields       []string
}

// member is an endpoint at the start of a scenario.
type member struct{ name, zone, kind string }

// settings returns the object that a pilot finds as "settings" in its configuration.
func (d *deployment) settings(rank int) map[string]any {
	ns := func(t time.Duration) float64 { return float64(t.Nanoseconds()) }
	var profiles []any
	var own, writes []bool
	for _, c := range d.classes {
		p := map[string]any{
			"name": c.name, "aim": ns(c.aim), "give_up": ns(c.deadline), "group": "all",
			"idempotency": c.idempotency, "importance": c.worth, "late_worth": 0.2, "window": 5e9,
		}
		if len(c.onlyKinds) > 0 {
			p["only_kinds"] = c.onlyKinds
		}
		profiles = append(profiles, p)
		own = append(own, c.ownZone)
		writes = append(writes, c.writes)
	}
	return map[string]any{
		"dcs": d.zones, "kinds": d.kinds, "discovery": "pushed", "family": "control", "instances": len(d.pilotZones),
		"rank": rank, "zone": d.pilotZones[rank], "tick": 5e6, "weight_kind": "nominal", "worth_by": "request",
		"profiles": profiles,
		"extra": map[string]any{
			"admission": "share", "backlog": d.backlog, "bootstrap": d.standing, "by_zone": d.byZone,
			"class_own_zone": own, "conns_least": d.connsLeast, "counted_over": 1e10, "egress_per_s": d.linesPerS,
			"empty_for": ns(d.emptyFor), "envelope": d.head, "first_wait": 0.8, "ingest_rate": d.intakePerS,
			"lb_method": "two", "lingers": 7.5e9, "one_owner": false, "order_price": 0.08, "outlier_after": d.ejects,
			"partitions_n": 0, "proxy_count": len(d.proxies), "push_delay": ns(d.late), "pushes_allowed": d.messagesMost,
			"report_every": ns(d.period), "retry_default": 1, "shift_fee": 0.01, "transit_max": ns(d.lateMost),
			"waits_for_table": 3e8, "warm_keys": false, "write_classes": writes, "write_lease": 2.5e9,
		},
		"obligations": map[string]any{
			"ask_within": 1e10, "cold": ns(d.cold), "cold_from": d.coldFrom, "drain_grace": ns(d.drainGrace),
			"fall": ns(d.fall), "fall_multiple": d.fallMultiple,
		},
		"policy_limits": map[string]any{
			"conn_idle": 1.5e10, "cpu_us_per_s": 250000, "dial_timeout": 2.5e8, "multiplex": 32, "peers": true, "probing": false,
		},
		"prices": map[string]any{
			"connection": 0.02, "cross_zone": 0.12, "discovery": 0.0, "handshake": 0.02, "late_fail": 0.08, "moves": 0.0,
			"peer": 0.01, "probe": 0.0, "waste": 0.08,
		},
		"report":      map[string]any{"fields": d.fields, "how": "inline"},
		"score_parts": map[string]any{"whole": 0.7, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.2},
	}
}
