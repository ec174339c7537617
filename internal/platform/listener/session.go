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

// Limits of a collector's connection.
const (
	// maxLineBytes is the maximum length of a line, in bytes. A longer line ends the connection.
	maxLineBytes = 1 << 20
	// lineBufferBytes is the maximum length of a line that is parsed, in bytes. A longer line is skipped.
	lineBufferBytes = 8192
	// maxUnreadableLines is the number of consecutive lines of unknown kind that ends the connection, because the peer
	// appears to use another protocol.
	maxUnreadableLines = 3
)

// serve handles one connection until the connection ends or ctx is cancelled. element is the connection's element in
// l.unidentified.
func (l *Listener) serve(ctx context.Context, conn net.Conn, element *list.Element) {
	defer func() { _ = conn.Close() }() // no more data is needed from it
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
	l.log.Info("collector connected", zap.String("zone", zone))
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	err = l.readReports(ctx, conn, rest)
	l.log.Info("collector disconnected", zap.String("zone", zone), zap.Error(err))
}

// readReports reads a collector's lines and posts the reports to the controller. rest is data that was already read
// from the connection. A malformed line is skipped. It returns an error when the connection ends, or after
// maxUnreadableLines consecutive lines of unknown kind.
func (l *Listener) readReports(ctx context.Context, conn net.Conn, rest []byte) error {
	reader := bufio.NewReaderSize(&prefixedReader{rest, conn}, lineBufferBytes)
	var f fields
	unreadable := 0 // consecutive lines of unknown kind
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
	return fmt.Errorf("%d consecutive lines of unknown kind: %w", maxUnreadableLines, ErrMalformedLine)
}

// prefixedReader is an io.Reader of data that was already read from a connection, followed by the connection itself.
type prefixedReader struct {
	prefix []byte
	conn   net.Conn
}

// Read reads from the prefix until it is used up, then from the connection.
func (p *prefixedReader) Read(buffer []byte) (int, error) {
	if len(p.prefix) > 0 {
		n := copy(buffer, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	return p.conn.Read(buffer)
}

// readLine returns the next line without its line end. The slice is valid until the next call. A line longer than the
// reader's buffer is skipped and returned as nil. A line longer than maxLineBytes is an error.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
	for n := len(line); errors.Is(err, bufio.ErrBufferFull); n += len(line) {
		if n > maxLineBytes {
			return nil, fmt.Errorf("line longer than %d bytes: %w", maxLineBytes, ErrMalformedLine)
		}
		line, err = r.ReadSlice('\n')
	}
	return nil, err
}
