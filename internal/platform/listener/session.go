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
	// maxLineBytes: a line that is longer ends the session.
	maxLineBytes = 1 << 20
	// lineBufferBytes: a line that is longer is read over.
	lineBufferBytes = 8192
	// maxUnreadableLines in a row end the session, as they show that the peer speaks something else.
	maxUnreadableLines = 3
)

// serve attends to one connection to its end, or that of ctx.
func (l *Listener) serve(ctx context.Context, conn net.Conn, place *list.Element) {
	defer func() { _ = conn.Close() }() // nothing on it is still wanted
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	zone, rest, err := l.identify(conn)
	l.unidentified.remove(place)
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

// readReports reads a collector's lines and posts their reports; rest was read before. A malformed line costs itself
// alone, but a connection that goes on unreadable is of no further use.
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
			l.Counters.Spoilt.Add(1)
			continue
		}
		l.Counters.Reports.Add(1)
		if err := l.inbox.Post(ctx, report); err != nil {
			return err
		}
	}
	return fmt.Errorf("%d unreadable lines: %w", maxUnreadableLines, ErrMalformedLine)
}

// prefixedReader reads what was read already, then the connection.
type prefixedReader struct {
	prefix []byte
	conn   net.Conn
}

// Read reads from the prefix or from the connection, never from both at once.
func (p *prefixedReader) Read(buffer []byte) (int, error) {
	if len(p.prefix) > 0 {
		n := copy(buffer, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	return p.conn.Read(buffer)
}

// readLine returns a line without its end, valid until the next call. One that is longer than the reader's buffer is
// read over and returned empty; one that is longer than maxLineBytes is an error.
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
