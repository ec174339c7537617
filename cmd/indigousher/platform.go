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

// maxLinesPerS is how many equal log lines a second are written; further ones are dropped.
const maxLinesPerS = 20

// runOnPlatform runs a controller on the operators' platform until it is told to stop.
func runOnPlatform(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // before anything else: one that comes early must not end the program
	defer signal.Stop(hangup)
	settings, err := placement.Read(os.Getenv)
	if err != nil {
		return err
	}
	platform.SetRuntimeLimits(settings.Limits)
	log := platformLog()
	defer func() { _ = log.Sync() }() // a pipe can't be synced
	context.AfterFunc(ctx, func() { time.AfterFunc(endWithin, func() { os.Exit(0) }) })
	reload := make(chan struct{}, 1)
	go passOn(hangup, reload) // for as long as the program runs
	log.Info("pilot starting", zap.String("pilot", settings.Name), zap.String("listen", settings.Listen))
	if settings.Warning != "" {
		log.Warn("part of the configuration ignored", zap.String("reason", settings.Warning))
	}
	readAgain := func() (*placement.Placement, error) { return placement.Read(os.Getenv) }
	err = platform.New(settings, readAgain, log).Run(ctx, reload)
	log.Info("pilot stopped", zap.Error(err))
	return err
}

// passOn asks for a reload at each signal, unless one is waiting already: that one reads the newest file.
func passOn(hangup <-chan os.Signal, reload chan<- struct{}) {
	for range hangup {
		select {
		case reload <- struct{}{}:
		default:
		}
	}
}

// platformLog writes lines for people.
func platformLog() *zap.Logger {
	encoding := zap.NewDevelopmentEncoderConfig()
	encoding.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000")
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoding), zapcore.Lock(os.Stdout), zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerS, 0))
}
