// Package record keeps what a pilot was told, turn by turn, so that it can be rebuilt after a crash and replayed
// afterwards: each turn's time and inputs, and a digest of the orders that came of them. Turns are laid out here and kept
// in an embedded store (store.go). It decides nothing; docs/records.md has the layout.
package record
