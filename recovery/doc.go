// Package recovery decides how a pilot that returns begins: from the record of the life before, or cold. It has no I/O,
// clock or log; the daemon gathers the facts and does as it says.
package recovery
