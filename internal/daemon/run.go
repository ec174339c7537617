package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/edge/admin"
)

// Run serves until ctx ends, then asks the proxies to dial elsewhere and waits for them to go, for the time that the
// terms give. An edge that fails ends it with an error.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	g, life := errgroup.WithContext(d.running)
	serve, stopServing := context.WithCancel(life)
	defer stopServing()
	g.Go(func() error { return d.loop.Run(life) })
	g.Go(func() error { return d.endpointSource.Run(life) })
	g.Go(func() error { return d.framedServer.Serve(serve, d.streamListener) })
	if d.grpcServer != nil {
		g.Go(func() error { return d.grpcServer.Serve(serve, d.grpcListener) })
	}
	if d.keyStore != nil {
		g.Go(func() error { return d.watchKeys(life) })
	}
	if d.recording != nil {
		g.Go(func() error { return d.recording.writer.Run(life) })
	}
	if d.gossip != nil {
		g.Go(func() error { return d.gossip.Run(life) })
	}
	if d.adminListener != nil {
		g.Go(func() error { return admin.Serve(life, d.adminListener, d.registry, d.loop.State) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		d.options.Log.Info("stopping", zap.Int("proxies", d.openStreams()))
		stopServing()
		if d.xdsServer != nil {
			d.xdsServer.Stop()
		}
		d.drain(life)
		d.terminate()
		return nil
	})
	err := g.Wait()
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

func (d *Daemon) drain(ctx context.Context) {
	end := time.NewTimer(d.config.Load().DrainOnStop)
	defer end.Stop()
	look := time.NewTicker(drainPollInterval)
	defer look.Stop()
	for d.openStreams() > 0 {
		select {
		case <-look.C:
		case <-end.C:
			d.killStreams()
			return
		case <-ctx.Done():
			return
		}
	}
}

// Kill ends the pilot as the end of its process would: all sockets close at once and nobody is told.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	_ = d.streamListener.Close()
	d.killStreams()
	d.terminate()
}

// openStreams returns how many streams are open, over all transports.
func (d *Daemon) openStreams() int {
	n := d.framedServer.Streams()
	if d.grpcServer != nil {
		n += d.grpcServer.Streams() + d.xdsServer.Streams()
	}
	return n
}

func (d *Daemon) killStreams() {
	d.framedServer.Kill()
	if d.grpcServer != nil {
		d.grpcServer.Kill()
	}
}
