package main

import (
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

// endpoint is an endpoint on a socket: it takes requests, runs each once its delay is over, and answers. It goes on with
// a request that nobody waits for any more, as the briefs have it for some fleets.
type endpoint struct {
	w        *world
	address  string
	cell     int
	phase    string
	delay    time.Duration // until a request has run
	capacity float64       // work, in ms, that it does in one second when warm
	started  time.Time     // zero: long ago
	listener net.Listener

	mu    sync.Mutex
	taken []piece // work that was taken in lately
}

// piece is the work of one request.
type piece struct {
	at time.Time
	ms float64
}

func (w *world) newEndpoint(cell int, cold bool) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		w: w, address: l.Addr().String(), cell: cell, phase: "ready", delay: 30 * time.Millisecond, capacity: 2000, listener: l,
	}
	if cold {
		e.started = time.Now()
	}
	go e.accept() // ends when the listener is closed
	return e, nil
}

func (e *endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn) // ends with the connection
	}
}

func (e *endpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := wire.NewReader(conn, 0)
	writer := wire.NewWriter(conn)
	var writing sync.Mutex
	for {
		m, err := reader.Read()
		if err != nil {
			return
		}
		request, ok := m.(*wire.Request)
		if !ok {
			return
		}
		util, rate := e.take(request.WorkMs)
		e.w.log("endpoint %s cell %d took %d of %s", e.address, e.cell, request.RequestID, request.Class)
		go func() {
			time.Sleep(e.delay)
			e.w.ran(e, request)
			writing.Lock()
			defer writing.Unlock()
			_, _ = writer.Write(&wire.Response{
				Number: request.Number, Outcome: wire.Succeeded,
				Load: []wire.LoadMetric{{Name: "util", Value: util}, {Name: "rate", Value: rate}},
			})
		}()
	}
}

// take counts work and returns how busy the endpoint is and its requests per second, over the last second.
func (e *endpoint) take(ms float64) (util, rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.taken = append(e.taken, piece{now, ms})
	work, count := e.workWithin(now, time.Second)
	e.w.checkLoad(e, now)
	return work / (e.capacity * e.warmth(now)), count
}

// workWithin returns the work and the number of requests taken in a span before now. The caller must hold mu.
func (e *endpoint) workWithin(now time.Time, span time.Duration) (ms, count float64) {
	for i := len(e.taken) - 1; i >= 0 && now.Sub(e.taken[i].at) < span; i-- {
		ms += e.taken[i].ms
		count++
	}
	return ms, count
}

// warmth returns the part of its capacity that the endpoint has.
func (e *endpoint) warmth(now time.Time) float64 {
	if e.started.IsZero() {
		return 1
	}
	age := float64(now.Sub(e.started)) / float64(e.w.coldFor)
	return min(1, e.w.coldFrom+(1-e.w.coldFrom)*age)
}
