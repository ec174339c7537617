package pilot

import (
	"indigousher/brain"
	"indigousher/intake"
)

// Plan names all that a Core is made from.
type Plan struct {
	Decider                Decider
	Terms                  map[string]any // the map the Decider reads
	Zones, Machines, Kinds []string
	LinesPerS, Backlog     float64
	HeadLines              int
	MessagesMost           int
	MessagesOverMs         float64
	Intake                 intake.Terms
	MostProxies            int // distinct names in a life; more are refused
	List                   ListSource
	Prober                 Prober
	Peers                  Peers
	Relay                  Relay                               // where others hold the streams; nil: they are ours
	Log                    func(text string)                   // the module's own lines
	Odd                    func(what string, fields ...string) // what an edge said that can't be used
	Meter                  *Meter
	// Turn, if not nil, hears of each turn: its inputs, what the intake passed on, and the orders.
	Turn     func(nowMs float64, inputs []Input, told []brain.Note, orders []brain.Order)
	Replayed bool // what the intake passed on comes as Told; the core's own is not asked
}
