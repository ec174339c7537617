package config

import (
	"fmt"
	"strings"
	"time"

	"indigousher/internal/identity"
	"indigousher/internal/wire"
	"indigousher/telemetry"
)

// Pilot holds the settings of one pilot. The field names are shown to users by a reload, in this order, and must not
// change.
type Pilot struct {
	Common

	// Identity and addresses of this pilot.
	Name     string // also the name in its certificate
	Zone     string // zone in which the pilot runs; if the file does not set it, the first of Zones
	Rank     int    // index of this pilot among the instances, from 0
	Seed     int    // seed of the planner's random numbers
	Listen   string // listen address for proxies that use the framed protocol
	Admin    string // listen address of the admin interface; "": disabled
	Handover string // path of the Unix socket through which a new process can take over; "": disabled
	GRPC     string // listen address for proxies that use gRPC or xDS; "": disabled

	// TLS keys for all connections. Keys is empty exactly if Plain is true.
	Keys  identity.Files
	Plain bool // plain text without TLS; allowed for loopback addresses only

	NewPerS float64 // maximum rate of new gRPC streams, per second; 0: no limit

	// Source of the endpoint list. Exactly one of ListFile and ListAddress is set.
	ListFile    string        // path of an HCL file, see ParseList
	ListAddress string        // address of a streaming server
	ListSilence time.Duration // time without a message after which the streaming server is considered lost

	// Gossip between pilots.
	PeersListen string            // UDP listen address; "": disabled
	Peers       map[string]string // addresses of the other pilots by rank
	PeersSecret string            // file with the keys that encrypt gossip; required unless Plain

	// Intake: processing of the proxies' load reports.
	IntakeLinesPerS float64       // report lines per second above which reports are sampled; 0: no limit
	IntakeStanding  int           // maximum number of sums queued for the planner; 0: no limit
	IntakeSlowest   int           // maximum factor by which the proxies' reporting interval is extended under load
	IntakeHalf      time.Duration // half-life of the weight of reported values
	IntakeLongest   time.Duration // maximum time that one report may cover; longer reports are rejected

	// Streams to the proxies.
	Beat          time.Duration // heartbeat interval
	WriteDeadline time.Duration // time limit for one write; the stream is closed when it is exceeded
	HelloDeadline time.Duration // time within which a new stream must send its Hello
	SeenWithin    time.Duration // time within which a proxy must process a message; otherwise its stream is closed
	DrainOnStop   time.Duration // time that a stopping pilot waits for its proxies to reconnect elsewhere
	MaxFrame      int           // maximum size of a frame, in bytes
	MaxStreams    int           // maximum number of streams, and of proxies whose reports are tracked
	Queue         int           // maximum number of messages queued for one stream
	MostProxies   int           // maximum number of distinct proxy names during the lifetime of a process

	// Record of inputs, and recovery from it.
	RecordDir     string        // directory of the record; "": recording is disabled
	RecordKeep    time.Duration // age above which segments of the record are deleted
	RecordMostMB  float64       // maximum size of the record in MiB; the oldest segments are deleted first
	RecoverTail   time.Duration // span of the record that a restarted pilot replays
	RecoverWithin time.Duration // age above which a record is not used for recovery

	LogLevel  string // debug, info, warn or error
	LogFormat string // console (human-readable) or json
}

// Defaults returns the default settings of a pilot. Required settings, such as zones, request classes and the source of
// the endpoint list, are not set.
func Defaults() Pilot {
	return Pilot{
		Common: CommonDefaults(),

		Name:   "pilot",
		Seed:   1,
		Listen: "127.0.0.1:7400",
		Admin:  "127.0.0.1:7401",

		NewPerS:     500,
		ListSilence: 10 * time.Second,

		IntakeLinesPerS: 200_000,
		IntakeStanding:  100_000,
		IntakeSlowest:   8,
		IntakeHalf:      5 * time.Second,
		IntakeLongest:   2 * time.Minute,

		Beat:          time.Second,
		WriteDeadline: 2 * time.Second,
		HelloDeadline: 3 * time.Second,
		SeenWithin:    1500 * time.Millisecond,
		DrainOnStop:   2 * time.Second,
		MaxFrame:      wire.MaxFrame,
		MaxStreams:    4096,
		Queue:         64,
		MostProxies:   maxProxies,

		RecordKeep:    7 * 24 * time.Hour,
		RecordMostMB:  1024,
		RecoverTail:   time.Minute,
		RecoverWithin: 2 * time.Minute,

		LogLevel:  "info",
		LogFormat: "console",
	}
}

// ReadPilot reads and validates a pilot's settings file.
func ReadPilot(path string) (*Pilot, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates a pilot's settings. The name of the file is used in errors.
func Parse(name string, text []byte) (*Pilot, error) {
	body, diags := ParseBody(name, text)
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	p := Defaults()
	diags = DecodeBody(body, p.Attributes(), append(p.Blocks(), p.blocks()...))
	if !diags.HasErrors() {
		p.setDefaultZone()
		diags = append(diags, p.validate(body.MissingItemRange())...)
	}
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	return &p, nil
}

// setDefaultZone assigns the first zone to a pilot whose zone is not set.
func (p *Pilot) setDefaultZone() {
	if p.Zone == "" && len(p.Zones) > 0 {
		p.Zone = p.Zones[0]
	}
}

// String returns "name@zone", for logs.
func (p *Pilot) String() string { return strings.Join([]string{p.Name, p.Zone}, "@") }

// TelemetryOptions converts the settings for load reports to the options of the telemetry package.
func (p *Pilot) TelemetryOptions() telemetry.Options {
	return telemetry.Options{
		LinesPerS:   p.IntakeLinesPerS,
		FlushedPerS: float64(p.ReportLinesPerS),
		MaxPending:  p.IntakeStanding,
		PeriodMs:    milliseconds(p.Period),
		HalfLifeMs:  milliseconds(p.IntakeHalf),
		MaxAgeMs:    milliseconds(p.IntakeLongest),
		MaxSlowdown: p.IntakeSlowest,
		WarmUpMs:    milliseconds(p.Cold),
		MaxSenders:  p.MaxStreams,
	}
}
