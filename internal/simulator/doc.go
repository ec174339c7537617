// Package simulator is an adapter between an external simulator and the planner. It decodes batches of JSON events, one
// batch per line, into events of the planner, and encodes the commands of the planner as JSON.
//
// A process hosts any number of controller instances, which share no state. The simulator starts and ends them with
// events. The simulator identifies endpoints, zones, request classes and hardware models by name and measures time in
// nanoseconds, while the planner uses indices and milliseconds.
package simulator
