package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/transport/admin"
)

// drainPollInterval is the interval at which a shutdown checks whether all streams have closed.
const drainPollInterval = 20 * time.Millisecond

// Run serves until ctx ends. It then asks the proxies to reconnect to another controller, and waits for their streams
// to close for at most the configured DrainOnStop. Run returns an error if a part fails, and nil after Kill. All
// goroutines have ended when it returns.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	group, runContext := errgroup.WithContext(d.runContext)
	serving, stopServing := context.WithCancel(runContext)
	defer stopServing()
	d.startParts(runContext, serving, group) //nolint:contextcheck // the end of ctx starts a graceful shutdown
	group.Go(func() error {
		d.shutDownAfter(ctx, runContext, stopServing)
		return nil
	})
	return d.finish(group.Wait())
}

// startParts starts a goroutine for each part. The servers for proxies stop when the context serving ends, the first
// step of a shutdown; all other parts stop when runContext ends.
func (d *Daemon) startParts(runContext, serving context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.loop.Run(runContext) })
	group.Go(func() error { return d.endpointSource.Run(runContext) })
	group.Go(func() error { return d.framedServer.Serve(serving, d.streamListener) })
	if d.grpcServer != nil {
		group.Go(func() error { return d.grpcServer.Serve(serving, d.grpcListener) })
	}
	if d.keyStore != nil {
		group.Go(func() error { return d.watchKeys(runContext) })
	}
	if d.recording != nil {
		group.Go(func() error { return d.recording.writer.Run(runContext) })
	}
	if d.gossip != nil {
		group.Go(func() error { return d.gossip.Run(runContext) })
	}
	if d.adminListener != nil {
		group.Go(func() error { return admin.Serve(runContext, d.adminListener, d.registry, d.loop.State) })
	}
}

// shutDownAfter waits until ctx ends and then shuts down gracefully: it stops accepting streams and asks the connected
// proxies to leave, waits until they have left or the drain times out, and then stops all parts. It returns immediately
// if a part fails, which cancels runContext.
func (d *Daemon) shutDownAfter(ctx, runContext context.Context, stopServing context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-runContext.Done():
		return
	}
	d.options.Log.Info("shutting down", zap.Int("proxies", d.openStreams()))
	stopServing()
	if d.xdsServer != nil {
		d.xdsServer.Stop()
	}
	d.drain(runContext)
	d.terminate()
}

// drain waits until all streams have closed. It closes the remaining streams after the configured DrainOnStop.
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

// finish closes the record, waits for health checks that have not finished, and returns the result of the run: err
// joined with errors of closing, or nil after Kill.
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

// Kill stops the controller as if its process had been killed: it closes all sockets without notifying the proxies.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	_ = d.streamListener.Close() // the framed server treats this as its end and stops accepting
	d.killStreams()
	d.terminate()
}

// openStreams returns the number of open proxy streams on all transports.
func (d *Daemon) openStreams() int {
	n := d.framedServer.Streams()
	if d.grpcServer != nil {
		n += d.grpcServer.Streams()
		n += d.xdsServer.Streams()
	}
	return n
}

// killStreams closes all proxy streams immediately.
func (d *Daemon) killStreams() {
	d.framedServer.Kill()
	if d.grpcServer != nil {
		d.grpcServer.Kill()
	}
}
