package placement

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// validFile is a valid placement file with all fields.
const validFile = `{"name":"n3","listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":48,"sockets":256},"relay":{"address":"127.2.0.2:6400"},"peers":["127.3.0.1:7946"],
"known":{"index":41,"snapshot":true,"endpoints":[
{"name":"s-1","zone":"a","type":"m2","group":3,"status":"leaving","weight":1.5,"since_ms":7}]},
"settings":{"dcs":["a","b"],"kinds":["m2"],"instances":2,"rank":1,"discovery":"pushed",
"profiles":[{"name":"read","aim":1000000000}],
"extra":{"proxy_count":150,"egress_per_s":800,"backlog":1200},
"obligations":{"drain_grace":3000000000,"cold":10000000000}}}`

// TestParse checks the values that Parse derives from a valid file.
func TestParse(t *testing.T) {
	p, err := Parse([]byte(validFile))
	require.NoError(t, err)
	assert.Equal(t, -0x73e0cf2d85a4169c, int(p.Seed))
	assert.Equal(t, 150, p.MaxProxies)
	assert.False(t, p.OnRequest)
	assert.Equal(t, 3000.0, p.Deployment.Settings["drain_grace"])
	require.Len(t, p.Cached.Entries, 1)
	assert.Equal(t, 1, p.Cached.Entries[0].Phase)
}

// TestRead checks the environment variables: NODE_CONFIG is required, and NODE_NAME must agree with the file.
func TestRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(validFile), 0o600))
	for name, c := range map[string]struct {
		env       map[string]string
		wantError string
	}{
		"all agree":        {map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n3", "NODE_LISTEN": "127.0.0.4:3000"}, ""},
		"only NODE_CONFIG": {map[string]string{"NODE_CONFIG": path}, ""},
		"not set":          {map[string]string{}, "NODE_CONFIG is not set"},
		"no file":          {map[string]string{"NODE_CONFIG": path + "x"}, "read NODE_CONFIG"},
		"another name":     {map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n4"}, "NODE_NAME"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(func(k string) string { return c.env[k] })
			if c.wantError == "" {
				assert.NoError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.wantError)
		})
	}
}
