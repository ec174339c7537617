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

type inbox chan controller.Input

func (i inbox) Post(ctx context.Context, in controller.Input) error {
	select {
	case i <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestNotes shows a note on its way between two pilots, past strangers and noise.
func TestNotes(t *testing.T) {
	sockets := map[int]net.PacketConn{}
	at := map[int]string{}
	for r := range 2 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		sockets[r], at[r] = c, c.LocalAddr().String()
	}
	in := inbox(make(chan controller.Input, 8))
	var posts []*Service
	for r := range 2 {
		p, err := Open(sockets[r], r, at, in, zap.NewNop())
		require.NoError(t, err)
		posts = append(posts, p)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		t.Cleanup(func() { cancel(); assert.NoError(t, <-done) })
	}
	noise, err := net.Dial("udp", at[1])
	require.NoError(t, err)
	defer noise.Close()
	for _, b := range [][]byte{[]byte("hello"), Encode(9, "a stranger"), append(Encode(0, ""), make([]byte, 1100)...)} {
		_, err := noise.Write(b)
		require.NoError(t, err)
	}
	posts[0].Tell(1, "first")
	posts[0].Tell(-1, strings.Repeat("x", 2000))
	assert.Equal(t, controller.GossipReceived{From: 0, Text: "first"}, <-in)
	assert.Equal(t, controller.GossipReceived{From: 0, Text: strings.Repeat("x", MaxText)}, <-in)
	_, err = Open(sockets[0], 0, map[int]string{1: "nonsense"}, in, zap.NewNop())
	assert.Error(t, err)
}

// TestSealed shows that with a secret only sealed notes count, each once, and that a key is changed without a gap.
func TestSealed(t *testing.T) {
	dir := t.TempDir()
	make := func(name string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, identity.NewSecret(path))
		return path
	}
	ours, others := make("ours"), make("others")
	a, err := identity.LoadSecret(ours)
	require.NoError(t, err)
	b, err := identity.LoadSecret(others)
	require.NoError(t, err)
	p := &Service{Secret: a, once: map[int]*identity.ReplayFilter{3: {}}}
	note, err := seal(a, 3, "load 0.7")
	require.NoError(t, err)
	strange, err := seal(b, 3, "load 0.1")
	require.NoError(t, err)
	forged := append([]byte{}, note...)
	forged[headBytes-1] = 4 // another rank outside
	for _, c := range []struct {
		name string
		data []byte
		text string
	}{
		{"sealed", note, "load 0.7"}, {"the same again", note, ""}, {"under another key", strange, ""},
		{"another sender's rank", forged, ""}, {"in plain", Encode(3, "x"), ""}, {"cut off", note[:20], ""}, {"nothing", nil, ""},
	} {
		_, text, err := p.open(c.data)
		assert.Equal(t, c.text, text, c.name)
		assert.Equal(t, c.text == "", err != nil, c.name)
	}
	first, err := os.ReadFile(ours)
	require.NoError(t, err)
	second, err := os.ReadFile(others)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(ours, append(first, second...), 0o600)) // the other's key is let in behind ours
	require.NoError(t, os.Chtimes(ours, time.Now(), time.Now().Add(time.Second)))
	time.Sleep(250 * time.Millisecond)
	fresh, err := seal(b, 3, "load 0.2")
	require.NoError(t, err)
	_, text, err := p.open(fresh)
	assert.NoError(t, err)
	assert.Equal(t, "load 0.2", text)
	require.NoError(t, os.WriteFile(ours, []byte("not hex\n"), 0o600))
	time.Sleep(250 * time.Millisecond)
	assert.ErrorContains(t, a.Err(), "ours:1: no key")
	_, err = seal(a, 3, "goes on")
	assert.NoError(t, err)
}

// FuzzDecode guards against datagrams of any bytes.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(3, "text"))
	f.Fuzz(func(t *testing.T, b []byte) {
		from, text, err := Decode(b)
		if err == nil {
			assert.Equal(t, b, Encode(from, text))
		}
	})
}
