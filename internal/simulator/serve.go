package simulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxLineBytes bounds the memory that an endless line of input can take.
	maxLineBytes = 1 << 26
	// readBufferBytes is large enough for most batches to be read in one call.
	readBufferBytes = 1 << 20
)

// errLineTooLong says that a line of input exceeds maxLineBytes.
var errLineTooLong = fmt.Errorf("line longer than %d bytes", maxLineBytes)

// Serve reads batches from in and writes a reply to each to out, until the input ends. It stops with an error if the
// input fails, if a batch is malformed, or if a command can't be encoded.
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

// readLine reads up to the end of a line. At the end of the input it returns the rest along with io.EOF.
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
