// Package recovery decides how a controller starts: from the record of its previous run, or cold (Decide). It also
// contains the state machines of the two processes in a handover, where one takes over the controller from the other
// (Predecessor and Successor). The package performs no I/O, reads no clock, starts no goroutine and writes no log.
// Callers collect the input and carry out the decisions.
package recovery
