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

// listResponse returns a response body with a list of active endpoints.
func listResponse(index int, snapshot bool, names ...string) string {
	var entries []string
	for _, name := range names {
		entries = append(entries, fmt.Sprintf(
			`{"name":%q,"zone":"a","type":"m","group":1,"status":"active","weight":1,"since_ms":0}`, name))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
}

// scriptedAgent is a fake discovery agent. Each request is handled according to the next step of a script:
//
//   - "reset" closes the connection without a response.
//   - "half" sends an incomplete response and closes the connection.
//   - "silent" sends nothing until the client closes the connection.
//   - "bytes" followed by a body sends a response with this body in single bytes.
//   - Any other text is sent as the response body.
//
// After the last step, a response without changes is sent after 20 ms.
type scriptedAgent struct {
	listener net.Listener
	mu       sync.Mutex
	steps    []string
	paths    []string // paths of all requests, in order
}

func newScriptedAgent(t *testing.T, steps ...string) *scriptedAgent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedAgent{listener: listener, steps: steps}
	go func() { // ends when the listener is closed
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
			_, _ = reader.ReadByte() // returns when the client closes the connection
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

// next records the path of a request. It returns the request's step, which is "" after the end of the script, and its
// number, from 0.
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

// writeResponse sends a response with the step's body, in single bytes if the step begins with "bytes".
func writeResponse(conn net.Conn, step string) error {
	body, byteByByte := strings.CutPrefix(step, "bytes")
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	piece := len(response)
	if byteByByte {
		piece = 1
	}
	for len(response) > 0 {
		n := min(piece, len(response))
		if _, err := io.WriteString(conn, response[:n]); err != nil {
			return err
		}
		response = response[n:]
	}
	return nil
}

// requestedPaths returns the paths of all requests so far, in order.
func (s *scriptedAgent) requestedPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.paths...)
}
