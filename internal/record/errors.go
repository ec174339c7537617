package record

import (
	"errors"
)

// Errors of reading.
var (
	ErrTorn   = errors.New("the record is torn")
	ErrFormat = errors.New("the record is of another format")
)

// ErrDiffers says that a replay ordered otherwise than the record.
var ErrDiffers = errors.New("the replay orders otherwise")
