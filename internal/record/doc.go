// Package record stores the inputs of a controller, so that its state can be rebuilt after a crash and its run can be
// replayed later. For each turn of the control loop it stores the time, the inputs and a digest of the commands that
// the planner returned. The record of one incarnation of a controller, from its start to its end, is called a life.
// Turns are stored in an embedded database. The package makes no routing decisions; docs/records.md describes the
// layout.
//
//	turn.go, kinds.go          turns and their inputs
//	codec.go, input_codec.go   encoding of turns; primitives in encode.go and decode.go
//	store.go, database.go      the database file; chunk.go, segments.go, life.go and limits.go its contents
//	recorder.go, writer.go     recording: from the control loop to the file
//	tail.go, replayer.go       recovery: from the file to a rebuilt controller
//	replay.go                  replay of a whole life, with counts (counting.go) and an estimate (estimate.go)
package record
