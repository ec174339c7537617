package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"indigousher/internal/identity"
)

// keysCommand returns the command that creates certificates for rehearsals.
func keysCommand() *cobra.Command {
	var lasts time.Duration
	var secret string
	c := &cobra.Command{
		Use:   "keys DIR ROLE/ZONE/NAME...",
		Short: "Create a certificate authority and certificates for rehearsals; identities look like proxy/north/p1",
		Long: "Creates an authority, whose private key is not stored, and one certificate for each identity. ROLE is proxy,\n" +
			"pilot, operator or source. A deployment has its own authority; its certificates need the same identity as a URI.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return makeKeys(cmd.OutOrStdout(), args[0], args[1:], secret, lasts)
		},
	}
	c.Flags().StringVar(&secret, "secret", "", "also write a new shared secret for gossip between pilots to this file")
	c.Flags().DurationVar(&lasts, "lasts", 24*time.Hour, "validity of the certificates")
	return c
}

// certificateBackdate is how far before the current time certificates become valid, so that machines whose clocks are
// slightly slow accept them.
const certificateBackdate = time.Minute

// makeKeys creates an authority and writes a certificate for each identity to dir. The texts are identities in the form
// ROLE/ZONE/NAME, and lasts is the validity of the certificates. If secret is not "", makeKeys also writes a new shared
// secret for gossip to that file.
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

// parseIdentity parses an identity in the form ROLE/ZONE/NAME.
func parseIdentity(text string) (identity.Identity, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return identity.Identity{}, fmt.Errorf("identity %q does not have the form ROLE/ZONE/NAME", text)
	}
	return identity.New(parts[0], parts[1], parts[2])
}
