// Package recovery decides how a controller that starts begins, from the record of the life before it or cold
// (decision.go), and what each of two processes does next when one takes over from the other (handover.go,
// predecessor.go, successor.go). It has no I/O, clock, goroutine or log: callers gather the facts and do as it says.
package recovery
