package simulator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "record the conversation again; only after an intended change of decisions")

// TestRecordedConversation sends a recorded conversation of three instances to the adapter, and compares the replies
// byte by byte with those recorded at commit 7c7c6c6. It guards against unintended changes of the planner's decisions.
func TestRecordedConversation(t *testing.T) {
	const input, output = "testdata/conversation.in.jsonl.gz", "testdata/conversation.out.jsonl.gz"
	if *update {
		batches := script()
		var replies bytes.Buffer
		require.NoError(t, Serve(bytes.NewReader(batches), &replies))
		require.NoError(t, os.MkdirAll(filepath.Dir(input), 0o755))
		writeGzip(t, input, batches)
		writeGzip(t, output, replies.Bytes())
	}
	batches, want := readGzip(t, input), readGzip(t, output)
	var got bytes.Buffer
	require.NoError(t, Serve(bytes.NewReader(batches), &got))
	assert.NotContains(t, got.String(), `"kind":"broken"`)
	gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	require.Len(t, gotLines, len(wantLines))
	for i := range wantLines {
		require.Equal(t, string(wantLines[i]), string(gotLines[i]), "reply %d", i+1)
	}
	for _, action := range []string{
		"set_weight", "use_table", "withdraw", "gate_class", "checkpoint", "health_check", "set_timer",
		"print", "stream_changes",
	} {
		assert.Contains(t, got.String(), fmt.Sprintf(`"kind":%q`, action))
	}
}

// readGzip returns the decompressed content of a file.
func readGzip(t *testing.T, path string) []byte {
	file, err := os.Open(path)
	require.NoError(t, err)
	defer func() { assert.NoError(t, file.Close()) }()
	reader, err := gzip.NewReader(file)
	require.NoError(t, err)
	content, err := io.ReadAll(reader)
	require.NoError(t, err)
	return content
}

// writeGzip writes content to a compressed file.
func writeGzip(t *testing.T, path string, content []byte) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, err := writer.Write(content)
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	require.NoError(t, os.WriteFile(path, compressed.Bytes(), 0o644))
}

// scriptInstance describes one controller instance of the generated conversation.
type scriptInstance struct {
	name     string
	settings map[string]any
	proxies  int
	slices   int
}

// script generates the batches of a conversation of 60 simulated seconds from a fixed seed. Endpoints fail, hang, drain
// and restart, proxies join and leave, the request rate rises temporarily, and endpoint lists are lost.
func script() []byte {
	var out bytes.Buffer
	rnd := rand.New(rand.NewPCG(11, 29))
	instances := []scriptInstance{
		{"pilot/0", scriptSettings(0, "share", "pushed", true, 0), 40, 0},
		{"pilot/1", scriptSettings(1, "rate", "on_request", false, 0), 12, 0},
		{"pilot/2", scriptSettings(2, "off", "pushed", false, 8), 6, 8},
	}
	zones, kinds := []string{"north", "south", "east"}, []string{"small", "large"}
	classes := []string{"read", "write", "book"}
	number := 0
	write := func(clock int64, events []map[string]any) {
		number++
		line, err := json.Marshal(map[string]any{"sim_time": clock, "batch": number, "happened": events})
		if err != nil {
			panic(err)
		}
		out.Write(append(line, '\n'))
	}
	const endpoints, second, start = 18, int64(1e9), int64(8_412_250_000)
	host := func(i int, mode string, launched int64) map[string]any {
		return map[string]any{
			"endpoint": fmt.Sprintf("10.0.%d.%d:80", i%3, i), "zone": zones[i%3], "generation_hw": kinds[i%2],
			"group": i / 6, "mode": mode, "heft": 1 + float64(i%2), "launched": launched,
		}
	}
	var hosts []map[string]any
	for i := range endpoints {
		hosts = append(hosts, host(i, "live", 0))
	}
	var events []map[string]any
	for n, in := range instances {
		events = append(events, map[string]any{"kind": "spawn", "i": in.name, "rng_seed": 5 + n, "setup": in.settings},
			map[string]any{"kind": "discovery", "i": in.name, "mode": "total", "epoch": 1, "hosts": hosts})
		for p := range in.proxies {
			events = append(events, map[string]any{
				"kind": "stream_up", "i": in.name, "edge": p, "zone": zones[p%3],
				"heft": 10 + float64(p%5), "active": p%4 != 0,
			})
		}
		for s := range in.slices {
			events = append(events, map[string]any{"kind": "handed", "i": in.name, "tbl": s, "active": true},
				map[string]any{"kind": "stored_line", "i": in.name, "tbl": s, "endpoint": fmt.Sprintf("10.0.%d.%d:80", s%3, s), "heft": 1})
		}
	}
	write(start, events)
	for quarter := 1; quarter <= 240; quarter++ {
		clock := start + int64(quarter)*second/4
		events = nil
		for _, in := range instances {
			events = append(events, scriptQuarter(rnd, in, quarter, clock, zones, classes, host)...)
		}
		write(clock, events)
	}
	return out.Bytes()
}

// scriptQuarter returns the events of one instance in one quarter of a second.
func scriptQuarter(rnd *rand.Rand, in scriptInstance, quarter int, clock int64, zones, classes []string,
	host func(int, string, int64) map[string]any,
) (events []map[string]any) {
	add := func(kind string, fields map[string]any) {
		fields["kind"], fields["i"] = kind, in.name
		events = append(events, fields)
	}
	surge := 1.0
	if quarter > 120 && quarter < 180 {
		surge = 2.5
	}
	if quarter%4 == 0 {
		for e := range 18 {
			for z := range zones {
				tries := rnd.IntN(40)
				failed := 0
				if e == 4 && quarter > 40 && quarter < 90 || e == 7 && quarter > 130 {
					failed = tries
				}
				add("tally", map[string]any{
					"endpoint": fmt.Sprintf("10.0.%d.%d:80", e%3, e), "zone": zones[z], "count": tries,
					"errors": failed, "wait_time": 2e7 * (1 + rnd.Float64()), "covers": 1e9,
					"feedback": map[string]any{"cpu_share": min(1, surge*(0.2+0.4*rnd.Float64())), "served_ps": 20 + 40*rnd.Float64()},
				})
			}
		}
		for p := range in.proxies {
			for _, class := range classes {
				add("proxy_stats", map[string]any{
					"edge": p, "qos": class, "count": int(surge * float64(rnd.IntN(12))),
					"errors": rnd.IntN(2), "covers": 1e9,
				})
			}
		}
		for s := range in.slices {
			add("weight_seen", map[string]any{"tbl": s, "qos": classes[s%3], "count": rnd.IntN(9), "covers": 1e9})
		}
		add("bell", map[string]any{"ref": "gather"})
	}
	if quarter%2 == 1 {
		add("confirmed", map[string]any{"edge": rnd.IntN(in.proxies), "epoch": 1 + rnd.IntN(2*quarter), "wait_time": 1e8 * rnd.Float64()})
		add("bell", map[string]any{"ref": "bind"})
	}
	switch quarter {
	case 30:
		add("discovery", map[string]any{"mode": "incr", "epoch": 2, "hosts": []any{host(2, "quiescing", 0), host(11, "quiescing", 0)}})
	case 42:
		add("discovery", map[string]any{"mode": "incr", "epoch": 3, "hosts": []any{host(2, "dead", 0), host(11, "live", clock)}})
	case 60, 61, 62:
		add("stream_down", map[string]any{"edge": quarter % in.proxies})
	case 70:
		add("stream_up", map[string]any{"edge": 60 % in.proxies, "zone": zones[0], "heft": 12, "active": true})
	case 80:
		add("discovery", map[string]any{"mode": "lost"})
	case 90:
		var all []any
		for e := range 20 {
			if e != 2 && e != 5 {
				all = append(all, host(e, "live", int64(max(0, e-17))*clock))
			}
		}
		add("discovery", map[string]any{"mode": "total", "epoch": 5, "hosts": all})
	case 100:
		add("peer", map[string]any{"by": 1, "contents": "hello"})
	case 110:
		add("ping_result", map[string]any{"endpoint": "10.0.1.4:80", "result": "S", "wait_time": 3e6, "feedback": map[string]any{"cpu_share": 0.3}})
		add("ping_result", map[string]any{"endpoint": "10.0.1.7:80", "result": "T", "wait_time": 1e9})
	case 150:
		var down []any
		for e := 0; e < 18; e += 3 {
			if e != 5 {
				down = append(down, host(e, "dead", 0))
			}
		}
		add("discovery", map[string]any{"mode": "incr", "epoch": 6, "hosts": down})
	case 170:
		var back []any
		for e := 0; e < 18; e += 3 {
			back = append(back, host(e, "live", clock))
		}
		add("discovery", map[string]any{"mode": "incr", "epoch": 7, "hosts": back})
	case 200:
		if in.slices > 0 {
			add("handed", map[string]any{"tbl": 3})
		}
	}
	return events
}

// scriptSettings returns the settings of an instance, under the names that operators use.
func scriptSettings(rank int, admission, discovery string, byZone bool, slices int) map[string]any {
	class := func(name, repeats string, worth float64, zones []any) map[string]any {
		return map[string]any{
			"name": name, "aim": 3e8, "give_up": 2e9, "importance": worth, "late_worth": 0.2, "idempotency": repeats,
			"group": "all", "window": 5e9, "only_zones": zones,
		}
	}
	return map[string]any{
		"dcs": []any{"north", "south", "east"}, "kinds": []any{"small", "large"}, "zone": "north", "instances": 3,
		"rank": rank, "discovery": discovery, "profiles": []any{
			class("read", "read_like", 1, nil), class("write", "non_idempotent", 5, nil),
			class("book", "idempotency_key", 2, []any{"north", "south"}),
		},
		"obligations": map[string]any{"drain_grace": 3e9, "fall": 1.5e9, "fall_multiple": 2.5, "cold": 9e9, "cold_from": 0.2},
		"report":      map[string]any{"fields": []any{"cpu_share", "served_ps"}, "how": "inline"},
		"prices":      map[string]any{"cross_zone": 0.1}, "policy_limits": map[string]any{"probing": true, "peers": true},
		"extra": map[string]any{
			"proxy_count": 60, "egress_per_s": 700, "backlog": 900, "envelope": 4, "pushes_allowed": 30,
			"counted_over": 1e10, "admission": admission, "lb_method": "weighted", "by_zone": byZone, "empty_for": 4e9,
			"conns_least": 25, "bootstrap": 5, "outlier_after": 5, "transit_max": 4e8, "push_delay": 1e8, "first_wait": 0.8,
			"retry_default": 1, "partitions_n": slices, "report_every": 1e9, "class_own_zone": []any{false, false, false},
		},
	}
}
