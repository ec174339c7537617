package handover

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"indigousher/internal/pause"
	"indigousher/recovery"
)

// Within bounds each step.
const Within = 20 * time.Second

// Bounds of those who ask: how many at once, and how long each may take to say that it wants to take over.
const (
	maxRequests    = 16
	requestTimeout = 2 * time.Second
)

// Figures of getting the claim again.
const (
	lockRetryInterval = 100 * time.Millisecond
	defaultPatience   = 100
)

// Offer is what the old process does.
type Offer struct {
	Files map[string]*os.File // listeners by name
	// Stop ends the pilot, its streams and its record, lets go of the claim, and returns when nothing of it writes any more.
	Stop func()
	// Resume starts the pilot again, on the same listeners, with the claim got anew.
	Resume func(*Claimed)
	// Patience is how often, 0.1 s apart, the claim is tried after the new process was lost; 0: a hundred times.
	Patience int

	socket string
}

// Serve answers those who want to take over, one at a time, until one has or ctx ends. It returns whether one has.
func (o *Offer) Serve(ctx context.Context, path string) (bool, error) {
	o.socket = path
	_ = os.Remove(path) // left by a process that was killed
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return false, fmt.Errorf("offer handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may be the successor's
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var busy, taken atomic.Bool
	var asking sync.WaitGroup
	defer asking.Wait()
	slots := make(chan struct{}, maxRequests)
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			cancel()
			if taken.Load() || ctx.Err() != nil {
				return taken.Load(), nil
			}
			return false, fmt.Errorf("offer handover: %w", err)
		}
		select {
		case slots <- struct{}{}:
		default: // more ask at once than any operator does
			_ = c.Close()
			continue
		}
		asking.Go(func() {
			defer func() { <-slots }()
			defer c.Close()
			defer context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })()
			if err := expect(c, stepRequest, requestTimeout); err != nil { // one that says nothing keeps nobody out
				return
			}
			if !busy.CompareAndSwap(false, true) {
				_ = send(c, message{Step: stepBusy}, nil)
				return
			}
			defer busy.Store(false)
			if o.handOver(ctx, c) {
				taken.Store(true)
				cancel()
			}
		})
	}
}

// handOver goes through the steps with one that wants to take over and returns whether it has.
func (o *Offer) handOver(ctx context.Context, c *net.UnixConn) bool {
	m := recovery.Old{Patience: cmp.Or(o.Patience, defaultPatience)}
	e := recovery.Asked
	for {
		switch m.Next(e) {
		case recovery.SayOffer:
			e = o.exchange(c, stepOffer, stepReady, recovery.ReadyCame)
		case recovery.StopPilot:
			o.Stop()
			e = recovery.Stopped
		case recovery.SayGo:
			e = o.exchange(c, stepGo, stepServing, recovery.ServingCame)
		case recovery.Claim:
			claim, err := GetClaim(o.socket)
			if e = recovery.Claimed; err != nil {
				e = recovery.Refused
				pause.For(ctx, lockRetryInterval)
				continue
			}
			m.Next(e)
			o.Resume(claim)
			return false
		default:
			return m.Gone()
		}
	}
}

// exchange says one step, with the listeners if it is the offer, and waits for the answer.
func (o *Offer) exchange(c *net.UnixConn, say, want string, came recovery.Event) recovery.Event {
	m := message{Step: say}
	var files []*os.File
	if say == stepOffer {
		for name, f := range o.Files {
			m.Names, files = append(m.Names, name), append(files, f)
		}
	}
	if err := send(c, m, files); err != nil {
		return recovery.Lost
	}
	if expect(c, want, Within) != nil {
		return recovery.Lost
	}
	return came
}
