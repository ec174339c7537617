package rehearsal

import (
	"fmt"
	"os"
	"time"

	"indigousher/internal/identity"
)

const (
	// keyLifetime is longer than any run.
	keyLifetime = time.Hour
	// keyBackdate makes keys valid at once, whatever rounding does to the times in them.
	keyBackdate = time.Minute
)

// openKeys makes the authority of the run and the keys of the registry, where the scenario has keys.
func (s *stage) openKeys() error {
	if !s.Scenario.Keys {
		return nil
	}
	dir, err := os.MkdirTemp("", "indigousher-rehearsal-")
	if err != nil {
		return fmt.Errorf("make keys: %w", err)
	}
	s.keyDir = dir
	s.authority, err = identity.NewAuthority("rehearsal", keyLifetime)
	if err != nil {
		return err
	}
	keys, err := s.issueKeys(identity.Identity{Role: identity.Source, Zone: "-", Name: "list"})
	if err != nil {
		return err
	}
	s.registry.UseTLS(keys.Server(identity.Pilot))
	return nil
}

// issueFiles issues the key files of an identity.
func (s *stage) issueFiles(who identity.Identity) (identity.Files, error) {
	return s.authority.Issue(s.keyDir, who, time.Now().Add(-keyBackdate), keyLifetime)
}

// issueKeys issues the keys of an identity and loads them.
func (s *stage) issueKeys(who identity.Identity) (*identity.KeyStore, error) {
	files, err := s.issueFiles(who)
	if err != nil {
		return nil, err
	}
	return identity.Load(files, nil)
}
