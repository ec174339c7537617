package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/daemon"
)

func pilotCommand() *cobra.Command {
	var file string
	var takeOver, onPlatform bool
	c := &cobra.Command{
		Use:   "pilot -f FILE",
		Short: "Run a pilot until it is asked to stop (SIGTERM); SIGHUP reloads",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if onPlatform {
				return runOnPlatform(cmd.Context())
			}
			return runPilot(cmd.Context(), file, takeOver)
		},
	}
	c.Flags().StringVarP(&file, "file", "f", "", "the pilot's settings, in HCL")
	c.Flags().BoolVar(&takeOver, "take-over", false,
		"take listeners and state over from the pilot that runs with these settings")
	c.Flags().BoolVar(&onPlatform, "platform", false, "run on the operators' platform: NODE_CONFIG names the settings")
	c.MarkFlagsOneRequired("file", "platform")
	c.MarkFlagsMutuallyExclusive("file", "platform")
	return c
}

// runPilot runs a controller until ctx ends, it fails, or another process has taken over.
func runPilot(ctx context.Context, file string, takeOver bool) error {
	cfg, err := config.ReadPilot(file)
	if err != nil {
		return err
	}
	log, level, err := logger(cfg.LogFormat, cfg.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // a terminal can't be synced
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	host, err := daemon.Start(ctx, cfg, daemon.Options{Log: log, Level: &level}, takeOver)
	if err != nil {
		return err
	}
	log.Info("pilot starting", zap.Stringer("pilot", cfg), zap.String("proxies", host.Daemon().Address()),
		zap.String("admin", host.Daemon().AdminAddress()))
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	reloads := make(chan struct{}) // closed when reloadOn has returned, which it does with ctx
	go func() {
		defer close(reloads)
		reloadOn(ctx, hangup, host, file, log)
	}()
	err = host.Wait(ctx)
	cancel()
	<-reloads
	log.Info("pilot stopped", zap.Error(err))
	return err
}

// reloadOn reloads the configuration at each signal until ctx ends.
func reloadOn(ctx context.Context, hangup <-chan os.Signal, host *daemon.Host, file string, log *zap.Logger) {
	for {
		select {
		case <-hangup:
			reload(ctx, host.Daemon(), file, log)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the configuration again. A wrong one changes nothing.
func reload(ctx context.Context, d *daemon.Daemon, file string, log *zap.Logger) {
	cfg, err := config.ReadPilot(file)
	if err != nil {
		log.Error("reload rejected, keeping the current settings", zap.Error(err))
		return
	}
	changed, restart, err := d.Reload(ctx, cfg)
	if err != nil {
		log.Error("reload failed, keeping the current settings", zap.Error(err))
		return
	}
	log.Info("reloaded", zap.Strings("changed", changed))
	if len(restart) > 0 {
		log.Warn("settings changed that need a restart", zap.Strings("fields", restart))
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a pilot's settings; print file:line:column of each error",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.ReadPilot(args[0])
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s: good; pilot %s, %d zones, %d request classes\n", args[0], cfg, len(cfg.Zones),
				len(cfg.Kinds))
			return nil
		},
	}
}
