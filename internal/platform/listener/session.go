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

// serve serves one connection to its end.
func (d *Listener) serve(ctx context.Context, conn net.Conn, place *list.Element) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	zone, rest, err := d.identify(conn)
	d.remove(place)
	if err != nil {
		return
	}
	d.Counters.Collectors.Add(1)
	d.addCollector(zone, conn)
	defer d.removeCollector(zone, conn)
	d.log.Info("collector joined", zap.String("zone", zone))
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	err = d.readReports(ctx, conn, rest)
	d.log.Info("collector left", zap.String("zone", zone), zap.Error(err))
}

// readReports reads a collector's lines. A spoilt one costs itself alone; a connection that goes on unreadable is of no
// further use.
func (d *Listener) readReports(ctx context.Context, conn net.Conn, rest []byte) error {
	r := bufio.NewReaderSize(&prefixedReader{rest, conn}, 8192)
	var w fields
	for spoilt := 0; spoilt < maxUnreadableLines; {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		if string(line) == "ping" {
			if err := writeLine(conn, "pong"); err != nil {
				return err
			}
			continue
		}
		in, readable := parseReport(&w, line)
		if in == nil {
			d.Counters.Spoilt.Add(1)
			if spoilt++; readable {
				spoilt = 0
			}
			continue
		}
		spoilt = 0
		d.Counters.Reports.Add(1)
		if err := d.inbox.Post(ctx, in); err != nil {
			return err
		}
	}
	return fmt.Errorf("%d unreadable lines: %w", maxUnreadableLines, ErrMalformedLine)
}

// prefixedReader reads what was read already, then the connection.
type prefixedReader struct {
	rest []byte
	conn net.Conn
}

func (a *prefixedReader) Read(b []byte) (int, error) {
	if len(a.rest) > 0 {
		n := copy(b, a.rest)
		a.rest = a.rest[n:]
		return n, nil
	}
	return a.conn.Read(b)
}

// readLine returns a line without its end. What is longer than the reader's buffer is read over and returned empty;
// what is longer than a message may be ends the connection.
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
