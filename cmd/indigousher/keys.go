package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"indigousher/internal/identity"
)

func keysCommand() *cobra.Command {
	var lasts time.Duration
	var secret string
	c := &cobra.Command{Use: "keys DIR ROLE/ZONE/NAME...", Short: "Make an authority and certificates for rehearsals, as proxy/north/p1",
		Long: "Makes an authority whose own key is not kept, and one certificate for each identity. ROLE is proxy, pilot,\n" +
			"operator or source. A deployment has its own authority; its certificates need the same identity as a URI.",
		Args: cobra.MinimumNArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			var who []identity.Identity
			for _, a := range args[1:] {
				parts := strings.Split(a, "/")
				if len(parts) != 3 {
					return fmt.Errorf("%q is not ROLE/ZONE/NAME", a)
				}
				i, err := identity.New(parts[0], parts[1], parts[2])
				if err != nil {
					return err
				}
				who = append(who, i)
			}
			authority, err := identity.NewAuthority("rehearsal", lasts)
			if err != nil {
				return err
			}
			if secret != "" {
				if err := identity.NewSecret(secret); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), "secret between pilots:", secret)
			}
			for _, i := range who {
				f, err := authority.Issue(args[0], i, time.Now().Add(-time.Minute), lasts)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, %s\n", i, f.Certificate, f.Key)
			}
			return nil
		}}
	c.Flags().StringVar(&secret, "secret", "", "also write a new secret between pilots to this file")
	c.Flags().DurationVar(&lasts, "lasts", 24*time.Hour, "how long they hold")
	return c
}
