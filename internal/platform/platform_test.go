package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/platform/placement"
	"indigousher/internal/simulator"
	"indigousher/internal/transport/gossip"
	"indigousher/internal/transport/healthcheck"
	"indigousher/internal/wire"
	"indigousher/planner"
)

const settings = `{"dcs":["a","b"],"kinds":["m2"],"instances":1,"rank":0,"discovery":"pushed",
"profiles":[{"name":"read","aim":1000000000,"importance":2,"idempotency":"read_like"},{"name":"write","aim":500000000,"importance":5}],
"report":{"fields":["cpu_share","served_ps"]},"extra":{"proxy_count":40,"egress_per_s":800,"backlog":1200,"envelope":4,"admission":"share",
"by_zone":true},"obligations":{"drain_grace":3000000000,"cold":10000000000}}`

func newPlacement(t *testing.T, listen, discovery, relay string) *placement.Placement {
	p, err := placement.Parse([]byte(fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5","limits":{"cores":0.5,"memory_mb":48,
"sockets":256},"relay":{"address":%q},"settings":%s}`, listen, discovery, relay, settings)))
	require.NoError(t, err)
	return p
}

// kept keeps what a core hands to its relay.
type kept struct{ lines []string }

func (k *kept) Enqueue(turn []planner.Command, endpoint func(int) string) {
	for _, o := range turn {
		switch o := o.(type) {
		case planner.SetWeight:
			k.lines = append(k.lines, fmt.Sprintf("line %d %s %.9g", o.Table, endpoint(o.Endpoint), o.Weight))
		case planner.AssignTable:
			k.lines = append(k.lines, fmt.Sprintf("bind %d %d %d", o.Proxy, o.Table, o.Classes))
		case planner.AckRequest:
			k.lines = append(k.lines, fmt.Sprintf("mark %d", o.Number))
		}
	}
}
func (k *kept) ProxyLeft(int) {}

// TestSameSettingsSameOrders guards that simulator and platform give the module the same: one translation of settings
// and names, the same notes, and so the same orders.
func TestSameSettingsSameOrders(t *testing.T) {
	p, k := newPlacement(t, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"), &kept{}
	c := controller.NewCore(controller.Options{Decider: planner.New(5, p.Deployment.Settings), Settings: p.Deployment.Settings, Zones: p.Deployment.Zones.All(),
		Machines: p.Deployment.Machines.All(), Classes: p.Deployment.Classes.All(), MaxProxies: p.Proxies, Relay: k, EndpointSource: x{}, HealthChecker: healthcheck.Disabled{},
		Gossip: gossip.Disabled{}, Log: func(string) {}, Malformed: func(what string, _ ...string) { t.Error(what) }})
	entries, hosts := []wire.Entry{}, []string{}
	for i := range 6 {
		name := fmt.Sprintf("10.0.0.%d:1", i)
		entries = append(entries, wire.Entry{Endpoint: name, Zone: []string{"a", "b"}[i%2], Machine: "m2", Weight: float64(1 + i)})
		hosts = append(hosts, fmt.Sprintf(`{"endpoint":%q,"zone":%q,"generation_hw":"m2","mode":"live","heft":%d}`, name, []string{"a", "b"}[i%2], 1+i))
	}
	c.Handle(0, []controller.Input{controller.EndpointsListed{List: &wire.List{Whole: true, Entries: entries}}, controller.RelayProxyJoined{Proxy: 3, Zone: "b", Rate: 7, Fresh: true}})
	events := []string{`{"sim_time":0,"batch":1,"happened":[{"kind":"spawn","i":"pilot/0","rng_seed":5,"setup":` + strings.ReplaceAll(settings, "\n", "") +
		`},{"kind":"discovery","i":"pilot/0","mode":"total","hosts":[` + strings.Join(hosts, ",") +
		`]},{"kind":"stream_up","i":"pilot/0","edge":3,"zone":"b","heft":7,"active":true}]}`}
	gather := func(s int) {
		c.Handle(float64(500+1000*s), nil)
		events = append(events, fmt.Sprintf(`{"sim_time":%d,"batch":2,"happened":[{"kind":"bell","i":"pilot/0","ref":"gather"}]}`,
			(500+1000*s)*1000000))
	}
	gather(0)
	for s := 1; s < 12; s++ {
		load := float64(s%5) / 2 // full for long enough that tables change
		c.Handle(float64(1000*s), []controller.Input{controller.ZoneStats{Zone: "b", Endpoint: "10.0.0.1:1", Attempts: 30, Failed: s, MeanMs: 20,
			SpanMs: 1000, Load: map[string]float64{"util": load, "qps": 30}},
			controller.ProxyStats{Proxy: 3, Class: "write", Requests: 30, SpanMs: 1000}})
		events = append(events, fmt.Sprintf(`{"sim_time":%d,"batch":2,"happened":[{"kind":"tally","i":"pilot/0","endpoint":"10.0.0.1:1",`+
			`"zone":"b","count":30,"errors":%d,"wait_time":20000000,"covers":1000000000,"feedback":{"cpu_share":%g,"served_ps":30}},`+
			`{"kind":"proxy_stats","i":"pilot/0","edge":3,"qos":"write","count":30,"covers":1000000000}]}`, 1000*s*1000000, s, load))
		gather(s)
	}
	assert.Equal(t, simulated(t, events), k.lines)
	assert.Greater(t, len(k.lines), 7, "tables were laid and changed")
}

// simulated plays events through the simulator's adapter.
func simulated(t *testing.T, events []string) (lines []string) {
	var out strings.Builder
	require.NoError(t, simulator.Serve(strings.NewReader(strings.Join(events, "\n")+"\n"), &out))
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var r struct{ Orders []map[string]any }
		require.NoError(t, json.Unmarshal([]byte(text), &r))
		for _, o := range r.Orders {
			switch o["kind"] {
			case "set_weight":
				lines = append(lines, fmt.Sprintf("line %v %v %.9g", o["tbl"], o["endpoint"], o["heft"]))
			case "use_table":
				lines = append(lines, fmt.Sprintf("bind %v %v %v", o["edge"], o["tbl"], o["lanes"]))
			case "checkpoint":
				lines = append(lines, fmt.Sprintf("mark %v", o["epoch"]))
			}
		}
	}
	return lines
}

type x struct{}

func (x) Watch(bool) {}
func (x) Fetch()     {}

// site is the platform around one pilot: discovery and a relay, at as many addresses as wanted.
type site struct {
	mu    sync.Mutex
	ops   []string
	calls map[string]int
}

func (s *site) open(t *testing.T) string {
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

func (s *site) serve(conn net.Conn, address string) {
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

func (s *site) has(what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(strings.Join(s.ops, "\n"), what)
}

func (s *site) asked(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[what]
}

// TestPilot guards a start, a reload to other addresses and a wrong one, and the end, on sockets.
func TestPilot(t *testing.T) {
	s := &site{calls: map[string]int{}}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listen := free.Addr().String()
	require.NoError(t, free.Close())
	old, now := s.open(t), s.open(t)
	var next atomic.Pointer[placement.Placement] // nil: the file is wrong
	ctx, cancel := context.WithCancel(context.Background())
	reload, ended := make(chan struct{}, 1), make(chan error, 1)
	p := New(newPlacement(t, listen, old, old), func() (*placement.Placement, error) {
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
	next.Store(newPlacement(t, listen, now, now)) // the file was being written: it is read again unasked
	require.Eventually(t, func() bool {
		return s.asked(now+"/catalog/members") > 1 && s.asked(now+"/v1/events") > 1
	}, 10*time.Second, time.Millisecond)

	third := s.open(t)
	next.Store(newPlacement(t, listen, third, third))
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
