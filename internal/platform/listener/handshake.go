package listener

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits of unidentified connections.
const (
	// identifyTimeout bounds the time until a connection has identified itself.
	identifyTimeout = 1200 * time.Millisecond
	// maxIdentifyLineBytes bounds a line before identification.
	maxIdentifyLineBytes = 256
	// writeTimeout bounds writing a reply, and reading the rest of a rejected connection.
	writeTimeout = 300 * time.Millisecond
	// maxDiscardedReads reads of up to discardBufferBytes bound how much is read of a rejected connection.
	maxDiscardedReads  = 64
	discardBufferBytes = 512
	// rejectionLogInterval is the minimum time between two log lines about rejections.
	rejectionLogInterval = time.Second
)

// identify reads up to the line that identifies a collector and returns what was read after it. It replies to pings,
// rejects a connection that sends anything else, and returns an error for one that sends no whole line in time.
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

// collectorZone returns the zone in a collector's first line, and whether it is such a line and the zone is ours.
func (l *Listener) collectorZone(line []byte) (zone string, ok bool) {
	var f fields
	kind, err := f.parse(line)
	if err != nil || string(kind) != "collector" || f.n != 1 {
		return "", false
	}
	zone = string(f.get("locality"))
	return zone, slices.Contains(l.zones, zone)
}

// reject informs the peer of the rejection. It always returns an error.
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

// discardRest closes the sending side and reads the remaining data for a while. Closing with unread data would reset
// the connection, and the peer might lose the reply.
func discardRest(conn *net.TCPConn) {
	_ = conn.CloseWrite() // if the peer has closed already, Read fails as well
	_ = conn.SetReadDeadline(time.Now().Add(writeTimeout))
	var buffer [discardBufferBytes]byte
	for range maxDiscardedReads {
		if _, err := conn.Read(buffer[:]); err != nil {
			return
		}
	}
}

// writeLine writes a one-word reply, without waiting for a peer that does not read.
func writeLine(conn net.Conn, word string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write([]byte(word + "\r\n"))
	return err
}

// rejectionLog logs rejections, at most one line per rejectionLogInterval.
type rejectionLog struct {
	log *zap.Logger

	mu       sync.Mutex
	lastLine time.Time
	unlogged int // rejections since lastLine
}

// record counts a rejection and logs if a line is due.
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
