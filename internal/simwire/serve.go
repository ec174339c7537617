package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxLineBytes bounds a line of input, so that one without an end does not take all memory.
	maxLineBytes = 1 << 26
	// readBufferBytes is large enough for most batches to be read in one call.
	readBufferBytes = 1 << 20
)

// errLineTooLong says that a line of input exceeds maxLineBytes.
var errLineTooLong = fmt.Errorf("line longer than %d bytes", maxLineBytes)

// Serve answers each batch that is read from in by a reply on out, until the input ends. An error of the input, or a
// batch that is malformed, ends it; what an instance makes of its events does not.
func Serve(in io.Reader, out io.Writer) error {
	h := newHost()
	r := bufio.NewReaderSize(in, readBufferBytes)
	w := bufio.NewWriter(out)
	for number := 1; ; number++ {
		line, readErr := readLine(r)
		if len(bytes.TrimSpace(line)) > 0 {
			if err := h.answer(line, w); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("read input: %w", readErr)
		}
	}
}

// readLine reads up to the end of a line. At the end of the input it returns what is left along with the error.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
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
