// Package listener listens at a pilot's address on the operators' platform: collectors bring reports as lines of text,
// whoever else comes is a stranger. It parses, checks and hands over; it keeps nothing of what strangers name. One
// connection's faults end that connection alone, and strangers cost no more than the descriptors set aside for them.
package listener

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/platform/connstate"
)

// Figures of the listener.
const (
	joinWithin = 1200 * time.Millisecond // a connection that says no more than ping is closed then
	writeIn    = 300 * time.Millisecond
	mostLine   = 1 << 20 // bytes of a message
	strangeMax = 256     // bytes that a connection may send before it is known
	spoiltMost = 3       // unreadable lines in a row after which a collector's connection is of no use
	logEach    = time.Second
)

// Counters of what came, for the pilot's book-keeping.
type Counters struct{ Accepted, Collectors, Reports, Malformed, Refused, Silent, Evicted atomic.Int64 }

// Listener accepts connections.
type Listener struct {
	Counters Counters
	zones    []string
	most     int // connections that have not joined
	inbox    controller.Inbox
	log      *zap.Logger
	mu       sync.Mutex
	waiting  *list.List            // of net.Conn that have not joined, oldest first
	joined   map[string][]net.Conn // collectors by zone, oldest first
	said     time.Time
	unsaid   int
}

// New returns a listener for collectors of these zones; most connections may stand that have not joined.
func New(zones []string, most int, inbox controller.Inbox, log *zap.Logger) *Listener {
	return &Listener{zones: zones, most: max(1, most), inbox: inbox, log: log, waiting: list.New(),
		joined: map[string][]net.Conn{}}
}

// Serve accepts until ctx ends; connections then end with it.
func (d *Listener) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				_ = g.Wait() // only says that the listener is closed
				return nil
			}
			if backoff.Temporary(err) { // no free descriptor: the oldest stranger goes
				d.evict(0)
				backoff.Sleep(ctx, 5*time.Millisecond)
				continue
			}
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		}
		d.Counters.Accepted.Add(1)
		place := d.enter(conn)
		g.Go(func() error {
			d.attend(ctx, conn, place)
			return nil
		})
	}
}

// enter notes a connection that has not joined; where there are too many, the oldest goes.
func (d *Listener) enter(conn net.Conn) *list.Element {
	d.evict(d.most - 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting.PushBack(conn)
}

// evict closes the oldest strangers until no more than so many are left, first those that have sent nothing that waits
// to be read: a collector whose line has come, but not its turn, is not lost to a flood.
func (d *Listener) evict(left int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.waiting.Len() > left {
		goes := d.waiting.Front()
		for place := goes; place != nil; place = place.Next() {
			if conn, ok := place.Value.(net.Conn); ok && connstate.At(conn) != connstate.Data {
				goes = place
				break
			}
		}
		conn, _ := d.waiting.Remove(goes).(net.Conn)
		_ = conn.Close()
		d.Counters.Evicted.Add(1)
	}
}

func (d *Listener) leave(place *list.Element) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting.Remove(place) // does nothing where it is gone
}

// collectorsEach is how many connections of a zone's collector may stand: one that was cut off without a sign may have
// something left to read when the next one comes, and no more than that.
const collectorsEach = 2

// replace notes a collector's connection; the oldest of its zone goes where there are too many.
func (d *Listener) replace(zone string, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := append(d.joined[zone], conn)
	if len(all) > collectorsEach {
		_ = all[0].Close()
		all = slices.Delete(all, 0, 1)
	}
	d.joined[zone] = all
}

func (d *Listener) forget(zone string, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.joined[zone] = slices.DeleteFunc(d.joined[zone], func(c net.Conn) bool { return c == conn })
}

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
			d.Counters.Malformed.Add(1)
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

// report reads a line. One of a known kind whose words are wrong is readable all the same.
func report(w *words, line []byte) (in controller.Input, readable bool) {
	kind, _, _ := bytes.Cut(line, []byte(" "))
	readable = string(kind) == "heard" || string(kind) == "usage"
	if _, err := w.read(line); err != nil || !readable {
		return nil, readable
	}
	read := usage
	if string(kind) == "heard" {
		read = heard
	}
	in, err := read(w)
	if err != nil {
		return nil, true
	}
	return in, true
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
