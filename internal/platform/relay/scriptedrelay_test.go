package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/planner"
)

// scriptedRelay is a relay that answers each call with commands by the next step of a script, and all later calls
// with success.
type scriptedRelay struct {
	t                  *testing.T
	listener           net.Listener
	closeAfterResponse bool // each connection is closed once a call is answered

	mu       sync.Mutex
	steps    []string // names in scriptedResponses, or "halt N": it executes N commands and says so
	calls    int      // that carried commands
	executed []string // commands, summarized
	open     int      // connections

	// unreadableProbes is how many empty calls get an answer that can't be read, once the script has begun.
	unreadableProbes int
}

// scriptedResponse is what a step of a script does.
type scriptedResponse struct {
	body        string // of the answer; "": there is none, and the connection ends
	notExecuted bool   // it executes nothing of the call
	silent      bool   // it waits until the other side has given up
	truncated   bool   // the last bytes never come
}

var scriptedResponses = map[string]scriptedResponse{
	"lost":      {},
	"broken":    {notExecuted: true},
	"late":      {silent: true},
	"half":      {body: `{"ok_count":4}`, truncated: true},
	"garbage":   {body: `{ok`},
	"too many":  {body: `{"ok_count":99}`},
	"negative":  {body: `{"ok_count":-1}`},
	"absent":    {body: `{}`},
	"text":      {body: `{"ok_count":"4"}`},
	"limit":     {body: `{"error":"limit"}`, notExecuted: true},
	"malformed": {body: `{"error":"malformed"}`, notExecuted: true},
}

func newScriptedRelay(t *testing.T, steps ...string) *scriptedRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedRelay{t: t, listener: listener, steps: steps}
	go s.accept() // until the listener is closed
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *scriptedRelay) address() string { return s.listener.Addr().String() }

// idle reports whether no connection is open.
func (s *scriptedRelay) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open == 0
}

func (s *scriptedRelay) accept() {
	for {
		conn, err := s.listener.Accept()
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
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !s.respond(conn, body) || s.closeAfterResponse {
			return
		}
	}
}

// respond takes one call and returns whether the connection stays.
func (s *scriptedRelay) respond(conn net.Conn, body []byte) bool {
	var call struct{ Ops []map[string]any }
	if !assert.NoError(s.t, json.Unmarshal(body, &call)) {
		return false
	}
	if len(call.Ops) == 0 { // a probe: the script is of calls that carry commands
		return s.respondToProbe(conn)
	}
	step, scripted, executed := s.execute(call.Ops)
	switch {
	case step.silent:
		time.Sleep(2 * responseTimeout)
		return false
	case scripted && step.body == "":
		return false
	case step.truncated:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(step.body), step.body[:7])
		return false
	case scripted:
		return writeResponse(conn, step.body)
	default:
		return writeResponse(conn, fmt.Sprintf(`{"ok_count":%d}`, executed))
	}
}

// execute takes the script's next step and executes commands by it. It returns how many, and whether the step is one of
// scriptedResponses.
func (s *scriptedRelay) execute(commands []map[string]any) (step scriptedResponse, scripted bool, executed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := "ok"
	if s.calls < len(s.steps) {
		name = s.steps[s.calls]
	}
	s.calls++
	executed = len(commands)
	_, _ = fmt.Sscanf(name, "halt %d", &executed) // other names leave it as it is
	step, scripted = scriptedResponses[name]
	if step.notExecuted {
		executed = 0
	}
	for _, c := range commands[:executed] {
		s.executed = append(s.executed, summarize(c))
	}
	return step, scripted, executed
}

func (s *scriptedRelay) respondToProbe(conn net.Conn) bool {
	s.mu.Lock()
	body := `{"ok_count":0}`
	if s.unreadableProbes > 0 {
		s.unreadableProbes--
		body = `{"ok_cou`
	}
	s.mu.Unlock()
	return writeResponse(conn, body)
}

func writeResponse(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

func summarize(command map[string]any) string {
	switch command["verb"] {
	case "SET":
		return fmt.Sprint("SET ", command["cluster"], " ", command["endpoint"], " ", command["w"])
	case "USE":
		return fmt.Sprint("USE ", command["node"], " ", command["cluster"])
	case "SYNC":
		return fmt.Sprint("SYNC ", command["ticket"])
	}
	return fmt.Sprint(command["verb"], " ", command["endpoint"])
}

func (s *scriptedRelay) executedCommands() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.executed...) // never nil
}

func (s *scriptedRelay) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func endpointName(i int) string { return fmt.Sprint("e", i) }

// setWeight is a command on table 1.
func setWeight(endpoint int, weight float64) planner.Command {
	return planner.SetWeight{Table: 1, Endpoint: endpoint, Weight: weight}
}

// startSender runs a sender to a relay until the test ends.
func startSender(t *testing.T, address string) *Sender {
	sender := NewSender(address, []string{"read", "write"}, &inbox{}, &Counters{}, zap.NewNop())
	runSender(t, sender)
	return sender
}

// runSender runs a sender until the test ends.
func runSender(t *testing.T, sender *Sender) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- sender.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
}

// eventually waits for a condition that other goroutines establish.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, time.Millisecond)
}

// twice returns what a relay executes of a call that is sent twice.
func twice(commands []string) []string { return slices.Concat(commands, commands) }

// count returns how often a word occurs in texts.
func count(texts []string, word string) int { return strings.Count(strings.Join(texts, " "), word) }
