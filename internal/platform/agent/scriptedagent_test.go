package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func list(index int, snapshot bool, names ...string) string {
	var e []string
	for _, n := range names {
		e = append(e, fmt.Sprintf(`{"name":%q,"zone":"a","type":"m","group":1,"status":"active","weight":1,"since_ms":0}`, n))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, snapshot, strings.Join(e, ","))
}

// scriptedAgent answers calls one after another: a body, "reset" or "silent". After it, calls wait and tell nothing new.
type scriptedAgent struct {
	l     net.Listener
	mu    sync.Mutex
	steps []string
	paths []string
}

func newScriptedAgent(t *testing.T, steps ...string) *scriptedAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedAgent{l: l, steps: steps}
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

func (s *scriptedAgent) serve(conn net.Conn) {
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

func (s *scriptedAgent) asked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.paths...)
}
