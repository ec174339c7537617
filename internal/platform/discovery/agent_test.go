package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type inbox struct {
	mu  sync.Mutex
	got []*wire.List
}

func (b *inbox) Post(_ context.Context, in controller.Input) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got = append(b.got, in.(controller.EndpointsListed).List)
	return nil
}

func (b *inbox) versions() (v []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.got {
		v = append(v, l.Version)
	}
	return v
}

func list(index int, snapshot bool, names ...string) string {
	var e []string
	for _, n := range names {
		e = append(e, fmt.Sprintf(`{"name":%q,"zone":"a","type":"m","group":1,"status":"active","weight":1,"since_ms":0}`, n))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, snapshot, strings.Join(e, ","))
}

// script answers calls one after another: a body, "reset" or "silent". After it, calls wait and tell nothing new.
type script struct {
	l     net.Listener
	mu    sync.Mutex
	steps []string
	paths []string
}

func newScript(t *testing.T, steps ...string) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &script{l: l, steps: steps}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *script) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.paths = append(s.paths, req.URL.RequestURI())
		step, n := "", len(s.paths)-1
		if n < len(s.steps) {
			step = s.steps[n]
		}
		s.mu.Unlock()
		switch step {
		case "reset":
			return
		case "half":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"+list(4, true, "x")[:20])
			return
		case "silent":
			_, _ = r.ReadByte() // until the other side gives up
			return
		case "":
			time.Sleep(20 * time.Millisecond)
			step = list(1000+n, false)
		}
		step, single := strings.CutPrefix(step, "bytes")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(step), step)
		for piece := len(answer); len(answer) > 0; answer = answer[min(piece, len(answer)):] {
			if single {
				piece = 1
			}
			if _, err := io.WriteString(conn, answer[:min(piece, len(answer))]); err != nil {
				return
			}
		}
	}
}

func (s *script) asked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.paths...)
}

func run(t *testing.T, a *Client) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-ended) })
}

// TestWatches guards that the version held is asked from, whatever befalls a call, and that each list is told once.
func TestWatches(t *testing.T) {
	for name, c := range map[string]struct {
		steps    []string
		versions []int
		paths    []string
	}{
		"whole, then changes": {[]string{list(4, true, "x"), list(5, false, "y"), list(6, false)}, []int{4, 5},
			[]string{"/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=5&wait=1000", "/catalog/members?index=6&wait=1000"}},
		"whole after a gap": {[]string{list(4, true, "x"), list(9, true, "y")}, []int{4, 9},
			[]string{"/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=9&wait=1000"}},
		"reset": {[]string{"reset", list(4, true, "x"), "reset", list(5, false, "y")}, []int{4, 5},
			[]string{"/catalog/members", "/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=4&wait=1000"}},
		"silent": {[]string{list(4, true, "x"), "silent", list(5, false, "y")}, []int{4, 5}, []string{"/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=4&wait=1000"}},
		"changes where the whole list was asked for": {[]string{list(4, false, "x"), list(4, true, "x", "y"), list(5, false, "y")}, []int{4, 4, 5},
			[]string{"/catalog/members", "/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=5&wait=1000"}},
		"a version gone back": {[]string{list(9, true, "x"), list(3, false, "y"), list(3, true, "y"), list(4, false, "z")}, []int{9, 3, 3, 4},
			[]string{"/catalog/members", "/catalog/members?index=9&wait=1000", "/catalog/members", "/catalog/members?index=3&wait=1000", "/catalog/members?index=4&wait=1000"}},
		"a whole list of a version gone back": {[]string{list(9, true, "x"), list(3, true, "y")}, []int{9, 3},
			[]string{"/catalog/members", "/catalog/members?index=9&wait=1000", "/catalog/members?index=3&wait=1000"}},
		"an empty whole list":            {[]string{list(4, true, "x"), list(5, true)}, []int{4, 5}, []string{"/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=5&wait=1000"}},
		"an answer that breaks half way": {[]string{"half", list(4, true, "x")}, []int{4}, []string{"/catalog/members", "/catalog/members", "/catalog/members?index=4&wait=1000"}},
		"an answer in single bytes":      {[]string{"bytes" + list(4, true, "x")}, []int{4}, []string{"/catalog/members", "/catalog/members?index=4&wait=1000"}},
		"no list":                        {[]string{`{"error":1}`, `<html>`, list(4, true, "x")}, []int{4}, []string{"/catalog/members", "/catalog/members", "/catalog/members"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, b := newScript(t, c.steps...), &inbox{}
			run(t, New(s.l.Addr().String(), true, b, zap.NewNop()))
			require.Eventually(t, func() bool { return len(s.asked()) > len(c.steps) }, 10*time.Second, time.Millisecond)
			assert.Equal(t, c.versions, b.versions())
			assert.Equal(t, c.paths, s.asked()[:len(c.paths)])
		})
	}
}

// TestMove guards a reload: the list is neither forgotten nor told twice.
func TestMove(t *testing.T) {
	old, now, b := newScript(t, list(4, true, "x")), newScript(t, list(5, false, "y")), &inbox{}
	a := New(old.l.Addr().String(), true, b, zap.NewNop())
	run(t, a)
	require.Eventually(t, func() bool { return len(old.asked()) > 1 }, 5*time.Second, time.Millisecond)
	a.SetAddress(now.l.Addr().String())
	a.SetAddress(now.l.Addr().String())
	require.Eventually(t, func() bool { return len(now.asked()) > 1 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, []int{4, 5}, b.versions())
	assert.Contains(t, now.asked()[0], "index=")
}

// TestOnRequest guards that nothing is asked before the module has.
func TestOnRequest(t *testing.T) {
	s, b := newScript(t, list(4, true, "x"), list(5, true, "x")), &inbox{}
	a := New(s.l.Addr().String(), false, b, zap.NewNop())
	run(t, a)
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, s.asked())
	a.Fetch()
	require.Eventually(t, func() bool { return len(b.versions()) == 1 }, 5*time.Second, time.Millisecond)
	a.Watch(true)
	require.Eventually(t, func() bool { return len(s.asked()) > 2 }, 5*time.Second, time.Millisecond)
}

func TestParseList(t *testing.T) {
	l, odd, err := ParseList([]byte(`{"index":3,"snapshot":false,"endpoints":[{"name":"x","zone":"a","status":"left"},{"name":"","status":"active"},
		{"name":"y","status":"gone"},{"zone":"a"},7,{"name":"z","zone":"b","status":"leaving","weight":0.5,"since_ms":1700000000123.0}]}`))
	require.NoError(t, err)
	assert.Equal(t, 4, odd)
	assert.Equal(t, []wire.Entry{{Endpoint: "x", Zone: "a", Phase: wire.PhaseGone, Weight: 1},
		{Endpoint: "z", Zone: "b", Phase: wire.PhaseDraining, Weight: 0.5, Started: 1700000000123}}, l.Entries)
	for _, text := range []string{"", "[]", "{}", `{"index":3}`, `{"index":"3","endpoints":[]}`, `{"index":3,"endpoints":[`} {
		_, _, err := ParseList([]byte(text))
		assert.ErrorIs(t, err, ErrList, text)
	}
}
