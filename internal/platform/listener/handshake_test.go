package listener

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestUnidentifiedConnections checks that a connection from a peer other than a collector is closed or gets a reply
// within 2.5 s, as the platform allows 3 s, and that none of its data is posted.
func TestUnidentifiedConnections(t *testing.T) {
	_, b, dial := startListener(t, 200)
	report := "heard locality=a endpoint=x total=2 errors=0 rtt=1 interval=1000\r\n"
	for name, c := range map[string]struct{ send, want string }{
		"nothing":                      {"", ""},
		"incomplete line":              {"collector local", ""},
		"pings":                        {"ping\r\nping\r\n", "pong\r\npong\r\n"},
		"http":                         {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "refused\r\n"},
		"tls":                          {"\x16\x03\x01\x02\x00\x01\x00\n", "refused\r\n"},
		"unknown zone":                 {"collector locality=z\r\n", "refused\r\n"},
		"collector with two zones":     {"collector locality=a locality=b\r\n", "refused\r\n"},
		"event about a proxy":          {"joined node=1 locality=a w=1 cold=1\r\n", "refused\r\n"},
		"report before identification": {report, "refused\r\n"},
		"commands for a relay":         {`{"ops":[]}` + "\n", "refused\r\n"},
		"line without end":             {strings.Repeat("x", 1<<16), "refused\r\n"},
		"binary data":                  {"\xff\xff\xff\xff\xff\xff\n", "refused\r\n"},
		"ping, then an unknown line":   {"ping\r\njoin me\r\n", "pong\r\nrefused\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial()
			go func() { _, _ = io.WriteString(conn, c.send) }() // the connection may be closed before all is written
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(2500*time.Millisecond)))
			got, err := io.ReadAll(conn)
			assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is neither closed nor rejected")
			assert.Equal(t, c.want, string(got))
		})
	}
	assert.Empty(t, b.all())
}
