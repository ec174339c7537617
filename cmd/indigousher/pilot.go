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

// pilotCommand returns the command that runs a pilot.
func pilotCommand() *cobra.Command {
	var file string
	var takeOver, onPlatform bool
	c := &cobra.Command{
		Use:   "pilot -f FILE",
		Short: "Run a pilot until SIGTERM; SIGHUP reloads its settings",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if onPlatform {
				return runOnPlatform(cmd.Context())
			}
			return runPilot(cmd.Context(), file, takeOver)
		},
	}
	c.Flags().StringVarP(&file, "file", "f", "", "settings file of the pilot, in HCL")
	c.Flags().BoolVar(&takeOver, "take-over", false,
		"take over listeners and state from the pilot that is running with these settings")
	c.Flags().BoolVar(&onPlatform, "platform", false,
		"run on the operators' platform: the environment variable NODE_CONFIG names the settings file")
	c.MarkFlagsOneRequired("file", "platform")
	c.MarkFlagsMutuallyExclusive("file", "platform")
	return c
}

// runPilot runs a controller with the settings in file until ctx ends, the controller fails, or another process takes
// over. SIGHUP reloads the settings.
func runPilot(ctx context.Context, file string, takeOver bool) error {
	cfg, err := config.ReadPilot(file)
	if err != nil {
		return err
	}
	log, level, err := newLogger(cfg.LogFormat, cfg.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // Sync fails if the log goes to a terminal
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
	reloads := make(chan struct{}) // closed when reloadOnSignal has returned, after ctx ends
	go func() {
		defer close(reloads)
		reloadOnSignal(ctx, hangup, host, file, log)
	}()
	err = host.Wait(ctx)
	cancel()
	<-reloads
	log.Info("pilot stopped", zap.Error(err))
	return err
}

// reloadOnSignal reloads the settings from file at each signal received on hangup, until ctx ends.
func reloadOnSignal(ctx context.Context, hangup <-chan os.Signal, host *daemon.Host, file string, log *zap.Logger) {
	for {
		select {
		case <-hangup:
			reload(ctx, host, file, log)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings from file and applies those that can change without a restart. If the settings are invalid,
// it logs the error and changes nothing.
func reload(ctx context.Context, host *daemon.Host, file string, log *zap.Logger) {
	cfg, err := config.ReadPilot(file)
	if err != nil {
		log.Error("reload rejected, keeping the current settings", zap.Error(err))
		return
	}
	changed, restart, err := host.Reload(ctx, cfg)
	if err != nil {
		log.Error("reload failed, keeping the current settings", zap.Error(err))
		return
	}
	log.Info("reloaded", zap.Strings("changed", changed))
	if len(restart) > 0 {
		log.Warn("settings changed that need a restart", zap.Strings("fields", restart))
	}
}

// checkCommand returns the command that validates a settings file.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a pilot's settings file; print each error with file:line:column",
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
