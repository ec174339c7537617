package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPlatformProcess checks the pilot process as the platform starts it. An invalid settings file must make it exit
// with one line that names the field. SIGHUP must never end it, even if several signals arrive or one arrives early.
// SIGTERM must end it with exit status 0, even while its connections hang.
func TestPlatformProcess(t *testing.T) {
	dir := t.TempDir()
	binary, file := filepath.Join(dir, "indigousher"), filepath.Join(dir, "config.json")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	require.NoError(t, err)
	defer mustClose(t, hanging)
	listen := freePort(t)
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":0.5,"memory_mb":48,"sockets":256},
"relay":{"address":%q},"settings":{"dcs":["a"],"kinds":["m"],"instances":1,"rank":0,"discovery":"pushed","profiles":[{"name":"read"}],
"extra":{"proxy_count":9,"egress_per_s":800,"backlog":1200},"obligations":{"drain_grace":3e9,"cold":1e10}}}`, listen,
		hanging.Addr(), hanging.Addr())
	command := func(text string) *exec.Cmd {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		c := exec.Command(binary, "pilot", "--platform")
		c.Env = append(os.Environ(), "NODE_CONFIG="+file, "NODE_NAME=n0", "NODE_LISTEN="+listen)
		return c
	}
	for message, invalid := range map[string]string{
		"seed":          strings.Replace(text, `"1f"`, `"?"`, 1),
		"not readable":  text[:len(text)-9],
		"relay.address": strings.Replace(text, `"relay":{"address"`, `"relay":{"at"`, 1),
		"NODE_NAME":     strings.Replace(text, `"n0"`, `"n1"`, 1),
	} {
		out, err := command(invalid).CombinedOutput()
		assert.Error(t, err, "exit code")
		assert.Contains(t, string(out), message)
		assert.Equal(t, 1, strings.Count(string(out), "\n"), "%s", out)
	}

	for name, signals := range map[string][]syscall.Signal{ // sent before the process listens, and right after
		"SIGTERM": {syscall.SIGTERM}, "SIGTERM twice": {syscall.SIGTERM, syscall.SIGTERM},
		"SIGHUP, then SIGTERM": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM}, "SIGKILL": {syscall.SIGKILL},
	} {
		for _, ready := range []bool{false, true} {
			c := command(text)
			require.NoError(t, c.Start(), name)
			for ready {
				if conn, err := net.Dial("tcp", listen); err == nil {
					_ = conn.Close()
					break
				}
			}
			sent := signals
			if !ready && signals[0] == syscall.SIGHUP {
				sent = signals[2:] // the platform sends no SIGHUP before a process listens
			}
			for _, s := range sent {
				_ = c.Process.Signal(s) // fails if an earlier signal has ended the process
			}
			ended := make(chan struct{})
			go func() { _ = c.Wait(); close(ended) }()
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Errorf("%s, ready %t: the process is still running", name, ready)
				_ = c.Process.Kill()
				<-ended
			}
			l, err := net.Listen("tcp", listen) // the address must be free for the next process
			require.NoError(t, err, name)
			require.NoError(t, l.Close())
		}
	}

	c := command(text)
	require.NoError(t, c.Start())
	var conn net.Conn
	require.Eventually(t, func() bool {
		conn, err = net.Dial("tcp", listen)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	defer mustClose(t, conn)
	for range 3 {
		require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	}
	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	_, err = conn.Write([]byte("ping\r\n"))
	require.NoError(t, err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "pong\r\n", line)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	select {
	case err := <-ended:
		assert.NoError(t, err)
	case <-time.After(5 * time.Second):
		require.NoError(t, c.Process.Kill())
		t.Error("SIGTERM did not end the process")
	}
}
