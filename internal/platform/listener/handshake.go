package listener

import (
	"bytes"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
)

// greet reads up to the line that makes a collector of a connection and returns what follows it. Whoever sends
// anything else is refused, whoever says nothing is closed.
func (d *Listener) greet(conn net.Conn) (zone string, rest []byte, err error) {
	if err := conn.SetDeadline(time.Now().Add(joinWithin)); err != nil {
		return "", nil, err
	}
	buf, n := make([]byte, strangeMax), 0
	for {
		end := bytes.IndexByte(buf[:n], '\n')
		if end < 0 {
			if n == len(buf) {
				return "", nil, d.refuse(conn, "a line without end")
			}
			m, err := conn.Read(buf[n:])
			if n += m; err != nil && m == 0 {
				d.Counters.Silent.Add(1)
				return "", nil, err
			}
			continue
		}
		line := bytes.TrimSuffix(buf[:end], []byte("\r"))
		if zone, ok := d.collector(line); ok {
			return zone, slices.Clone(buf[end+1 : n]), nil
		}
		if string(line) != "ping" {
			return "", nil, d.refuse(conn, "no collector")
		}
		if _, err := conn.Write([]byte("pong\r\n")); err != nil {
			return "", nil, err
		}
		n = copy(buf, buf[end+1:n])
	}
}

// collector returns the zone that a line states.
func (d *Listener) collector(line []byte) (zone string, ok bool) {
	var w words
	kind, err := w.read(line)
	if err != nil || string(kind) != "collector" || w.n != 1 {
		return "", false
	}
	zone = string(w.get("locality"))
	return zone, slices.Contains(d.zones, zone)
}

// refuse tells a stranger so, and the log, not more than so often.
func (d *Listener) refuse(conn net.Conn, why string) error {
	d.Counters.Refused.Add(1)
	d.mu.Lock()
	if d.unsaid++; time.Since(d.said) > logEach {
		d.log.Info("refused", zap.String("why", why), zap.Int("many", d.unsaid))
		d.said, d.unsaid = time.Now(), 0
	}
	d.mu.Unlock()
	if err := say(conn, "refused"); err != nil {
		return err
	}
	if t, ok := conn.(*net.TCPConn); ok { // what it still sends would reset the word before it is read
		_ = t.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(writeIn))
		var drop [512]byte
		for range 64 {
			if _, err := conn.Read(drop[:]); err != nil {
				break
			}
		}
	}
	return ErrLine
}

// say writes a word that a peer is owed, but waits for no one.
func say(conn net.Conn, word string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeIn)); err != nil {
		return err
	}
	_, err := conn.Write([]byte(word + "\r\n"))
	return err
}
