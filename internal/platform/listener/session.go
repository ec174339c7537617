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

// attend serves one connection to its end.
func (d *Listener) attend(ctx context.Context, conn net.Conn, place *list.Element) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	zone, rest, err := d.greet(conn)
	d.leave(place)
	if err != nil {
		return
	}
	d.Counters.Collectors.Add(1)
	d.replace(zone, conn)
	defer d.forget(zone, conn)
	d.log.Info("collector joined", zap.String("zone", zone))
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	err = d.collect(ctx, conn, rest)
	d.log.Info("collector left", zap.String("zone", zone), zap.Error(err))
}

// collect reads a collector's lines. A spoilt one costs itself alone; a connection that goes on unreadable is of no
// further use.
func (d *Listener) collect(ctx context.Context, conn net.Conn, rest []byte) error {
	r := bufio.NewReaderSize(&ahead{rest, conn}, 8192)
	var w words
	for spoilt := 0; spoilt < spoiltMost; {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		if string(line) == "ping" {
			if err := say(conn, "pong"); err != nil {
				return err
			}
			continue
		}
		in, readable := report(&w, line)
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
	return fmt.Errorf("%d unreadable lines: %w", spoiltMost, ErrLine)
}

// ahead reads what was read already, then the connection.
type ahead struct {
	rest []byte
	conn net.Conn
}

func (a *ahead) Read(b []byte) (int, error) {
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
		if n > mostLine {
			return nil, fmt.Errorf("a line of over %d bytes: %w", mostLine, ErrLine)
		}
		line, err = r.ReadSlice('\n')
	}
	return nil, err
}
