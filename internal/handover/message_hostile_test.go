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

// TestMalformedRequests guards the handover socket against malformed requests and silent connections. Malformed
// requests must be closed without an answer. None may block a valid takeover or leave goroutines or files behind.
func TestMalformedRequests(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "handover.sock")
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	handoff := Handoff{Stop: func() { t.Error("controller was stopped for a malformed request") }, Resume: func(*Lock) {}}
	go func() { _, err := handoff.Serve(ctx, socket); served <- err }()
	defer func() { cancel(); assert.NoError(t, <-served) }()
	mustClose(t, dialSocket(t, socket))
	silent := dialSocket(t, socket)
	defer mustClose(t, silent)
	for name, text := range map[string]string{
		"not JSON":        "take",
		"truncated":       `{"Version":1,"Step":"ta`,
		"another version": `{"Version":2,"Step":"take"}`,
		"another step":    `{"Version":1,"Step":"go"}`,
		"nested":          strings.Repeat("[", maxMessageBytes),
		"too long":        `{"Version":1,"Step":"take"}` + strings.Repeat(" ", 2*maxMessageBytes),
		"wrong type":      `{"Version":"one"}`,
		"not UTF-8":       "\xff\xfe",
	} {
		conn := dialSocket(t, socket)
		_, err := conn.Write([]byte(text))
		require.NoError(t, err, name)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), name)
		n, err := conn.Read(make([]byte, maxMessageBytes))
		assert.True(t, n == 0 || err != nil, "%s was answered", name)
		mustClose(t, conn)
	}
	assertNoGoroutineLeak(t, socket)
	assertNoFileLeak(t, socket)
	requestUntilOffered(t, socket).Abort() // while another connection is silent
}

// assertNoGoroutineLeak opens many connections and closes them at once.
func assertNoGoroutineLeak(t *testing.T, socket string) {
	before := runtime.NumGoroutine()
	for range 200 {
		mustClose(t, dialSocket(t, socket))
	}
	assert.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+2 }, 5*time.Second, time.Millisecond,
		"goroutines of closed connections are still running")
}

// assertNoFileLeak attaches files to requests, which must not have any.
func assertNoFileLeak(t *testing.T, socket string) {
	before, err := openFiles()
	require.NoError(t, err)
	for range 20 {
		require.Eventually(t, func() bool { // the previous request may still be in progress
			conn := dialSocket(t, socket)
			defer mustClose(t, conn)
			return requestWithFiles(conn) == nil
		}, 10*time.Second, time.Millisecond)
	}
	assert.Eventually(t, func() bool {
		now, err := openFiles()
		return err == nil && now <= before+3
	}, 5*time.Second, time.Millisecond, "files of closed connections are still open")
}

func requestWithFiles(conn *net.UnixConn) error {
	if err := send(conn, message{Step: stepRequest}, []*os.File{os.Stdin, os.Stdin, os.Stdin}); err != nil {
		return err
	}
	return expect(conn, stepOffer, 5*time.Second)
}

// openFiles returns the number of open files of this process.
func openFiles() (int, error) {
	files, err := os.ReadDir("/proc/self/fd")
	return len(files), err
}
