// Command indigousher is a central planner behind plain proxies, and its rehearsal kit.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// root is the command without a subcommand.
func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "indigousher",
		Short:         "A central planner behind plain proxies",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(
		pilotCommand(),
		checkCommand(),
		rehearseCommand(),
		emulateCommand(),
		experimentCommand(),
		searchCommand(),
		keysCommand(),
		replayCommand(),
		recordsCommand(),
		versionCommand(),
	)
	return c
}
