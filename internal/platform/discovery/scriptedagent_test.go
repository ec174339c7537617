package discovery

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

// listResponse returns an answer with a list of active endpoints.
func listResponse(index int, snapshot bool, names ...string) string {
	var entries []string
	for _, name := range names {
		entries = append(entries, fmt.Sprintf(
			`{"name":%q,"zone":"a","type":"m","group":1,"status":"active","weight":1,"since_ms":0}`, name))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
}

// scriptedAgent is discovery's agent. It answers calls by the steps of a script: a body, "bytes" and a body, sent
// byte by byte, "reset", "half" an answer, or "silent". After the script calls wait and return no changes.
type scriptedAgent struct {
	listener net.Listener
	mu       sync.Mutex
	steps    []string
	paths    []string // asked for
}

func newScriptedAgent(t *testing.T, steps ...string) *scriptedAgent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedAgent{listener: listener, steps: steps}
	go func() { // until the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *scriptedAgent) address() string { return s.listener.Addr().String() }

func (s *scriptedAgent) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		step, number := s.next(request.URL.RequestURI())
		switch step {
		case "reset":
			return
		case "half":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"+listResponse(4, true, "x")[:20])
			return
		case "silent":
			_, _ = reader.ReadByte() // until the other side gives up
			return
		case "":
			time.Sleep(20 * time.Millisecond)
			step = listResponse(1000+number, false)
		}
		if writeResponse(conn, step) != nil {
			return
		}
	}
}

// next notes a call and returns its step, "" after the script, and its number from 0.
func (s *scriptedAgent) next(path string) (step string, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number = len(s.paths)
	s.paths = append(s.paths, path)
	if number < len(s.steps) {
		step = s.steps[number]
	}
	return step, number
}

// writeResponse sends a step's body, byte by byte if the step says so.
func writeResponse(conn net.Conn, step string) error {
	body, byteByByte := strings.CutPrefix(step, "bytes")
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	piece := len(answer)
	if byteByByte {
		piece = 1
	}
	for len(answer) > 0 {
		n := min(piece, len(answer))
		if _, err := io.WriteString(conn, answer[:n]); err != nil {
			return err
		}
		answer = answer[n:]
	}
	return nil
}

func (s *scriptedAgent) requestedPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.paths...)
}
