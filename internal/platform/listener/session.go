package listener

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
)

// Limits of a collector's session.
const (
	// maxLineBytes bounds a line. A longer one ends the session.
	maxLineBytes = 1 << 20
	// lineBufferBytes bounds a line that is parsed. A longer one is skipped.
	lineBufferBytes = 8192
	// maxUnreadableLines consecutive unreadable lines end the session: the peer speaks another protocol.
	maxUnreadableLines = 3
)

// serve handles one connection until it or ctx ends.
func (l *Listener) serve(ctx context.Context, conn net.Conn, element *list.Element) {
	defer func() { _ = conn.Close() }() // its data is not needed any more
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	zone, rest, err := l.identify(conn)
	l.unidentified.remove(element)
	if err != nil {
		return
	}
	l.Counters.Collectors.Add(1)
	l.collectors.add(zone, conn)
	defer l.collectors.remove(zone, conn)
	l.log.Info("collector joined", zap.String("zone", zone))
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	err = l.readReports(ctx, conn, rest)
	l.log.Info("collector left", zap.String("zone", zone), zap.Error(err))
}

// readReports reads a collector's lines, starting with rest, which was read before, and posts the reports. A
// malformed line is skipped; maxUnreadableLines in a row end the session.
func (l *Listener) readReports(ctx context.Context, conn net.Conn, rest []byte) error {
	reader := bufio.NewReaderSize(&prefixedReader{rest, conn}, lineBufferBytes)
	var f fields
	unreadable := 0 // lines in a row
	for unreadable < maxUnreadableLines {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		if string(line) == "ping" {
			if err := writeLine(conn, "pong"); err != nil {
				return err
			}
			continue
		}
		report, readable := parseReport(&f, line)
		unreadable++
		if readable {
			unreadable = 0
		}
		if report == nil {
			l.Counters.Malformed.Add(1)
			continue
		}
		l.Counters.Reports.Add(1)
		if err := l.inbox.Post(ctx, report); err != nil {
			return err
		}
	}
	return fmt.Errorf("%d unreadable lines: %w", maxUnreadableLines, ErrMalformedLine)
}

// prefixedReader reads a prefix and then a connection.
type prefixedReader struct {
	prefix []byte
	conn   net.Conn
}

// Read reads from the prefix if any is left, otherwise from the connection.
func (p *prefixedReader) Read(buffer []byte) (int, error) {
	if len(p.prefix) > 0 {
		n := copy(buffer, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	return p.conn.Read(buffer)
}

// readLine returns a line without its end, valid until the next call. A line longer than the reader's buffer is
// skipped and returned as empty; one longer than maxLineBytes is an error.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
	for n := len(line); errors.Is(err, bufio.ErrBufferFull); n += len(line) {
		if n > maxLineBytes {
			return nil, fmt.Errorf("a line of over %d bytes: %w", maxLineBytes, ErrMalformedLine)
		}
		line, err = r.ReadSlice('\n')
	}
	return nil, err
}
