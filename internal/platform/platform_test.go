package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/platform/config"
)

const settings = `{"dcs":["a","b"],"kinds":["m2"],"instances":1,"rank":0,"discovery":"pushed",
"profiles":[{"name":"read","aim":1000000000,"importance":2,"idempotency":"read_like"},{"name":"write","aim":500000000,"importance":5}],
"report":{"fields":["cpu_share","served_ps"]},"extra":{"proxy_count":40,"egress_per_s":800,"backlog":1200,"envelope":4,"admission":"share",
"by_zone":true},"obligations":{"drain_grace":3000000000,"cold":10000000000}}`

func placement(t *testing.T, listen, discovery, relay string) *config.Placement {
	p, err := config.Parse([]byte(fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5","limits":{"cores":0.5,"memory_mb":48,
"sockets":256},"relay":{"address":%q},"settings":%s}`, listen, discovery, relay, settings)))
	require.NoError(t, err)
	return p
}

// TestPilot guards a start, a reload to other addresses and a wrong one, and the end, on sockets.
func TestPilot(t *testing.T) {
	s := &scriptedSite{calls: map[string]int{}}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listen := free.Addr().String()
	require.NoError(t, free.Close())
	old, now := s.open(t), s.open(t)
	var next atomic.Pointer[config.Placement] // nil: the file is wrong
	ctx, cancel := context.WithCancel(context.Background())
	reload, ended := make(chan struct{}, 1), make(chan error, 1)
	p := New(placement(t, listen, old, old), func() (*config.Placement, error) {
		if p := next.Load(); p != nil {
			return p, nil
		}
		return nil, io.ErrUnexpectedEOF
	}, zap.NewNop())
	go func() { ended <- p.Run(ctx, reload) }()
	var conn net.Conn
	require.Eventually(t, func() bool {
		conn, err = net.Dial("tcp", listen)
		return err == nil
	}, 5*time.Second, time.Millisecond)
	defer conn.Close()
	_, err = io.WriteString(conn, "ping\r\n")
	require.NoError(t, err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "pong\r\n", line)
	require.Eventually(t, func() bool { return s.has(old+" USE 3") && s.has(old+" SET <nil> s-1") }, 10*time.Second, time.Millisecond)

	reload <- struct{}{}
	require.Eventually(t, func() bool { return len(reload) == 0 }, 5*time.Second, time.Millisecond)
	assert.Zero(t, s.asked(now+"/catalog/members"))
	next.Store(placement(t, listen, now, now)) // the file was being written: it is read again unasked
	require.Eventually(t, func() bool {
		return s.asked(now+"/catalog/members") > 1 && s.asked(now+"/v1/events") > 1
	}, 10*time.Second, time.Millisecond)

	third := s.open(t)
	next.Store(placement(t, listen, third, third))
	reload <- struct{}{}
	reload <- struct{}{}
	require.Eventually(t, func() bool {
		return s.asked(third+"/catalog/members") > 1 && s.asked(third+"/v1/events") > 1
	}, 10*time.Second, time.Millisecond)

	began := time.Now()
	cancel()
	assert.NoError(t, <-ended)
	assert.Less(t, time.Since(began), 5*time.Second, "it ends, whatever hangs")
}
