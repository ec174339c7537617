package placement

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const good = `{"name":"n3","listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":48,"sockets":256},"relay":{"address":"127.2.0.2:6400"},"peers":["127.3.0.1:7946"],
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","zone":"a","type":"m2","group":3,"status":"leaving","weight":1.5,"since_ms":7}]},
"settings":{"dcs":["a","b"],"kinds":["m2"],"instances":2,"rank":1,"discovery":"pushed","profiles":[{"name":"read","aim":1000000000}],
"extra":{"proxy_count":150,"egress_per_s":800,"backlog":1200},"obligations":{"drain_grace":3000000000,"cold":10000000000}}}`

func TestParse(t *testing.T) {
	p, err := Parse([]byte(good))
	require.NoError(t, err)
	assert.Equal(t, -0x73e0cf2d85a4169c, int(p.Seed))
	assert.Equal(t, 150, p.Proxies)
	assert.False(t, p.OnRequest)
	assert.Equal(t, 3000.0, p.Deployment.Settings["drain_grace"])
	require.Len(t, p.Cached.Entries, 1)
	assert.Equal(t, 1, p.Cached.Entries[0].Phase)
}

// TestWrongFilesAreNamed guards that a start with a wrong file says which field is at fault.
func TestWrongFilesAreNamed(t *testing.T) {
	for name, c := range map[string]struct{ from, to, says string }{
		"cut off":           {`}}}`, ``, "not readable"},
		"no name":           {`"n3"`, `""`, "name is missing"},
		"no discovery":      {`"discovery":"127.2.0.1:8500",`, ``, "discovery is missing"},
		"not an address":    {`127.2.0.2:6400`, `relay:64000000`, "relay.address"},
		"seed":              {`8c1f30d27a5be964`, `xyz`, "seed"},
		"another type":      {`"cores":0.5`, `"cores":"many"`, "cores"},
		"no memory":         {`"memory_mb":48`, `"memory_mb":-1`, "limits.memory_mb"},
		"no descriptors":    {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		"no zones":          {`"dcs":["a","b"],`, ``, "0 zones"},
		"no proxies":        {`"proxy_count":150,`, ``, "proxy_count"},
		"a rank beyond all": {`"rank":1`, `"rank":2`, "rank"},
		"a backlog of text": {`"backlog":1200`, `"backlog":"long"`, "backlog"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, good, c.from)
			_, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)))
			assert.ErrorContains(t, err, c.says)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
}

// TestKnown guards the start against the list as it was held last: it may be absent, empty, spoilt or odd in part, and
// the pilot starts with what can be used of it and says what can't.
func TestKnown(t *testing.T) {
	at := strings.Index(good, `"known":`)
	end := strings.Index(good, `"settings":`)
	for name, c := range map[string]struct {
		known string
		left  string
		holds int // -1: no list
	}{
		"whole":            {good[at:end], "", 1},
		"absent":           {"", "", -1},
		"null":             {`"known":null,`, "", -1},
		"empty":            {`"known":{"index":0,"snapshot":true,"endpoints":[]},`, "", 0},
		"no list":          {`"known":{"snapshot":true,"endpoints":[]},`, "known: not a list", -1},
		"endpoints null":   {`"known":{"index":0,"snapshot":true,"endpoints":null},`, "known: not a list", -1},
		"of another type":  {`"known":7,`, "known: not a list", -1},
		"an odd entry":     {strings.Replace(good[at:end], "]}", `,{"name":"s-2","status":"asleep"}]}`, 1), "known: 1 entries", 1},
		"only odd entries": {strings.Replace(good[at:end], "leaving", "asleep", 1), "known: 1 entries", 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := Parse([]byte(good[:at] + c.known + good[end:]))
			require.NoError(t, err)
			assert.Contains(t, p.Warning, c.left)
			assert.Equal(t, c.left == "", p.Warning == "")
			if c.holds < 0 {
				assert.Nil(t, p.Cached)
				return
			}
			assert.Len(t, p.Cached.Entries, c.holds)
		})
	}
}

func TestRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	for name, c := range map[string]struct {
		env  map[string]string
		says string
	}{
		"all agree":    {map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n3", "NODE_LISTEN": "127.0.0.4:3000"}, ""},
		"alone":        {map[string]string{"NODE_CONFIG": path}, ""},
		"nothing told": {map[string]string{}, "NODE_CONFIG is not set"},
		"no file":      {map[string]string{"NODE_CONFIG": path + "x"}, "read NODE_CONFIG"},
		"another name": {map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n4"}, "NODE_NAME"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(func(k string) string { return c.env[k] })
			if c.says == "" {
				assert.NoError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.says)
		})
	}
}

func TestRestart(t *testing.T) {
	a, err := Parse([]byte(good))
	require.NoError(t, err)
	for change, want := range map[string][]string{`6400`: nil, `8500`: nil, `"n3"`: {"name"}, `"backlog":1200`: {"settings"}} {
		b, err := Parse([]byte(strings.Replace(good, change, map[string]string{`6400`: `6401`, `8500`: `8501`, `"n3"`: `"n4"`,
			`"backlog":1200`: `"backlog":1300`}[change], 1)))
		require.NoError(t, err)
		assert.Equal(t, want, RequiresRestart(a, b))
	}
}
