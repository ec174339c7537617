package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxLineBytes bounds a line of input in bytes.
const maxLineBytes = 1 << 26

// errLineTooLong says that a line passes the bound.
var errLineTooLong = fmt.Errorf("line longer than %d bytes", maxLineBytes)

// readLine reads up to a line's end, or as much as is left.
func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > maxLineBytes {
			return nil, errLineTooLong
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// Serve answers batches from in on out until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[string]*instance{}}
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriter(out)
	for line := 1; ; line++ {
		text, err := readLine(r)
		if len(bytes.TrimSpace(text)) > 0 {
			if err := h.answer(text, w); err != nil {
				return fmt.Errorf("line %d: %w", line, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read input: %w", err)
		}
	}
}
