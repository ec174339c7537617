// Package simulator is the adapter between the simulator and the planner. It decodes batches of JSON events, one batch
// per line, into the planner's events, and encodes the planner's commands as JSON. It makes no decisions.
//
// A process hosts any number of controller instances, which the simulator starts and ends with events; they share no
// state. The simulator identifies endpoints, zones, request classes and hardware models by name and counts time in
// nanoseconds, the planner uses indices and milliseconds.
package simulator
