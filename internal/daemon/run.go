package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/transport/admin"
)

// drainPollInterval is how often a shutdown looks whether all streams have ended.
const drainPollInterval = 20 * time.Millisecond

// Run serves until ctx ends, then asks the proxies to dial another controller and waits for them to go, for the time
// that the configuration gives. A part that fails ends it with an error. When it returns, so have all goroutines.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	group, running := errgroup.WithContext(d.running)
	serving, stopServing := context.WithCancel(running)
	defer stopServing()
	d.startParts(running, serving, group) //nolint:contextcheck // the parts outlive ctx: its end begins their shutdown
	group.Go(func() error {
		d.shutDownAfter(ctx, running, stopServing)
		return nil
	})
	return d.finish(group.Wait())
}

// startParts starts a goroutine for each part. The servers for proxies end with serving, which is the first step of a
// shutdown; everything else ends with running.
func (d *Daemon) startParts(running, serving context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.loop.Run(running) })
	group.Go(func() error { return d.endpointSource.Run(running) })
	group.Go(func() error { return d.framedServer.Serve(serving, d.streamListener) })
	if d.grpcServer != nil {
		group.Go(func() error { return d.grpcServer.Serve(serving, d.grpcListener) })
	}
	if d.keyStore != nil {
		group.Go(func() error { return d.watchKeys(running) })
	}
	if d.recording != nil {
		group.Go(func() error { return d.recording.writer.Run(running) })
	}
	if d.gossip != nil {
		group.Go(func() error { return d.gossip.Run(running) })
	}
	if d.adminListener != nil {
		group.Go(func() error { return admin.Serve(running, d.adminListener, d.registry, d.loop.State) })
	}
}

// shutDownAfter waits for the end of ctx and shuts down gracefully: no new streams, the proxies of the others asked to
// leave, and when they have, the end of everything. If a part fails meanwhile, running ends by itself.
func (d *Daemon) shutDownAfter(ctx, running context.Context, stopServing context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	d.options.Log.Info("shutting down", zap.Int("proxies", d.openStreams()))
	stopServing()
	if d.xdsServer != nil {
		d.xdsServer.Stop()
	}
	d.drain(running)
	d.terminate()
}

// drain waits until all streams have ended; those that are left when the time is over it ends.
func (d *Daemon) drain(ctx context.Context) {
	deadline := time.NewTimer(d.config.Load().DrainOnStop)
	defer deadline.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for d.openStreams() > 0 {
		select {
		case <-poll.C:
		case <-deadline.C:
			d.killStreams()
			return
		case <-ctx.Done():
			return
		}
	}
}

// finish closes what outlives the parts, and returns the error of the run.
func (d *Daemon) finish(err error) error {
	if d.recording != nil {
		err = errors.Join(err, d.recording.close())
	}
	if d.healthChecker != nil {
		d.healthChecker.Wait()
	}
	if d.killed.Load() {
		return nil
	}
	return err
}

// Kill ends the controller as the end of its process would: all sockets close at once and nobody is notified.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	_ = d.streamListener.Close() // which its server takes for the end
	d.killStreams()
	d.terminate()
}

// openStreams returns how many streams are open, over all transports.
func (d *Daemon) openStreams() int {
	n := d.framedServer.Streams()
	if d.grpcServer != nil {
		n += d.grpcServer.Streams()
		n += d.xdsServer.Streams()
	}
	return n
}

// killStreams ends all streams at once.
func (d *Daemon) killStreams() {
	d.framedServer.Kill()
	if d.grpcServer != nil {
		d.grpcServer.Kill()
	}
}
