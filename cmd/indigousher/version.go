package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version, revision := "(devel)", ""
			if b, ok := debug.ReadBuildInfo(); ok {
				version = b.Main.Version
				for _, s := range b.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "indigousher %s%s\n", version, revision)
		}}
}
