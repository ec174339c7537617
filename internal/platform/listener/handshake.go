package listener

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits of connections that have not identified themselves.
const (
	// identifyTimeout ends a connection that says no more than ping.
	identifyTimeout = 1200 * time.Millisecond
	// maxGreetingBytes bounds a line of such a connection.
	maxGreetingBytes = 256
	// writeTimeout bounds the time in which the word that a peer is owed may be written, and that in which what a
	// rejected one still sends is read.
	writeTimeout = 300 * time.Millisecond
	// maxDiscardedReads of discardBufferBytes each bound what is read of a rejected connection.
	maxDiscardedReads  = 64
	discardBufferBytes = 512
	// rejectionLogInterval is the least time between two log lines on rejected connections.
	rejectionLogInterval = time.Second
)

// identify reads up to the line that makes a connection a collector's and returns what was read behind it. A connection
// that sends anything else but ping is rejected, one that says nothing is closed.
func (l *Listener) identify(conn net.Conn) (zone string, rest []byte, err error) {
	if err := conn.SetDeadline(time.Now().Add(identifyTimeout)); err != nil {
		return "", nil, err
	}
	buffer := make([]byte, maxGreetingBytes)
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

// collectorZone returns the zone that a line names, if it is a collector's first line and the zone one of ours.
func (l *Listener) collectorZone(line []byte) (zone string, ok bool) {
	var f fields
	kind, err := f.parse(line)
	if err != nil || string(kind) != "collector" || f.n != 1 {
		return "", false
	}
	zone = string(f.get("locality"))
	return zone, slices.Contains(l.zones, zone)
}

// reject tells a peer that it is rejected and returns an error in any case.
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

// discardRest ends the sending side of a connection and reads what still comes for a while: closed at once, it would be
// reset, and the word just written lost before the peer has read it.
func discardRest(conn *net.TCPConn) {
	_ = conn.CloseWrite() // fails where the peer has closed already, and then Read does
	_ = conn.SetReadDeadline(time.Now().Add(writeTimeout))
	var buffer [discardBufferBytes]byte
	for range maxDiscardedReads {
		if _, err := conn.Read(buffer[:]); err != nil {
			return
		}
	}
}

// writeLine writes a word that a peer is owed, but waits for no one.
func writeLine(conn net.Conn, word string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write([]byte(word + "\r\n"))
	return err
}

// rejectionLog writes of rejected connections, but no more than one line each rejectionLogInterval.
type rejectionLog struct {
	log *zap.Logger

	mu       sync.Mutex
	lastLine time.Time
	unlogged int // rejections since then
}

// record counts a rejection and writes a line, if one is due.
func (r *rejectionLog) record(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged++
	if time.Since(r.lastLine) <= rejectionLogInterval {
		return
	}
	r.log.Info("refused", zap.String("why", reason), zap.Int("many", r.unlogged))
	r.lastLine = time.Now()
	r.unlogged = 0
}
