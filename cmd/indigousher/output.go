package main

import (
	"fmt"
	"io"
)

// printf writes formatted text to a command's output. It ignores write errors, which typically mean that the reader has
// closed a pipe.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
