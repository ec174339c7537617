package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// scriptedRelay is a relay that answers each call as told: "ok", "halt N", "lost" (carried out, no answer), "broken" (not
// carried out, no answer), "late" (carried out, silence), "garbage", "too many", "limit", "malformed". After the script
// all calls are answered.
type scriptedRelay struct {
	t     *testing.T
	l     net.Listener
	mu    sync.Mutex
	steps []string
	done  []string // orders carried out, short
	calls int
	// spoilt is how many empty calls get an answer that can't be read, once the script has begun.
	spoilt int
	// closing has each connection closed once a call is answered; open counts those that stand.
	closing bool
	open    int
}

// idle returns whether no connection stands.
func (s *scriptedRelay) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open == 0
}

func newScriptedRelay(t *testing.T, steps ...string) *scriptedRelay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedRelay{t: t, l: l, steps: steps}
	go s.accept()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *scriptedRelay) accept() {
	for {
		conn, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *scriptedRelay) serve(conn net.Conn) {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !s.answer(conn, body) || s.closing {
			return
		}
	}
}

// answer takes one call and returns whether the connection stays.
func (s *scriptedRelay) answer(conn net.Conn, body []byte) bool {
	var call struct{ Ops []map[string]any }
	if !assert.NoError(s.t, json.Unmarshal(body, &call)) {
		return false
	}
	if len(call.Ops) == 0 { // a probe: the script tells of calls that carry orders
		return s.answerProbe(conn)
	}
	s.mu.Lock()
	step, halt := "ok", len(call.Ops)
	if s.calls < len(s.steps) {
		step = s.steps[s.calls]
	}
	s.calls++
	_, _ = fmt.Sscanf(step, "halt %d", &halt)
	if step == "broken" || step == "limit" || step == "malformed" {
		halt = 0
	}
	for _, o := range call.Ops[:halt] {
		s.done = append(s.done, summarize(o))
	}
	s.mu.Unlock()
	text := map[string]string{"lost": "", "broken": "", "garbage": "{ok", "too many": `{"ok_count":99}`,
		"limit": `{"error":"limit"}`, "malformed": `{"error":"malformed"}`, "negative": `{"ok_count":-1}`, "absent": `{}`,
		"text": `{"ok_count":"4"}`, "half": `{"ok_count":4}`}
	switch out, known := text[step]; {
	case step == "late":
		time.Sleep(2 * answerTimeout)
		return false
	case known && out == "":
		return false
	case step == "half": // its last bytes never come
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(out), out[:7])
		return false
	case !known:
		out = fmt.Sprintf(`{"ok_count":%d}`, halt)
		fallthrough
	default:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(out), out)
		return err == nil
	}
}

func (s *scriptedRelay) answerProbe(conn net.Conn) bool {
	s.mu.Lock()
	out := `{"ok_count":0}`
	if s.spoilt > 0 {
		s.spoilt--
		out = `{"ok_cou`
	}
	s.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(out), out)
	return err == nil
}

func summarize(o map[string]any) string {
	switch o["verb"] {
	case "SET":
		return fmt.Sprint("SET ", o["cluster"], " ", o["endpoint"], " ", o["w"])
	case "USE":
		return fmt.Sprint("USE ", o["node"], " ", o["cluster"])
	case "SYNC":
		return fmt.Sprint("SYNC ", o["ticket"])
	}
	return fmt.Sprint(o["verb"], " ", o["endpoint"])
}

func (s *scriptedRelay) carried() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.done...)
}

func endpoint(i int) string { return fmt.Sprint("e", i) }

// startSender runs the way out to a scripted relay.
func startSender(t *testing.T, address string) *Orders {
	r := NewOrders(address, []string{"read", "write"}, &inbox{}, &Counters{}, zap.NewNop())
	runSender(t, r)
	return r
}

func runSender(t *testing.T, r *Orders) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-ended) })
}
