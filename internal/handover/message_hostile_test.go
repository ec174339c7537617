package handover

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBadAsker guards the handover socket against those who ask and mean harm, or nothing: each is let go of, none holds
// up one that really takes over, and nothing of them stays.
func TestBadAsker(t *testing.T) {
	path := filepath.Join(t.TempDir(), "handover.sock")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	o := Offer{Stop: func() { t.Error("stopped for a bad asker") }, Resume: func(*Claimed) {}}
	go func() { _, err := o.Serve(ctx, path); ended <- err }()
	defer func() { cancel(); assert.NoError(t, <-ended) }()
	dial := func() (c *net.UnixConn) {
		require.Eventually(t, func() (ok bool) {
			var err error
			c, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
			return err == nil
		}, 5*time.Second, time.Millisecond)
		return c
	}
	dial().Close()
	silent := dial()
	defer silent.Close()
	for name, text := range map[string]string{"no JSON": "take", "cut off": `{"Version":1,"Step":"ta`, "another version": `{"Version":2,"Step":"take"}`,
		"another step": `{"Version":1,"Step":"go"}`, "nested": strings.Repeat("[", maxMessageBytes), "too long": `{"Version":1,"Step":"take"}` + strings.Repeat(" ", 2*maxMessageBytes),
		"wrong type": `{"Version":"one"}`, "not UTF-8": "\xff\xfe"} {
		c := dial()
		_, err := c.Write([]byte(text))
		require.NoError(t, err, name)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := c.Read(make([]byte, maxMessageBytes))
		assert.True(t, n == 0 || err != nil, "%s was answered", name)
		c.Close()
	}
	before := runtime.NumGoroutine()
	for range 200 {
		dial().Close()
	}
	assert.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+2 }, 5*time.Second, time.Millisecond,
		"goroutines of those who have gone stay")
	files, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	for range 20 { // files that come along with what brings none
		require.Eventually(t, func() bool { // the one before may still be on its way out
			c := dial()
			defer c.Close()
			return send(c, message{Step: stepRequest}, []*os.File{os.Stdin, os.Stdin, os.Stdin}) == nil && expect(c, stepOffer, 5*time.Second) == nil
		}, 10*time.Second, time.Millisecond)
	}
	assert.Eventually(t, func() bool {
		now, err := os.ReadDir("/proc/self/fd")
		return err == nil && len(now) <= len(files)+3
	}, 5*time.Second, time.Millisecond, "files of those who have gone stay")
	requestUntilOffered(t, path).Drop() // while one is still silent
}
