package gossip

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox passes the posted inputs to the test.
type inbox chan controller.Input

// Post implements controller.Inbox.
func (i inbox) Post(ctx context.Context, in controller.Input) error {
	select {
	case i <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestGossip checks that texts are exchanged between two pilots, that long ones are truncated, and that invalid
// datagrams are dropped.
func TestGossip(t *testing.T) {
	sockets := map[int]net.PacketConn{}
	addresses := map[int]string{}
	for r := range 2 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		sockets[r], addresses[r] = c, c.LocalAddr().String()
	}
	in := inbox(make(chan controller.Input, 8))
	var services []*Service
	for r := range 2 {
		p, err := Open(sockets[r], r, addresses, in, zap.NewNop())
		require.NoError(t, err)
		services = append(services, p)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		t.Cleanup(func() { cancel(); assert.NoError(t, <-done) })
	}
	stranger, err := net.Dial("udp", addresses[1])
	require.NoError(t, err)
	defer func() { assert.NoError(t, stranger.Close()) }()
	for _, b := range [][]byte{[]byte("hello"), encodeDatagram(9, "a stranger"), append(encodeDatagram(0, ""), make([]byte, 1100)...)} {
		_, err := stranger.Write(b)
		require.NoError(t, err)
	}
	services[0].Tell(1, "first")
	services[0].Tell(-1, strings.Repeat("x", 2000))
	assert.Equal(t, controller.GossipReceived{From: 0, Text: "first"}, <-in)
	assert.Equal(t, controller.GossipReceived{From: 0, Text: strings.Repeat("x", MaxText)}, <-in)
	_, err = Open(sockets[0], 0, map[int]string{1: "nonsense"}, in, zap.NewNop())
	assert.Error(t, err)
}

// newSecret creates a secret with one key in a file and returns the path of the file and the secret.
func newSecret(t *testing.T) (path string, secret *identity.Secret) {
	path = filepath.Join(t.TempDir(), "secret")
	require.NoError(t, identity.NewSecret(path))
	secret, err := identity.LoadSecret(path)
	require.NoError(t, err)
	return path, secret
}

// TestSealed checks that a service with a secret accepts only datagrams sealed with it, and each of them only once.
func TestSealed(t *testing.T) {
	_, ours := newSecret(t)
	_, others := newSecret(t)
	s := &Service{Secret: ours, replayFilters: map[int]*identity.ReplayFilter{3: {}}}
	sealed, err := seal(ours, 3, "load 0.7")
	require.NoError(t, err)
	foreign, err := seal(others, 3, "load 0.1")
	require.NoError(t, err)
	forged := append([]byte{}, sealed...)
	forged[headerBytes-1] = 4 // the rank in the header
	for _, c := range []struct {
		name string
		data []byte
		text string
	}{
		{"sealed", sealed, "load 0.7"},
		{"the same again", sealed, ""},
		{"under another key", foreign, ""},
		{"another sender's rank", forged, ""},
		{"in plain", encodeDatagram(3, "x"), ""},
		{"truncated", sealed[:20], ""},
		{"nothing", nil, ""},
	} {
		_, text, err := s.decode(c.data)
		assert.Equal(t, c.text, text, c.name)
		assert.Equal(t, c.text == "", err != nil, c.name)
	}
}

// TestSecretRotated checks that a second key can be added without interruption, and that the keys remain in effect if
// the file becomes invalid.
func TestSecretRotated(t *testing.T) {
	const reloadTime = 250 * time.Millisecond // time within which a changed file is loaded
	path, ours := newSecret(t)
	othersPath, others := newSecret(t)
	s := &Service{Secret: ours, replayFilters: map[int]*identity.ReplayFilter{3: {}}}
	first, err := os.ReadFile(path)
	require.NoError(t, err)
	second, err := os.ReadFile(othersPath)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append(first, second...), 0o600)) // add the other key after the first
	require.NoError(t, os.Chtimes(path, time.Now(), time.Now().Add(time.Second)))
	time.Sleep(reloadTime)
	sealed, err := seal(others, 3, "load 0.2")
	require.NoError(t, err)
	_, text, err := s.decode(sealed)
	assert.NoError(t, err)
	assert.Equal(t, "load 0.2", text)
	require.NoError(t, os.WriteFile(path, []byte("not hex\n"), 0o600))
	time.Sleep(reloadTime)
	assert.ErrorContains(t, ours.Err(), "secret:1: no key")
	_, err = seal(ours, 3, "goes on")
	assert.NoError(t, err)
}

// FuzzDecode checks that decoding arbitrary datagrams does not panic and that encoding restores each valid one.
func FuzzDecode(f *testing.F) {
	f.Add(encodeDatagram(3, "text"))
	f.Fuzz(func(t *testing.T, b []byte) {
		from, text, err := decodeDatagram(b)
		if err == nil {
			assert.Equal(t, b, encodeDatagram(from, text))
		}
	})
}
