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
	g, life := errgroup.WithContext(d.life)
	serve, stopServing := context.WithCancel(life)
	defer stopServing()
	g.Go(func() error { return d.loop.Run(life) })
	g.Go(func() error { return d.source.Run(life) })
	g.Go(func() error { return d.server.Serve(serve, d.streams) })
	if d.follow != nil {
		g.Go(func() error { return d.follow.Serve(serve, d.grpc) })
	}
	if d.ring != nil {
		g.Go(func() error { return d.watchKeys(life) })
	}
	if d.record != nil {
		g.Go(func() error { return d.record.writer.Run(life) })
	}
	if d.post != nil {
		g.Go(func() error { return d.post.Run(life) })
	}
	if d.admin != nil {
		g.Go(func() error { return admin.Serve(life, d.admin, d.registry, d.loop.State) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		d.outfit.Log.Info("stopping", zap.Int("proxies", d.streaming()))
		stopServing()
		if d.xds != nil {
			d.xds.Stop()
		}
		d.waitEmpty(life)
		d.die()
		return nil
	})
	err := g.Wait()
	if d.record != nil {
		err = errors.Join(err, d.record.close())
	}
	if d.prober != nil {
		d.prober.Wait()
	}
	if d.killed.Load() {
		return nil
	}
	return err
}

func (d *Daemon) waitEmpty(ctx context.Context) {
	end := time.NewTimer(d.terms.Load().DrainOnStop)
	defer end.Stop()
	look := time.NewTicker(stopStep)
	defer look.Stop()
	for d.streaming() > 0 {
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
	_ = d.streams.Close()
	d.killStreams()
	d.die()
}

// streaming returns how many streams are open, over all transports.
func (d *Daemon) streaming() int {
	n := d.server.Streams()
	if d.follow != nil {
		n += d.follow.Streams() + d.xds.Streams()
	}
	return n
}

func (d *Daemon) killStreams() {
	d.server.Kill()
	if d.follow != nil {
		d.follow.Kill()
	}
}
