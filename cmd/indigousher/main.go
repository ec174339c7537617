// Command indigousher runs pilots, which are central planners that control proxies. It also contains tools to rehearse
// scenarios, run experiments and inspect records.
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
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// rootCommand returns the root command with all subcommands.
func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:           "indigousher",
		Short:         "Central planner for proxies, with rehearsal tools",
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
