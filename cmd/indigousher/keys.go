package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"indigousher/internal/identity"
)

func keysCommand() *cobra.Command {
	var lasts time.Duration
	var secret string
	c := &cobra.Command{
		Use:   "keys DIR ROLE/ZONE/NAME...",
		Short: "Make an authority and certificates for rehearsals, as proxy/north/p1",
		Long: "Makes an authority whose own key is not kept, and one certificate for each identity. ROLE is proxy, pilot,\n" +
			"operator or source. A deployment has its own authority; its certificates need the same identity as a URI.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return makeKeys(cmd.OutOrStdout(), args[0], args[1:], secret, lasts)
		},
	}
	c.Flags().StringVar(&secret, "secret", "", "also write a new secret between pilots to this file")
	c.Flags().DurationVar(&lasts, "lasts", 24*time.Hour, "how long they hold")
	return c
}

// certificateBackdate lets certificates hold on machines whose clocks are a little behind.
const certificateBackdate = time.Minute

// makeKeys writes a certificate for each identity to a folder and, if a file is named for it, a secret between
// controllers.
func makeKeys(out io.Writer, dir string, texts []string, secret string, lasts time.Duration) error {
	var identities []identity.Identity
	for _, text := range texts {
		parsed, err := parseIdentity(text)
		if err != nil {
			return err
		}
		identities = append(identities, parsed)
	}
	authority, err := identity.NewAuthority("rehearsal", lasts)
	if err != nil {
		return err
	}
	if secret != "" {
		if err := identity.NewSecret(secret); err != nil {
			return err
		}
		printf(out, "secret between pilots: %s\n", secret)
	}
	for _, i := range identities {
		files, err := authority.Issue(dir, i, time.Now().Add(-certificateBackdate), lasts)
		if err != nil {
			return err
		}
		printf(out, "%s: %s, %s\n", i, files.Certificate, files.Key)
	}
	return nil
}

// parseIdentity reads ROLE/ZONE/NAME.
func parseIdentity(text string) (identity.Identity, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return identity.Identity{}, fmt.Errorf("%q is not ROLE/ZONE/NAME", text)
	}
	return identity.New(parts[0], parts[1], parts[2])
}
