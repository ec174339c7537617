package handover

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// requestUntilOffered takes over, once somebody listens.
func requestUntilOffered(t *testing.T, path string) (x *Taking) {
	require.Eventually(t, func() (ok bool) {
		var err error
		x, err = Take(path)
		return err == nil
	}, 5*time.Second, time.Millisecond)
	return x
}

const patience = 8

// TestHandover takes every way that a handover can go: the old one stops only when the new one is ready, and goes on
// whenever the new one does not come to serve.
func TestHandover(t *testing.T) {
	for _, c := range []struct {
		name           string
		take           func(t *testing.T, path string)
		taken          bool
		stops, resumes int
	}{
		{"all well", func(t *testing.T, path string) {
			x := requestUntilOffered(t, path)
			c, err := x.Claim()
			require.NoError(t, err)
			defer c.LetGo()
			x.Started(true)
			x.Drop()
		}, true, 1, 0},
		{"it serves but can't say so", func(t *testing.T, path string) {
			x := requestUntilOffered(t, path)
			c, err := x.Claim()
			require.NoError(t, err)
			x.Drop()
			time.Sleep((patience + 4) * lockRetryInterval)
			c.LetGo()
		}, true, 1, 0},
		{"it gives up after the offer", func(t *testing.T, path string) {
			x := requestUntilOffered(t, path)
			x.Drop()
		}, false, 0, 0},
		{"it dies while it waits", func(t *testing.T, path string) {
			x := requestUntilOffered(t, path)
			require.NoError(t, send(x.conn, message{Step: stepReady}, nil))
			x.Drop()
		}, false, 1, 1},
		{"it dies before it serves", func(t *testing.T, path string) {
			x := requestUntilOffered(t, path)
			c, err := x.Claim()
			require.NoError(t, err)
			x.Drop()
			time.Sleep(3 * lockRetryInterval) // the claim falls free when it is dead
			c.LetGo()
			time.Sleep(3 * lockRetryInterval)
		}, false, 1, 1},
		{"a second one meanwhile", func(t *testing.T, path string) {
			x := requestUntilOffered(t, path)
			_, err := Take(path)
			assert.ErrorIs(t, err, ErrBusy)
			c, err := x.Claim()
			require.NoError(t, err)
			defer c.LetGo()
			_, err = Take(path)
			assert.ErrorIs(t, err, ErrBusy)
			x.Started(true)
			x.Drop()
		}, true, 1, 0},
		{"noise", func(t *testing.T, path string) {
			var conn *net.UnixConn
			require.Eventually(t, func() bool { // the path is there from bind on, a dial is refused until listen
				var err error
				conn, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
				return err == nil
			}, 5*time.Second, time.Millisecond)
			_, err := conn.Write([]byte("{"))
			require.NoError(t, err)
			_, err = conn.Read(make([]byte, 9))
			assert.ErrorIs(t, err, io.EOF)
			conn.Close()
		}, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			f, err := l.(*net.TCPListener).File()
			require.NoError(t, err)
			defer f.Close()
			stops, resumes := 0, 0
			path := filepath.Join(t.TempDir(), "handover.sock")
			claim, err := GetClaim(path)
			require.NoError(t, err)
			_, err = GetClaim(path)
			require.ErrorIs(t, err, ErrHeld)
			ctx, cancel := context.WithCancel(t.Context())
			taken := make(chan bool, 1)
			go func() {
				o := Offer{Files: map[string]*os.File{"streams": f}, Patience: patience, Stop: func() { stops++; claim.LetGo() },
					Resume: func(c *Claimed) { resumes++; c.LetGo() }}
				ok, err := o.Serve(ctx, path)
				assert.NoError(t, err)
				taken <- ok
			}()
			require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 5*time.Second, time.Millisecond)
			c.take(t, path)
			if !c.taken {
				time.Sleep(50 * time.Millisecond)
				cancel()
			}
			assert.Equal(t, c.taken, <-taken)
			cancel()
			assert.Equal(t, c.stops, stops)
			assert.Equal(t, c.resumes, resumes)
		})
	}
	_, err := Take(filepath.Join(t.TempDir(), "nobody"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// TestListenerPassed shows that a connection which came while nobody accepted is served by the one that took over.
func TestListenerPassed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	address := l.Addr().String()
	path := filepath.Join(t.TempDir(), "handover.sock")
	done := make(chan bool, 1)
	go func() {
		o := Offer{Files: map[string]*os.File{"streams": f}, Stop: func() { l.Close() }, Resume: func(*Claimed) {}}
		ok, _ := o.Serve(t.Context(), path)
		f.Close()
		done <- ok
	}()
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 5*time.Second, time.Millisecond)
	x := requestUntilOffered(t, path)
	claim, err := x.Claim()
	require.NoError(t, err)
	defer claim.LetGo()
	c, err := net.Dial("tcp", address) // nobody accepts now
	require.NoError(t, err)
	defer c.Close()
	x.Started(true)
	assert.True(t, <-done)
	s, err := x.Listeners["streams"].Accept()
	require.NoError(t, err)
	_, err = s.Write([]byte("hello"))
	require.NoError(t, err)
	s.Close()
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(b))
	x.Drop()
}
