package emulator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// attemptCounts holds the counts of requests and attempts of one request class, taken from the events of a run.
type attemptCounts struct {
	requests, sends, arrives int
	maxAttempts, maxEffects  int     // maximum attempts of one request; maximum effects of one request
	lastAttempt, lastAnswer  float64 // ms after the client's request: latest attempt; latest answer
}

// perRequest returns the mean number of attempts per request.
func (c *attemptCounts) perRequest() float64 { return float64(c.sends) / float64(max(1, c.requests)) }

// countAttempts returns the counts by request class, over the requests that clients sent from time from up to time
// to, in ms. It includes the retries of clients and proxies.
func countAttempts(events []eventlog.Event, from, to float64) map[string]*attemptCounts {
	type requestCounts struct {
		kind        string
		asked       float64
		sends, runs int
	}
	reqs, out := map[uint64]*requestCounts{}, map[string]*attemptCounts{}
	for _, e := range events {
		if e.What == eventlog.Asked && e.At >= from && e.At < to {
			reqs[e.Req] = &requestCounts{kind: e.Kind, asked: e.At}
			if out[e.Kind] == nil {
				out[e.Kind] = &attemptCounts{}
			}
			out[e.Kind].requests++
		}
		r := reqs[e.Req]
		if r == nil {
			continue
		}
		c := out[r.kind]
		switch e.What {
		case eventlog.Send:
			r.sends++
			c.sends, c.maxAttempts, c.lastAttempt = c.sends+1, max(c.maxAttempts, r.sends), max(c.lastAttempt, e.At-r.asked)
		case eventlog.Arrive:
			c.arrives++
		case eventlog.Effect:
			r.runs++
			c.maxEffects = max(c.maxEffects, r.runs)
		case eventlog.Answered:
			c.lastAnswer = max(c.lastAnswer, e.At-r.asked)
		}
	}
	return out
}

// failingScenario returns the text of a scenario whose whole fleet fails from 8 s to 20 s. faultBlocks is the text
// of the fault blocks, retryMode the default retry policy. Before the fault a third of the capacity is free.
func failingScenario(faultBlocks string, retryMode int) string {
	return fmt.Sprintf(`like = "quiet"
length = "26s"
seed = 7
proxies { try_again = %d }
req_kind "read" {
  response_target = "400ms"
  client_timeout = "1500ms"
}
req_kind "post" {
  response_target = "600ms"
  client_timeout = "2s"
  payoff = 2
  repeats = "uniqued"
}
req_kind "book" {
  response_target = "600ms"
  client_timeout = "2s"
  payoff = 5
  repeats = "non-replayable"
  writes = true
}
demand "read" { share = 3 }
demand "post" { share = 1 }
demand "book" { share = 1 }
clients {
  rate = 250
  retries = 2
}
%s`, retryMode, faultBlocks)
}

// TestTriesOverAllLayers guards against retry storms. While a whole fleet fails, it counts the attempts that one
// request causes through retries of clients and proxies, also while pilots restart. They must not exceed the limits
// in docs/design.md, none may start after the client timeout, and a non-replayable request must not take effect
// twice.
func TestTriesOverAllLayers(t *testing.T) {
	trouble := func(what string) string {
		return fmt.Sprintf("trouble %q {\n  at = \"8s\"\n  for = \"12s\"\n  size = 1\n}\n", what)
	}
	killed := "trouble \"pilot_kill\" {\n  at = \"12s\"\n  for = \"2s\"\n}\ntrouble \"proxy_crash\" {\n  at = \"15s\"\n  for = \"1s\"\n  part = 0.5\n}\n"
	for name, faultBlocks := range map[string]string{
		"errored": trouble("fast_errors"), "silent": trouble("hang"), "gone": trouble("vanish"),
		"slow":                      "trouble \"burst\" {\n  at = \"8s\"\n  for = \"12s\"\n  size = 4\n}\n",
		"errored, pilots restarted": trouble("fast_errors") + killed,
		"silent, pilots restarted":  trouble("hang") + killed,
	} {
		for _, retryMode := range []int{0, 1} {
			t.Run(fmt.Sprint(name, ", retry mode ", retryMode), func(t *testing.T) {
				t.Parallel()
				d, err := scenario.Read("tries.hcl", []byte(failingScenario(faultBlocks, retryMode)))
				require.NoError(t, err)
				o, err := Play{Scenario: d, KeepEvents: true}.Run(t.Context())
				require.NoError(t, err)
				for kind, c := range countAttempts(o.Events, 8000, 20000) {
					t.Logf("%s: %.2f attempts per request, %.2f arrived, maximum %d, effects %d, last attempt after %.0f ms, last answer after %.0f ms",
						kind, c.perRequest(), float64(c.arrives)/float64(c.requests), c.maxAttempts, c.maxEffects, c.lastAttempt, c.lastAnswer)
					limit := map[string]float64{"read": 1500, "post": 2000, "book": 2000}[kind]
					assert.LessOrEqual(t, c.maxAttempts, 2*(1+d.Retries), "%s: at most two attempts for each attempt of the client", kind)
					assert.LessOrEqual(t, c.perRequest(), 3.4, "%s: mean attempts per request while most fail", kind)
					assert.True(t, kind != "book" || c.maxEffects <= 1, "a non-replayable request took effect twice")
					assert.Less(t, c.lastAttempt, limit, "%s: last attempt", kind)
					assert.Less(t, c.lastAnswer, limit+50, "%s: last answer", kind)
				}
				assert.True(t, o.Report.Kept())
			})
		}
	}
}
