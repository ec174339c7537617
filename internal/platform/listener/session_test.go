package listener

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/pilot"
)

// TestCollectorReports guards that a spoilt report costs itself alone, wherever its line is cut.
func TestCollectorReports(t *testing.T) {
	good := pilot.ZoneMet{Zone: "a", Endpoint: "x", Tries: 9, Failed: 2, MeanMs: 4.5, SpanMs: 1000, Load: map[string]float64{"util": 0.5}}
	text := "heard locality=a endpoint=x total=9 errors=2 rtt=4.5 interval=1000.0 metrics=util:0.5\r\n"
	use := "usage node=3 route=read total=4 errors=1 interval=500\r\n"
	demand := pilot.ProxyDemand{Proxy: 3, Kind: "read", Reqs: 4, Unanswered: 1, SpanMs: 500}
	for name, c := range map[string]struct {
		send   string
		want   []pilot.Input
		closed bool
	}{
		"both kinds":        {text + use, []pilot.Input{good, demand}, false},
		"a field is absent": {"heard locality=a endpoint=x total=9\r\n" + use, []pilot.Input{demand}, false},
		"doubled":           {"usage node=3 node=4 route=read total=4 errors=1 interval=500\r\n" + use, []pilot.Input{demand}, false},
		"not a number":      {strings.Replace(text, "4.5", "NaN", 1) + strings.Replace(text, "0.5", "inf", 1) + use, []pilot.Input{demand}, false},
		"out of range":      {strings.Replace(text, "total=9", "total=99999999999999999999", 1) + strings.Replace(text, "errors=2", "errors=-1", 1) + use, []pilot.Input{demand}, false},
		"more fail than are": {strings.Replace(text, "errors=2", "errors=10", 1) + strings.Replace(text, "interval=1000.0", "interval=0", 1) + use,
			[]pilot.Input{demand}, false},
		"spoilt for long":       {strings.Repeat("usage node=x\r\n", 50) + use, []pilot.Input{demand}, false},
		"a long line":           {"heard " + strings.Repeat("y", 100000) + "\r\n" + use, []pilot.Input{demand}, false},
		"one unreadable":        {"\x00\x01\x02\r\n" + use, []pilot.Input{demand}, false},
		"goes on unreadable":    {use + strings.Repeat("\x07\x08\x09\n", 10), []pilot.Input{demand}, true},
		"unreadable, no end":    {use + strings.Repeat("\x07", 3<<20), []pilot.Input{demand}, true},
		"asks for sign of life": {"ping\r\n" + use, []pilot.Input{demand}, false},
	} {
		for _, piece := range []int{7, 1 << 20} {
			t.Run(fmt.Sprint(name, " by ", piece), func(t *testing.T) {
				if piece < 100 && len(c.send) > 10000 {
					t.Skip("too long for small pieces")
				}
				_, b, dial := startListener(t, 10)
				conn := dial()
				all := "collector locality=a\r\n" + c.send
				for len(all) > 0 {
					n := min(piece, len(all))
					if _, err := io.WriteString(conn, all[:n]); err != nil {
						break // closed before all was written
					}
					all = all[n:]
				}
				require.Eventually(t, func() bool { return len(b.all()) == len(c.want) }, 5*time.Second, time.Millisecond)
				assert.Equal(t, c.want, b.all())
				if c.closed {
					require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
					_, err := conn.Read(make([]byte, 1))
					assert.Error(t, err)
					assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "still open")
				}
			})
		}
	}
}
