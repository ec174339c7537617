// Package simwire is the adapter for the simulator: it carries batches of the simulator's JSON, one a line, to the
// planner's events, and the planner's commands back. It decides nothing.
//
// One process may hold several instances of the controller, which the simulator starts and ends by events. They share
// nothing. The simulator names endpoints, zones, request classes and hardware models by text and counts time in
// nanoseconds; the planner knows indices and milliseconds.
package simwire
