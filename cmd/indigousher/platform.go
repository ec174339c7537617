package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"indigousher/internal/platform"
	"indigousher/internal/platform/placement"
)

// endWithin is how long a pilot on the platform may take to end after SIGTERM.
const endWithin = 300 * time.Millisecond

// runOnPlatform runs a pilot on the operators' platform until it is told to stop.
func runOnPlatform(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: one that comes early must not end the program
	defer signal.Stop(hup)
	p, err := placement.Read(os.Getenv)
	if err != nil {
		return err
	}
	platform.Limit(p.Limits)
	log := platformLog()
	defer func() { _ = log.Sync() }() // a pipe can't be synced
	context.AfterFunc(ctx, func() { time.AfterFunc(endWithin, func() { os.Exit(0) }) })
	reload := make(chan struct{}, 1)
	go func() {
		for range hup {
			select {
			case reload <- struct{}{}:
			default: // one that waits reads the newest file
			}
		}
	}()
	log.Info("pilot starts", zap.String("pilot", p.Name), zap.String("listen", p.Listen))
	if p.Warning != "" {
		log.Warn("part of the configuration is left out", zap.String("what", p.Warning))
	}
	x := platform.New(p, func() (*placement.Placement, error) { return placement.Read(os.Getenv) }, log)
	err = x.Run(ctx, reload)
	log.Info("pilot has stopped", zap.Error(err))
	return err
}

// platformLog writes lines for people, no more than so many of each a second.
func platformLog() *zap.Logger {
	e := zap.NewDevelopmentEncoderConfig()
	e.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000")
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(e), zapcore.Lock(os.Stdout), zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, 20, 0))
}
