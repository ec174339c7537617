package listener

import (
	"bytes"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
)

// identify reads up to the line that makes a collector of a connection and returns what follows it. Whoever sends
// anything else is refused, whoever says nothing is closed.
func (d *Listener) identify(conn net.Conn) (zone string, rest []byte, err error) {
	if err := conn.SetDeadline(time.Now().Add(identifyTimeout)); err != nil {
		return "", nil, err
	}
	buf, n := make([]byte, maxGreetingBytes), 0
	for {
		end := bytes.IndexByte(buf[:n], '\n')
		if end < 0 {
			if n == len(buf) {
				return "", nil, d.reject(conn, "a line without end")
			}
			m, err := conn.Read(buf[n:])
			if n += m; err != nil && m == 0 {
				d.Counters.Silent.Add(1)
				return "", nil, err
			}
			continue
		}
		line := bytes.TrimSuffix(buf[:end], []byte("\r"))
		if zone, ok := d.collectorZone(line); ok {
			return zone, slices.Clone(buf[end+1 : n]), nil
		}
		if string(line) != "ping" {
			return "", nil, d.reject(conn, "no collector")
		}
		if _, err := conn.Write([]byte("pong\r\n")); err != nil {
			return "", nil, err
		}
		n = copy(buf, buf[end+1:n])
	}
}

// collectorZone returns the zone that a line states.
func (d *Listener) collectorZone(line []byte) (zone string, ok bool) {
	var w fields
	kind, err := w.parse(line)
	if err != nil || string(kind) != "collector" || w.n != 1 {
		return "", false
	}
	zone = string(w.get("locality"))
	return zone, slices.Contains(d.zones, zone)
}

// reject tells a stranger so, and the log, not more than so often.
func (d *Listener) reject(conn net.Conn, why string) error {
	d.Counters.Rejected.Add(1)
	d.mu.Lock()
	if d.rejectionsUnlogged++; time.Since(d.rejectionsLogged) > rejectionLogInterval {
		d.log.Info("refused", zap.String("why", why), zap.Int("many", d.rejectionsUnlogged))
		d.rejectionsLogged, d.rejectionsUnlogged = time.Now(), 0
	}
	d.mu.Unlock()
	if err := writeLine(conn, "refused"); err != nil {
		return err
	}
	if t, ok := conn.(*net.TCPConn); ok { // what it still sends would reset the word before it is read
		_ = t.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(writeTimeout))
		var drop [512]byte
		for range 64 {
			if _, err := conn.Read(drop[:]); err != nil {
				break
			}
		}
	}
	return ErrMalformedLine
}

// writeLine writes a word that a peer is owed, but waits for no one.
func writeLine(conn net.Conn, word string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write([]byte(word + "\r\n"))
	return err
}
