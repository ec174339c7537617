package record

import "errors"

// Errors of reading, checked with errors.Is.
var (
	// ErrCorrupt says that stored bytes are damaged, cut off or make no sense.
	ErrCorrupt = errors.New("the record is torn")
	// ErrFormat says that a record was written in another version of the format.
	ErrFormat = errors.New("the record is of another format")
)
