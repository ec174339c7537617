package simulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxLineBytes is the largest accepted length of an input line. It limits the memory that a line without end can
	// use.
	maxLineBytes = 1 << 26
	// readBufferBytes is the size of the input buffer, large enough to read most batches in one call.
	readBufferBytes = 1 << 20
)

// errLineTooLong is returned for an input line that exceeds maxLineBytes.
var errLineTooLong = fmt.Errorf("line longer than %d bytes", maxLineBytes)

// Serve reads batches from in and writes a reply to each of them to out. It returns nil at the end of the input. It
// returns an error if reading or writing fails, if a batch is malformed, or if a command cannot be encoded.
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

// readLine reads a line including its end. At the end of the input it returns the remaining bytes together with io.EOF.
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
