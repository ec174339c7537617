// Package record keeps the inputs of a controller, turn by turn, so that its state can be rebuilt after a crash and its
// run can be replayed afterwards: each turn's time and inputs, and a digest of the commands that came of them. Turns
// are encoded here and kept in an embedded database. It decides nothing about routing; docs/records.md has the layout.
//
//	turn.go, kinds.go          what a record holds
//	codec.go, input_codec.go   its bytes; primitives in encode.go and decode.go
//	store.go, database.go      the file; chunk.go, segments.go, life.go, limits.go what lies in it
//	recorder.go, writer.go     from the control loop to the file
//	tail.go, replayer.go       from the file to a rebuilt controller
//	replay.go                  a whole life once more, counted (counting.go) and weighed (estimate.go)
package record
