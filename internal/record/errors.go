package record

import "errors"

// Errors of reading a record, to be matched with errors.Is.
var (
	// ErrCorrupt means that stored data is damaged, truncated or invalid.
	ErrCorrupt = errors.New("corrupt record")
	// ErrFormat means that a record was written in another version of the stored format.
	ErrFormat = errors.New("unsupported version of the record format")
)
