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

// lockAttempts is how often the predecessor of a test tries to acquire the lock.
const lockAttempts = 8

// requestUntilOffered requests a takeover and repeats the request until a predecessor offers its listeners.
func requestUntilOffered(t *testing.T, socket string) (takeover *Takeover) {
	require.Eventually(t, func() bool {
		var err error
		takeover, err = RequestTakeover(socket)
		return err == nil
	}, 5*time.Second, time.Millisecond)
	return takeover
}

// dialSocket connects to a handover socket and retries until the predecessor listens: the path exists after bind, but
// connections are refused until listen.
func dialSocket(t *testing.T, socket string) (conn *net.UnixConn) {
	require.Eventually(t, func() bool {
		var err error
		conn, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: socket, Net: "unixpacket"})
		return err == nil
	}, 5*time.Second, time.Millisecond)
	return conn
}

// listenTCP opens a listener and returns it with a file of its descriptor. The caller must close both.
func listenTCP(t *testing.T) (net.Listener, *os.File) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	file, err := l.File()
	require.NoError(t, err)
	return l, file
}

func awaitSocket(t *testing.T, socket string) {
	require.Eventually(t, func() bool { _, err := os.Stat(socket); return err == nil }, 5*time.Second, time.Millisecond)
}

func mustClose(t *testing.T, c io.Closer) { assert.NoError(t, c.Close()) }

// requestAndClaim requests a takeover and claims the lock.
func requestAndClaim(t *testing.T, socket string) (*Takeover, *Lock) {
	takeover := requestUntilOffered(t, socket)
	lock, err := takeover.Claim()
	require.NoError(t, err)
	return takeover, lock
}

// TestHandover checks every outcome of a handover: the predecessor stops only if the successor is ready, and resumes
// whenever the successor fails before it serves.
func TestHandover(t *testing.T) {
	for _, c := range []struct {
		name      string
		successor func(t *testing.T, socket string)
		takenOver bool
		stops     int
		resumes   int
	}{
		{"success", takeOver, true, 1, 0},
		{"successor serves but can't confirm it", takeOverSilently, true, 1, 0},
		{"successor aborts after the offer", abortAfterOffer, false, 0, 0},
		{"successor dies when ready", dieWhenReady, false, 1, 1},
		{"successor dies with the lock", dieWithLock, false, 1, 1},
		{"another successor is rejected", takeOverBeforeAnother, true, 1, 0},
		{"malformed request", sendMalformed, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, file := listenTCP(t)
			defer mustClose(t, l)
			defer mustClose(t, file)
			socket := filepath.Join(t.TempDir(), "handover.sock")
			lock, err := AcquireLock(socket)
			require.NoError(t, err)
			_, err = AcquireLock(socket)
			require.ErrorIs(t, err, ErrLocked)
			stops := 0
			resumes := 0
			handoff := Handoff{
				Files:        map[string]*os.File{"streams": file},
				LockAttempts: lockAttempts,
				Stop:         func() { stops++; lock.Release() },
				Resume:       func(again *Lock) { resumes++; again.Release() },
			}
			ctx, cancel := context.WithCancel(t.Context())
			takenOver := make(chan bool, 1)
			go func() {
				ok, err := handoff.Serve(ctx, socket)
				assert.NoError(t, err)
				takenOver <- ok
			}()
			awaitSocket(t, socket)
			c.successor(t, socket)
			if !c.takenOver {
				time.Sleep(50 * time.Millisecond)
				cancel()
			}
			assert.Equal(t, c.takenOver, <-takenOver)
			cancel()
			assert.Equal(t, c.stops, stops)
			assert.Equal(t, c.resumes, resumes)
		})
	}
	_, err := RequestTakeover(filepath.Join(t.TempDir(), "nobody"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func takeOver(t *testing.T, socket string) {
	takeover, lock := requestAndClaim(t, socket)
	defer lock.Release()
	takeover.Started(true)
	takeover.Abort()
}

// takeOverSilently holds the lock for longer than the predecessor tries to acquire it.
func takeOverSilently(t *testing.T, socket string) {
	takeover, lock := requestAndClaim(t, socket)
	takeover.Abort()
	time.Sleep((lockAttempts + 4) * lockRetryInterval)
	lock.Release()
}

func abortAfterOffer(t *testing.T, socket string) {
	requestUntilOffered(t, socket).Abort()
}

func dieWhenReady(t *testing.T, socket string) {
	takeover := requestUntilOffered(t, socket)
	require.NoError(t, send(takeover.conn, message{Step: stepReady}, nil))
	takeover.Abort()
}

// dieWithLock releases the lock while the predecessor tries to acquire it, as the kernel does when a process dies.
func dieWithLock(t *testing.T, socket string) {
	takeover, lock := requestAndClaim(t, socket)
	takeover.Abort()
	time.Sleep(3 * lockRetryInterval)
	lock.Release()
	time.Sleep(3 * lockRetryInterval)
}

func takeOverBeforeAnother(t *testing.T, socket string) {
	takeover := requestUntilOffered(t, socket)
	_, err := RequestTakeover(socket)
	assert.ErrorIs(t, err, ErrBusy)
	lock, err := takeover.Claim()
	require.NoError(t, err)
	defer lock.Release()
	_, err = RequestTakeover(socket)
	assert.ErrorIs(t, err, ErrBusy)
	takeover.Started(true)
	takeover.Abort()
}

func sendMalformed(t *testing.T, socket string) {
	conn := dialSocket(t, socket)
	defer mustClose(t, conn)
	_, err := conn.Write([]byte("{"))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 9))
	assert.ErrorIs(t, err, io.EOF)
}

// TestListenerPassed checks that the successor accepts a connection that a client opened while no process accepted any.
func TestListenerPassed(t *testing.T) {
	l, file := listenTCP(t)
	address := l.Addr().String()
	socket := filepath.Join(t.TempDir(), "handover.sock")
	done := make(chan bool, 1)
	go func() {
		handoff := Handoff{
			Files:  map[string]*os.File{"streams": file},
			Stop:   func() { mustClose(t, l) },
			Resume: func(*Lock) {},
		}
		ok, _ := handoff.Serve(t.Context(), socket)
		mustClose(t, file)
		done <- ok
	}()
	awaitSocket(t, socket)
	takeover, lock := requestAndClaim(t, socket)
	defer lock.Release()
	client, err := net.Dial("tcp", address) // no process accepts connections now
	require.NoError(t, err)
	defer mustClose(t, client)
	takeover.Started(true)
	assert.True(t, <-done)
	server, err := takeover.Listeners["streams"].Accept()
	require.NoError(t, err)
	_, err = server.Write([]byte("hello"))
	require.NoError(t, err)
	mustClose(t, server)
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(got))
	takeover.Abort()
}
