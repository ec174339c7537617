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

// scriptedSite is the platform around one pilot: discovery and a relay, at as many addresses as wanted.
type scriptedSite struct {
	mu    sync.Mutex
	ops   []string
	calls map[string]int
}

func (s *scriptedSite) open(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	address := l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go s.serve(conn, address)
		}
	}()
	return address
}

func (s *scriptedSite) serve(conn net.Conn, address string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		s.mu.Lock()
		s.calls[address+req.URL.Path]++
		first := s.calls[address+req.URL.Path] == 1
		s.mu.Unlock()
		answer := ""
		switch req.URL.Path {
		case "/v1/events":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for _, e := range []string{`{"type":"joined","object":{"node":3,"locality":"b","w":7,"cold":true}}`, `{}`, `{}`, `{}`, `{}`, `{}`} {
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(e)+1, e); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			return
		case "/v1/orders":
			var call struct{ Ops []map[string]any }
			if json.Unmarshal(body, &call) != nil {
				return
			}
			s.mu.Lock()
			for _, o := range call.Ops {
				s.ops = append(s.ops, fmt.Sprint(address, " ", o["verb"], " ", o["node"], " ", o["endpoint"]))
			}
			s.mu.Unlock()
			answer = fmt.Sprintf(`{"ok_count":%d}`, len(call.Ops))
		default:
			answer = `{"index":7,"snapshot":false,"endpoints":[]}`
			if first {
				answer = `{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","zone":"b","type":"m2","group":1,"status":"active","weight":1,"since_ms":0}]}`
			} else {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}

func (s *scriptedSite) has(what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(strings.Join(s.ops, "\n"), what)
}

func (s *scriptedSite) asked(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[what]
}
