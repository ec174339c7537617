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

// aMinuteAgo returns the start of validity of most test certificates.
func aMinuteAgo() time.Time { return time.Now().Add(-time.Minute) }

// issue writes a certificate for an identity, valid for an hour after from, into a new directory.
func issue(t *testing.T, a *identity.Authority, who identity.Identity, from time.Time) identity.Files {
	files, err := a.Issue(t.TempDir(), who, from, time.Hour)
	require.NoError(t, err)
	return files
}

// newClientConfig returns the TLS configuration of a client with the certificate and key in files.
func newClientConfig(t *testing.T, files identity.Files) *tls.Config {
	store, err := identity.Load(files, nil)
	require.NoError(t, err)
	return store.Client(identity.Pilot)
}

// newAuthority creates a certificate authority that is valid for an hour.
func newAuthority(t *testing.T, name string) *identity.Authority {
	a, err := identity.NewAuthority(name, time.Hour)
	require.NoError(t, err)
	return a
}

// refusalLog records the errors that the key store logs for rejected peers.
type refusalLog struct {
	mu   sync.Mutex
	text string
}

// add appends the text of an error. The address of the peer is ignored.
func (r *refusalLog) add(_ net.Addr, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text += err.Error()
}

// all returns the texts of all recorded errors.
func (r *refusalLog) all() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text
}

var (
	proxyIdentity = identity.Identity{Role: identity.Proxy, Zone: "a", Name: "p"}
	pilotIdentity = identity.Identity{Role: identity.Pilot, Zone: "a", Name: "one"}
)

// TestStrangers checks that all transports reject peers with a missing, invalid or mismatched certificate, without
// telling them which identities are accepted, and that they still accept a valid peer.
func TestStrangers(t *testing.T) {
	authority := newAuthority(t, "ours")
	ours := issue(t, authority, proxyIdentity, aMinuteAgo())
	valid := func(who identity.Identity) *tls.Config {
		return newClientConfig(t, issue(t, authority, who, aMinuteAgo()))
	}
	foreign := issue(t, newAuthority(t, "another"), proxyIdentity, aMinuteAgo())
	foreign.Authority = ours.Authority // the client trusts the pilot's authority, but not vice versa
	expired := issue(t, authority, proxyIdentity, aMinuteAgo().Add(-2*time.Hour))
	future := issue(t, authority, proxyIdentity, aMinuteAgo().Add(24*time.Hour))
	for _, c := range []struct {
		name    string
		tls     *tls.Config
		logText string // part of the logged error; "": not checked
	}{
		{"plain text", nil, ""},
		{"no certificate", &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}, ""},
		{"an expired certificate", newClientConfig(t, expired), "expired"},
		{"a certificate that is valid from tomorrow", newClientConfig(t, future), "not yet valid"},
		{"a certificate of another authority", newClientConfig(t, foreign), "unknown authority"},
		{"a certificate for the wrong role", valid(identity.Identity{Role: identity.Pilot, Zone: "a", Name: "p"}), "among [proxy]"},
		{"a certificate for another name", valid(identity.Identity{Role: identity.Proxy, Zone: "a", Name: "q"}), ""},
		{"a certificate for another zone", valid(identity.Identity{Role: identity.Proxy, Zone: "b", Name: "p"}), ""},
	} {
		for _, tr := range transports {
			t.Run(c.name+"/"+tr.name, func(t *testing.T) {
				var logged refusalLog
				store, err := identity.Load(issue(t, authority, pilotIdentity, aMinuteAgo()), logged.add)
				require.NoError(t, err)
				_, in, address, _ := start(t, tr, store)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, _, err = tr.join(c.tls)(ctx, dial, address, newHello())
				assert.Error(t, err)
				assert.NotContains(t, err.Error(), "indigousher://", "rejected peers must not learn which identities are accepted")
				assert.Empty(t, in.got)
				if c.logText != "" {
					assert.Eventually(t, func() bool { return logged.all() != "" }, 2*time.Second, time.Millisecond)
					assert.Contains(t, logged.all(), c.logText)
				}
				client, _, err := tr.join(newClientConfig(t, ours))(t.Context(), dial, address, newHello())
				require.NoError(t, err, "a valid peer is accepted")
				client.Close()
				next[controller.ProxyLeft](t, in)
			})
		}
	}
}

// TestKeysReplaced checks that an open stream continues and new streams are accepted when the pilot's certificate is
// replaced.
func TestKeysReplaced(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			authority := newAuthority(t, "ours")
			dir := t.TempDir()
			from := aMinuteAgo()
			files, err := authority.Issue(dir, pilotIdentity, from, time.Hour)
			require.NoError(t, err)
			store, err := identity.Load(files, nil)
			require.NoError(t, err)
			clientFiles, err := authority.Issue(dir, proxyIdentity, from, time.Hour)
			require.NoError(t, err)
			clientTLS := newClientConfig(t, clientFiles)
			_, in, address, _ := start(t, tr, store)
			client, _, err := tr.join(clientTLS)(t.Context(), dial, address, newHello())
			require.NoError(t, err)
			defer client.Close()
			before := store.Expires()
			for i := range 40 {
				if i == 10 {
					_, err = authority.Issue(dir, pilotIdentity, from, 2*time.Hour)
					require.NoError(t, err)
				}
				require.NoError(t, client.Write(&wire.LoadReport{Seq: uint64(i + 1), SpanMs: 10}, time.Second))
				assert.EqualValues(t, i+1, next[controller.LoadReported](t, in).Sums.Seq)
				time.Sleep(20 * time.Millisecond)
			}
			assert.True(t, store.Expires().After(before), "the new certificate is in effect")
			second, _, err := tr.join(clientTLS)(t.Context(), dial, address, newHello())
			require.NoError(t, err)
			second.Close()
			require.NoError(t, store.Err())
		})
	}
}
