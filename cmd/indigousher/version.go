package main

import (
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand returns the command that prints the program's version.
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

// buildVersion returns the module version and the VCS revision of this build. It omits the revision if that is unknown,
// and returns "(devel)" if there is no build information.
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
