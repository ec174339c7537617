package listener

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits of connections that have not identified themselves as a collector's.
const (
	// identifyTimeout is the time that a connection has to identify itself after it was accepted.
	identifyTimeout = 1200 * time.Millisecond
	// maxIdentifyLineBytes is the maximum length of a line before identification, in bytes, including the line end.
	maxIdentifyLineBytes = 256
	// writeTimeout is the time allowed for writing a reply, and for discarding the remaining data of a rejected
	// connection.
	writeTimeout = 300 * time.Millisecond
	// maxDiscardedReads is the maximum number of reads, of up to discardBufferBytes each, that discard the remaining
	// data of a rejected connection.
	maxDiscardedReads  = 64
	discardBufferBytes = 512
	// rejectionLogInterval is the minimum time between two log lines about rejected connections.
	rejectionLogInterval = time.Second
)

// identify reads lines until one identifies the peer as a collector. It returns the collector's zone and the data that
// was read after that line. It replies to pings. It rejects a connection that sends anything else, and returns an error
// for one that has not identified itself within identifyTimeout.
func (l *Listener) identify(conn net.Conn) (zone string, rest []byte, err error) {
	if err := conn.SetDeadline(time.Now().Add(identifyTimeout)); err != nil {
		return "", nil, err
	}
	buffer := make([]byte, maxIdentifyLineBytes)
	filled := 0
	for {
		end := bytes.IndexByte(buffer[:filled], '\n')
		if end < 0 {
			if filled == len(buffer) {
				return "", nil, l.reject(conn, "a line without end")
			}
			n, err := conn.Read(buffer[filled:])
			filled += n
			if err != nil && n == 0 {
				l.Counters.Silent.Add(1)
				return "", nil, err
			}
			continue
		}
		line := bytes.TrimSuffix(buffer[:end], []byte("\r"))
		if zone, ok := l.collectorZone(line); ok {
			return zone, slices.Clone(buffer[end+1 : filled]), nil
		}
		if string(line) != "ping" {
			return "", nil, l.reject(conn, "no collector")
		}
		if _, err := conn.Write([]byte("pong\r\n")); err != nil {
			return "", nil, err
		}
		filled = copy(buffer, buffer[end+1:filled])
	}
}

// collectorZone returns the zone in a line that identifies a collector. ok is false if the line has another form or the
// zone is not one of the pilot's zones.
func (l *Listener) collectorZone(line []byte) (zone string, ok bool) {
	var f fields
	kind, err := f.parse(line)
	if err != nil || string(kind) != "collector" || f.n != 1 {
		return "", false
	}
	zone = string(f.get("locality"))
	return zone, slices.Contains(l.zones, zone)
}

// reject counts and logs a rejection and replies "refused" to the peer. It always returns an error.
func (l *Listener) reject(conn net.Conn, reason string) error {
	l.Counters.Rejected.Add(1)
	l.rejections.record(reason)
	if err := writeLine(conn, "refused"); err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		discardRest(tcp)
	}
	return ErrMalformedLine
}

// discardRest closes the sending side of a connection and discards received data, for at most writeTimeout. Closing a
// connection with unread data would reset it, and the peer might not receive the reply.
func discardRest(conn *net.TCPConn) {
	_ = conn.CloseWrite() // after an error here Read fails too and ends the loop
	_ = conn.SetReadDeadline(time.Now().Add(writeTimeout))
	var buffer [discardBufferBytes]byte
	for range maxDiscardedReads {
		if _, err := conn.Read(buffer[:]); err != nil {
			return
		}
	}
}

// writeLine writes a one-word reply. It fails after writeTimeout if the peer does not read.
func writeLine(conn net.Conn, word string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write([]byte(word + "\r\n"))
	return err
}

// rejectionLog logs rejected connections, with at most one line per rejectionLogInterval.
type rejectionLog struct {
	log *zap.Logger

	mu       sync.Mutex
	lastLine time.Time // time of the last log line; zero before the first one
	unlogged int       // rejections since lastLine
}

// record counts a rejection. If the last log line is old enough, it logs the reason and the number of rejections since.
func (r *rejectionLog) record(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged++
	if time.Since(r.lastLine) <= rejectionLogInterval {
		return
	}
	r.log.Info("connection rejected", zap.String("reason", reason), zap.Int("count", r.unlogged))
	r.lastLine = time.Now()
	r.unlogged = 0
}
