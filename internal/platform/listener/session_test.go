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

	"indigousher/internal/controller"
)

// TestCollectorReports checks that a malformed line does not affect the lines around it, however the data is split into
// writes.
func TestCollectorReports(t *testing.T) {
	zoneLine := "heard locality=a endpoint=x total=9 errors=2 rtt=4.5 interval=1000.0 metrics=util:0.5\r\n"
	zoneStats := controller.ZoneStats{
		Zone: "a", Endpoint: "x", Attempts: 9, Failed: 2, MeanMs: 4.5, SpanMs: 1000,
		Load: map[string]float64{"util": 0.5},
	}
	replaceInLine := func(old, replacement string) string { return strings.Replace(zoneLine, old, replacement, 1) }
	onlyProxyStats := []controller.Input{proxyStats}
	for name, c := range map[string]struct {
		send   string
		want   []controller.Input
		closed bool
	}{
		"both kinds of reports": {zoneLine + proxyLine, []controller.Input{zoneStats, proxyStats}, false},
		"missing fields":        {"heard locality=a endpoint=x total=9\r\n" + proxyLine, onlyProxyStats, false},
		"repeated field": {
			"usage node=3 node=4 route=read total=4 errors=1 interval=500\r\n" + proxyLine, onlyProxyStats, false,
		},
		"not a number": {replaceInLine("4.5", "NaN") + replaceInLine("0.5", "inf") + proxyLine, onlyProxyStats, false},
		"out of range": {
			replaceInLine("total=9", "total=99999999999999999999") + replaceInLine("errors=2", "errors=-1") + proxyLine,
			onlyProxyStats, false,
		},
		"more errors than attempts": {
			replaceInLine("errors=2", "errors=10") + replaceInLine("interval=1000.0", "interval=0") + proxyLine,
			onlyProxyStats, false,
		},
		"many malformed lines":       {strings.Repeat("usage node=x\r\n", 50) + proxyLine, onlyProxyStats, false},
		"long line":                  {"heard " + strings.Repeat("y", 100000) + "\r\n" + proxyLine, onlyProxyStats, false},
		"one line of unknown kind":   {"\x00\x01\x02\r\n" + proxyLine, onlyProxyStats, false},
		"many lines of unknown kind": {proxyLine + strings.Repeat("\x07\x08\x09\n", 10), onlyProxyStats, true},
		"unknown kind, no line end":  {proxyLine + strings.Repeat("\x07", 3<<20), onlyProxyStats, true},
		"ping between lines":         {"ping\r\n" + proxyLine, onlyProxyStats, false},
	} {
		for _, piece := range []int{7, 1 << 20} {
			t.Run(fmt.Sprint(name, " by ", piece), func(t *testing.T) {
				if piece < 100 && len(c.send) > 10000 {
					t.Skip("too long for small pieces")
				}
				_, b, dial := startListener(t, 10)
				conn := dial()
				writeInPieces(conn, "collector locality=a\r\n"+c.send, piece)
				eventually(t, func() bool { return len(b.all()) == len(c.want) })
				assert.Equal(t, c.want, b.all())
				if c.closed {
					require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
					_, err := conn.Read(make([]byte, 1))
					assert.Error(t, err)
					assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
				}
			})
		}
	}
}

// writeInPieces writes a text in pieces of up to piece bytes. It stops if the peer closes the connection.
func writeInPieces(conn io.Writer, text string, piece int) {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}
