package platform

import (
	"bufio"
	"encoding/json"
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

const (
	membersPath  = "/catalog/members"
	eventsPath   = "/v1/events"
	commandsPath = "/v1/orders"
)

// fakePlatform serves the pilot's dependencies: a discovery agent with one endpoint and a relay with one proxy. Both
// are available at each address that listen returns.
type fakePlatform struct {
	mu       sync.Mutex
	executed []string       // one text per command: address, verb, proxy and endpoint
	calls    map[string]int // number of calls, by address followed by path
}

// listen starts serving at a new address and returns it.
func (s *fakePlatform) listen(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address = listener.Addr().String()
	go func() { // ends when the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go s.serve(conn, address)
		}
	}()
	return address
}

func (s *fakePlatform) serve(conn net.Conn, address string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		path := request.URL.Path
		number := s.countCall(address + path)
		if path == eventsPath {
			serveEvents(conn)
			return
		}
		response, err := s.respond(address, path, number, body)
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(response), response)
		if err != nil {
			return
		}
	}
}

// countCall counts a call to an address and path and returns how many there were, including this one.
func (s *fakePlatform) countCall(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[what]++
	return s.calls[what]
}

// serveEvents writes an event stream that announces one proxy and then sends five keepalives.
func serveEvents(conn io.Writer) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	events := []string{
		`{"type":"joined","object":{"node":3,"locality":"b","w":7,"cold":true}}`, `{}`, `{}`, `{}`, `{}`, `{}`,
	}
	for _, event := range events {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(event)+1, event); err != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// respond returns the response body of discovery or the relay to a call. number counts the calls to this address and
// path, from 1.
func (s *fakePlatform) respond(address, path string, number int, body []byte) (string, error) {
	if path == commandsPath {
		return s.execute(address, body)
	}
	return listResponse(number), nil
}

// execute records the commands in a call to the relay and returns the response body.
func (s *fakePlatform) execute(address string, body []byte) (response string, err error) {
	var call struct{ Ops []map[string]any }
	if err := json.Unmarshal(body, &call); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, command := range call.Ops {
		text := fmt.Sprint(address, " ", command["verb"], " ", command["node"], " ", command["endpoint"])
		s.executed = append(s.executed, text)
	}
	return fmt.Sprintf(`{"ok_count":%d}`, len(call.Ops)), nil
}

// listResponse returns the whole endpoint list for call number 1, and an empty set of changes for later calls.
func listResponse(number int) string {
	if number == 1 {
		return `{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","zone":"b","type":"m2","group":1,` +
			`"status":"active","weight":1,"since_ms":0}]}`
	}
	time.Sleep(50 * time.Millisecond)
	return `{"index":7,"snapshot":false,"endpoints":[]}`
}

// hasExecuted reports whether the texts of the executed commands contain what.
func (s *fakePlatform) hasExecuted(what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(strings.Join(s.executed, "\n"), what)
}

// callCount returns the number of calls to an address followed by a path.
func (s *fakePlatform) callCount(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[what]
}
