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

// scriptedRelay is a fake relay. It handles each call that has commands according to the next step of a script. After
// the last step, all calls succeed.
type scriptedRelay struct {
	t                  *testing.T
	listener           net.Listener
	closeAfterResponse bool // close each connection after one response

	mu       sync.Mutex
	steps    []string // names in scriptedResponses; "halt N" executes N commands; others succeed
	calls    int      // number of calls with commands
	executed []string // summaries of the executed commands, in order
	open     int      // number of open connections

	// unreadableProbes is the number of further empty calls that get a response which cannot be decoded.
	unreadableProbes int
}

// scriptedResponse describes how a call is handled.
type scriptedResponse struct {
	body        string // response body; "": close the connection without a response
	notExecuted bool   // execute none of the commands
	silent      bool   // send no response until after the client's timeout
	truncated   bool   // send only the first bytes of the body
}

// scriptedResponses are the responses by the name of a step.
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
	go s.accept() // ends when the listener is closed
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

// respond handles one call. It returns false if the connection must be closed.
func (s *scriptedRelay) respond(conn net.Conn, body []byte) bool {
	var call struct{ Ops []map[string]any }
	if !assert.NoError(s.t, json.Unmarshal(body, &call)) {
		return false
	}
	if len(call.Ops) == 0 { // a probe; the script is only for calls with commands
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

// execute takes the next step of the script and executes commands accordingly. It returns the number of executed
// commands. scripted is true if the step is in scriptedResponses, and step is its value.
func (s *scriptedRelay) execute(commands []map[string]any) (step scriptedResponse, scripted bool, executed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := "ok"
	if s.calls < len(s.steps) {
		name = s.steps[s.calls]
	}
	s.calls++
	executed = len(commands)
	_, _ = fmt.Sscanf(name, "halt %d", &executed) // no effect for other names
	step, scripted = scriptedResponses[name]
	if step.notExecuted {
		executed = 0
	}
	for _, c := range commands[:executed] {
		s.executed = append(s.executed, summarize(c))
	}
	return step, scripted, executed
}

// respondToProbe responds to an empty call. It returns false if the connection must be closed.
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

// writeResponse sends a response with a body and reports whether that succeeded.
func writeResponse(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// summarize returns a short text for a decoded command.
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

// executedCommands returns the summaries of all executed commands, in order.
func (s *scriptedRelay) executedCommands() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.executed...) // never nil
}

// callCount returns the number of calls with commands.
func (s *scriptedRelay) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// endpointName returns the name of the endpoint with index i.
func endpointName(i int) string { return fmt.Sprint("e", i) }

// setWeight returns a command that sets an endpoint's weight in table 1.
func setWeight(endpoint int, weight float64) planner.Command {
	return planner.SetWeight{Table: 1, Endpoint: endpoint, Weight: weight}
}

// startSender returns a sender to the relay at address that runs until the test ends.
func startSender(t *testing.T, address string) *Sender {
	sender := NewSender(address, []string{"read", "write"}, &inbox{}, &Counters{}, zap.NewNop())
	runSender(t, sender)
	return sender
}

// runSender runs a sender in the background until the test ends, and checks that Run returns nil.
func runSender(t *testing.T, sender *Sender) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- sender.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
}

// eventually waits up to 10 s for a condition to become true.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, time.Millisecond)
}

// twice returns the commands that a relay executes if a call is sent twice.
func twice(commands []string) []string { return slices.Concat(commands, commands) }

// count returns the number of occurrences of word in texts.
func count(texts []string, word string) int { return strings.Count(strings.Join(texts, " "), word) }
