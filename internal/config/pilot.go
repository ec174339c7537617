package config

import (
	"fmt"
	"strings"
	"time"

	"indigousher/internal/identity"
	"indigousher/internal/wire"
	"indigousher/telemetry"
)

// Pilot holds the settings of one pilot. A reload reports these field names to users, in this order.
type Pilot struct {
	Common

	// This instance.
	Name     string
	Zone     string
	Rank     int // number of this pilot among the instances, from 0
	Seed     int
	Listen   string // address where proxies join over the framed protocol
	Admin    string // address of the admin endpoints; "": none
	Handover string // path of the socket over which a new process takes over; "": none
	GRPC     string // address where proxies join over gRPC and xDS; "": none

	// Certificates and private key of all streams.
	Keys  identity.Files
	Plain bool // no keys; for loopback addresses only

	NewPerS float64 // gRPC streams that are accepted in a second; 0: no limit

	// Source of the endpoint list: a file or the address of a streaming server.
	ListFile    string
	ListAddress string
	ListSilence time.Duration // without a message after which a streaming server counts as lost

	// Gossip between pilots.
	PeersListen string
	Peers       map[string]string // addresses by rank
	PeersSecret string            // file of keys that seal gossip; required unless Plain

	// Telemetry: load reports of the proxies.
	IntakeLinesPerS float64       // report lines that are taken in a second, more are sampled; 0: no limit
	IntakeStanding  int           // sums that may wait for the planner; 0: no limit
	IntakeSlowest   int           // multiple of the reporting interval that proxies may be slowed down to
	IntakeHalf      time.Duration // age at which a figure has half its weight
	IntakeLongest   time.Duration // reports that cover more time are rejected

	// Streams of the proxies.
	Beat          time.Duration // heartbeat interval
	WriteDeadline time.Duration // a write that takes longer ends the stream
	HelloDeadline time.Duration // within which a new stream must send its Hello
	SeenWithin    time.Duration // a proxy that has not processed a message by then has its stream closed
	DrainOnStop   time.Duration // for which a stopping pilot waits for its proxies to reconnect elsewhere
	MaxFrame      int           // bytes
	MaxStreams    int           // also the limit of senders of reports
	Queue         int           // messages that may wait for the writer of one stream
	MostProxies   int           // distinct proxy names in the life of a process

	// Record of inputs, and recovery from it.
	RecordDir     string        // "": nothing is recorded
	RecordKeep    time.Duration // older segments are deleted
	RecordMostMB  float64       // MiB; the oldest segments are deleted first
	RecoverTail   time.Duration // span of recorded inputs that a restarted pilot replays
	RecoverWithin time.Duration // an older record is not used

	LogLevel  string
	LogFormat string
}

// Defaults returns the default settings.
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
		return nil, fmt.Errorf("read terms: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates a pilot's settings; the name of the file is for errors.
func Parse(name string, text []byte) (*Pilot, error) {
	body, diags := Open(name, text)
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	p := Defaults()
	diags = Read(body, p.Attributes(), append(p.Blocks(), p.blocks()...))
	if !diags.HasErrors() {
		p.setDefaultZone()
		diags = append(diags, p.validate(body.MissingItemRange())...)
	}
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	return &p, nil
}

// setDefaultZone places a pilot without a zone into the first one.
func (p *Pilot) setDefaultZone() {
	if p.Zone == "" && len(p.Zones) > 0 {
		p.Zone = p.Zones[0]
	}
}

// String names a pilot for logs.
func (p *Pilot) String() string { return strings.Join([]string{p.Name, p.Zone}, "@") }

// TelemetryOptions returns the options of the telemetry package.
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
