package main

import (
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			printf(cmd.OutOrStdout(), "indigousher %s\n", buildVersion())
		},
	}
}

// buildVersion returns the version and the revision that this program was built from, as far as it knows.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(devel)"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}
