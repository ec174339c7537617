package edge_test

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/keys"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// TestStrangers is the table of attempts to get in: what was tried, and that nothing came of it.
func TestStrangers(t *testing.T) {
	dir := t.TempDir()
	authority, err := keys.NewAuthority("ours", time.Hour)
	require.NoError(t, err)
	other, err := keys.NewAuthority("another", time.Hour)
	require.NoError(t, err)
	issue := func(a *keys.Authority, who keys.Identity, from time.Time, lasts time.Duration) keys.Files {
		f, err := a.Issue(t.TempDir(), who, from, lasts)
		require.NoError(t, err)
		return f
	}
	now := time.Now().Add(-time.Minute)
	me := keys.Identity{Role: keys.Proxy, Zone: "a", Name: "p"}
	ours := issue(authority, me, now, time.Hour)
	client := func(f keys.Files) *tls.Config {
		r, err := keys.Load(f, nil)
		require.NoError(t, err)
		return r.Client(keys.Pilot)
	}
	foreign := issue(other, me, now, time.Hour)
	foreign.Authority = ours.Authority // it trusts us, we don't trust it
	for _, c := range []struct {
		name string
		tls  *tls.Config
		told string // to operators
	}{
		{"plain text", nil, ""},
		{"no certificate", &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}, "didn't provide a certificate"},
		{"an expired certificate", client(issue(authority, me, now.Add(-2*time.Hour), time.Hour)), "expired"},
		{"one that holds from tomorrow", client(issue(authority, me, now.Add(24*time.Hour), time.Hour)), "not yet valid"},
		{"one of another authority", client(foreign), "unknown authority"},
		{"one of the wrong role", client(issue(authority, keys.Identity{Role: keys.Pilot, Zone: "a", Name: "p"}, now, time.Hour)), "among [proxy]"},
		{"another's name", client(issue(authority, keys.Identity{Role: keys.Proxy, Zone: "a", Name: "q"}, now, time.Hour)), ""},
		{"another's zone", client(issue(authority, keys.Identity{Role: keys.Proxy, Zone: "b", Name: "p"}, now, time.Hour)), ""},
	} {
		for _, tr := range transports {
			t.Run(c.name+"/"+tr.name, func(t *testing.T) {
				var mu sync.Mutex
				told := ""
				f, err := authority.Issue(dir, keys.Identity{Role: keys.Pilot, Zone: "a", Name: "one"}, now, time.Hour)
				require.NoError(t, err)
				ring, err := keys.Load(f, func(_ net.Addr, err error) { mu.Lock(); told += err.Error(); mu.Unlock() })
				require.NoError(t, err)
				_, in, address, _ := start(t, tr, ring)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, _, err = tr.join(c.tls)(ctx, dial, address, hello())
				assert.Error(t, err)
				assert.NotContains(t, err.Error(), "indigousher://", "strangers are not told who is let in")
				assert.Empty(t, in.got)
				if c.told != "" && c.name != "no certificate" {
					assert.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return assert.ObjectsAreEqual(true, len(told) > 0) },
						2*time.Second, time.Millisecond)
					mu.Lock()
					assert.Contains(t, told, c.told)
					mu.Unlock()
				}
				l, _, err := tr.join(client(ours))(t.Context(), dial, address, hello())
				require.NoError(t, err, "the rightful one gets in")
				l.Close()
				next[pilot.Leave](t, in)
			})
		}
	}
}

// TestKeysReplaced guards open streams and later ones against keys that change while reports flow.
func TestKeysReplaced(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			authority, err := keys.NewAuthority("ours", time.Hour)
			require.NoError(t, err)
			dir, from := t.TempDir(), time.Now().Add(-time.Minute)
			who := keys.Identity{Role: keys.Pilot, Zone: "a", Name: "one"}
			f, err := authority.Issue(dir, who, from, time.Hour)
			require.NoError(t, err)
			ring, err := keys.Load(f, nil)
			require.NoError(t, err)
			pf, err := authority.Issue(dir, keys.Identity{Role: keys.Proxy, Zone: "a", Name: "p"}, from, time.Hour)
			require.NoError(t, err)
			mine, err := keys.Load(pf, nil)
			require.NoError(t, err)
			_, in, address, _ := start(t, tr, ring)
			l, _, err := tr.join(mine.Client(keys.Pilot))(t.Context(), dial, address, hello())
			require.NoError(t, err)
			defer l.Close()
			before := ring.Expires()
			for i := range 40 {
				if i == 10 {
					_, err = authority.Issue(dir, who, from, 2*time.Hour)
					require.NoError(t, err)
				}
				require.NoError(t, l.Write(&wire.Sums{Seq: uint64(i + 1), SpanMs: 10}, time.Second))
				assert.EqualValues(t, i+1, next[pilot.Reported](t, in).Sums.Seq)
				time.Sleep(20 * time.Millisecond)
			}
			assert.True(t, ring.Expires().After(before), "the new certificate is in force")
			second, _, err := tr.join(mine.Client(keys.Pilot))(t.Context(), dial, address, hello())
			require.NoError(t, err)
			second.Close()
			require.NoError(t, ring.Wrong())
		})
	}
}
