package transport_test

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/wire"
)

// minuteAgo is the start of validity of test certificates.
func minuteAgo() time.Time { return time.Now().Add(-time.Minute) }

// issue writes a certificate for an identity, valid for an hour, into a new directory.
func issue(t *testing.T, a *identity.Authority, who identity.Identity, from time.Time) identity.Files {
	files, err := a.Issue(t.TempDir(), who, from, time.Hour)
	require.NoError(t, err)
	return files
}

// clientOf returns the client configuration for a proxy's keys.
func clientOf(t *testing.T, files identity.Files) *tls.Config {
	store, err := identity.Load(files, nil)
	require.NoError(t, err)
	return store.Client(identity.Pilot)
}

// newAuthority creates an authority that is valid for an hour.
func newAuthority(t *testing.T, name string) *identity.Authority {
	a, err := identity.NewAuthority(name, time.Hour)
	require.NoError(t, err)
	return a
}

// refusals records what is reported to operators.
type refusals struct {
	mu   sync.Mutex
	text string
}

func (r *refusals) add(_ net.Addr, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text += err.Error()
}

func (r *refusals) all() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text
}

var (
	proxyP        = identity.Identity{Role: identity.Proxy, Zone: "a", Name: "p"}
	controllerOne = identity.Identity{Role: identity.Pilot, Zone: "a", Name: "one"}
)

// TestStrangers checks that peers with a missing, invalid or mismatched identity are rejected by all transports.
func TestStrangers(t *testing.T) {
	authority := newAuthority(t, "ours")
	ours := issue(t, authority, proxyP, minuteAgo())
	valid := func(who identity.Identity) *tls.Config {
		return clientOf(t, issue(t, authority, who, minuteAgo()))
	}
	foreign := issue(t, newAuthority(t, "another"), proxyP, minuteAgo())
	foreign.Authority = ours.Authority // it trusts us, we don't trust it
	expired := issue(t, authority, proxyP, minuteAgo().Add(-2*time.Hour))
	future := issue(t, authority, proxyP, minuteAgo().Add(24*time.Hour))
	for _, c := range []struct {
		name string
		tls  *tls.Config
		told string // to operators; empty: not looked at
	}{
		{"plain text", nil, ""},
		{"no certificate", &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}, ""},
		{"an expired certificate", clientOf(t, expired), "expired"},
		{"one that is valid from tomorrow", clientOf(t, future), "not yet valid"},
		{"one of another authority", clientOf(t, foreign), "unknown authority"},
		{"one of the wrong role", valid(identity.Identity{Role: identity.Pilot, Zone: "a", Name: "p"}), "among [proxy]"},
		{"another's name", valid(identity.Identity{Role: identity.Proxy, Zone: "a", Name: "q"}), ""},
		{"another's zone", valid(identity.Identity{Role: identity.Proxy, Zone: "b", Name: "p"}), ""},
	} {
		for _, tr := range transports {
			t.Run(c.name+"/"+tr.name, func(t *testing.T) {
				var told refusals
				store, err := identity.Load(issue(t, authority, controllerOne, minuteAgo()), told.add)
				require.NoError(t, err)
				_, in, address, _ := start(t, tr, store)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, _, err = tr.join(c.tls)(ctx, dial, address, hello())
				assert.Error(t, err)
				assert.NotContains(t, err.Error(), "indigousher://", "strangers are not told who is let in")
				assert.Empty(t, in.got)
				if c.told != "" {
					assert.Eventually(t, func() bool { return told.all() != "" }, 2*time.Second, time.Millisecond)
					assert.Contains(t, told.all(), c.told)
				}
				line, _, err := tr.join(clientOf(t, ours))(t.Context(), dial, address, hello())
				require.NoError(t, err, "the rightful one gets in")
				line.Close()
				next[controller.ProxyLeft](t, in)
			})
		}
	}
}

// TestKeysReplaced checks that open and new streams work while the certificate is replaced.
func TestKeysReplaced(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			authority := newAuthority(t, "ours")
			dir := t.TempDir()
			from := minuteAgo()
			files, err := authority.Issue(dir, controllerOne, from, time.Hour)
			require.NoError(t, err)
			store, err := identity.Load(files, nil)
			require.NoError(t, err)
			clientFiles, err := authority.Issue(dir, proxyP, from, time.Hour)
			require.NoError(t, err)
			client := clientOf(t, clientFiles)
			_, in, address, _ := start(t, tr, store)
			line, _, err := tr.join(client)(t.Context(), dial, address, hello())
			require.NoError(t, err)
			defer line.Close()
			before := store.Expires()
			for i := range 40 {
				if i == 10 {
					_, err = authority.Issue(dir, controllerOne, from, 2*time.Hour)
					require.NoError(t, err)
				}
				require.NoError(t, line.Write(&wire.LoadReport{Seq: uint64(i + 1), SpanMs: 10}, time.Second))
				assert.EqualValues(t, i+1, next[controller.LoadReported](t, in).Sums.Seq)
				time.Sleep(20 * time.Millisecond)
			}
			assert.True(t, store.Expires().After(before), "the new certificate is in force")
			second, _, err := tr.join(client)(t.Context(), dial, address, hello())
			require.NoError(t, err)
			second.Close()
			require.NoError(t, store.Err())
		})
	}
}
