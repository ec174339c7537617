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

// endWithin is the time after SIGTERM at which a pilot on the platform exits, even if it has not finished.
const endWithin = 300 * time.Millisecond

// maxEqualLinesPerS limits the log: of lines with the same level and message, at most this many are written per second,
// and the rest are dropped.
const maxEqualLinesPerS = 20

// runOnPlatform runs a controller on the operators' platform until ctx ends or the controller fails. SIGHUP reloads the
// settings. When ctx ends, the process exits with status 0 after endWithin at the latest.
func runOnPlatform(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // first of all, because an unhandled SIGHUP would end the process
	defer signal.Stop(hangup)
	settings, err := placement.Read(os.Getenv)
	if err != nil {
		return err
	}
	platform.SetRuntimeLimits(settings.Limits)
	log := newPlatformLogger()
	defer func() { _ = log.Sync() }() // Sync fails if the log goes to a pipe
	context.AfterFunc(ctx, func() { time.AfterFunc(endWithin, func() { os.Exit(0) }) })
	reload := make(chan struct{}, 1)
	go forwardReloads(hangup, reload) // runs until the process exits
	log.Info("pilot starting", zap.String("pilot", settings.Name), zap.String("listen", settings.Listen))
	if settings.Warning != "" {
		log.Warn("part of the configuration ignored", zap.String("reason", settings.Warning))
	}
	readAgain := func() (*placement.Placement, error) { return placement.Read(os.Getenv) }
	err = platform.New(settings, readAgain, log).Run(ctx, reload)
	log.Info("pilot stopped", zap.Error(err))
	return err
}

// forwardReloads requests a reload for each signal. If a request is already pending, it drops the signal, because the
// pending reload will read the latest file anyway.
func forwardReloads(hangup <-chan os.Signal, reload chan<- struct{}) {
	for range hangup {
		select {
		case reload <- struct{}{}:
		default:
		}
	}
}

// newPlatformLogger returns a logger that writes human-readable lines to standard output, limited by maxEqualLinesPerS.
func newPlatformLogger() *zap.Logger {
	encoding := zap.NewDevelopmentEncoderConfig()
	encoding.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000")
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoding), zapcore.Lock(os.Stdout), zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxEqualLinesPerS, 0))
}
